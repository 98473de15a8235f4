"""Start the role that the settings name."""

from importlib import import_module
from typing import Any

from lacewing_common.identity import Role

from lacewing_daemon.runtime import RunningRole
from lacewing_daemon.runtime import Runtime


async def start_role(runtime: Runtime) -> RunningRole:
    """Start the router or the agent.

    Only the modules of this role are imported, because memory is scarce on
    small VMs.
    """
    role = runtime.settings.role
    module: Any = import_module(f'lacewing_daemon.{role.value}')
    if role is Role.ROUTER:
        router: RunningRole = await module.start_router(runtime)
        return router
    agent: RunningRole = await module.start_agent(runtime)
    return agent
