"""Run the agent: the process beside one upstream worker."""

from lacewing_daemon.agent._agent import start_agent

__all__ = ['start_agent']
