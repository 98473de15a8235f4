"""Give the daemon the addresses of its peers."""

from lacewing_daemon.members._known import KnownMembers

__all__ = ['KnownMembers']
