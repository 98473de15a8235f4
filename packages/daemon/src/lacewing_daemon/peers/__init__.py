"""Join the fleet: know its members and share its documents."""

from lacewing_daemon.peers._channels import Channels
from lacewing_daemon.peers._channels import NoReply
from lacewing_daemon.peers._node import PeerNode
from lacewing_daemon.peers._reader import PlatformReader
from lacewing_daemon.peers._replicas import Replicas

__all__ = ['Channels', 'NoReply', 'PeerNode', 'PlatformReader', 'Replicas']
