"""Give the daemon the bundle in force."""

from lacewing_daemon.bundles._file import FileBundles
from lacewing_daemon.bundles._file import read_bundle
from lacewing_daemon.bundles._replicated import ReplicatedBundles

__all__ = ['FileBundles', 'ReplicatedBundles', 'read_bundle']
