"""Route callers' requests to upstream workers."""

from lacewing_daemon.router._running import RunningRouter
from lacewing_daemon.router._running import start_router

__all__ = ['RunningRouter', 'start_router']
