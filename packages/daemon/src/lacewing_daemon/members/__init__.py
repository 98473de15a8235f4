"""Give the daemon the addresses of its peers."""

from lacewing_daemon.members._known import KnownMembers
from lacewing_daemon.members._vm_list import VmListFollower

__all__ = ['KnownMembers', 'VmListFollower']
