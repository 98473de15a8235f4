"""Maintain fleet membership and distribute documents by gossip."""

from lacewing_daemon.peers._bounded_messages import bound_messages
from lacewing_daemon.peers._bounded_messages import receive_only_message
from lacewing_daemon.peers._channels import PeerCallFailed
from lacewing_daemon.peers._channels import PeerChannels
from lacewing_daemon.peers._node import PeerNode
from lacewing_daemon.peers._reader import PlatformReader
from lacewing_daemon.peers._replicas import DocumentReplicas

__all__ = [
    'PeerChannels',
    'PeerCallFailed',
    'PeerNode',
    'PlatformReader',
    'DocumentReplicas',
    'bound_messages',
    'receive_only_message',
]
