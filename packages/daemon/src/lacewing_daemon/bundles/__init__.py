"""Give the daemon the bundle in force."""

from lacewing_daemon.bundles._file import FileBundles
from lacewing_daemon.bundles._file import read_bundle

__all__ = ['FileBundles', 'read_bundle']
