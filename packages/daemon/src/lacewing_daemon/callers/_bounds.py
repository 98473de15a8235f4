"""Derive the bounds of what callers hold from the size of the VM."""

import resource
from dataclasses import dataclass

from lacewing_common.caller_limits import CallerLimits
from lacewing_common.caller_limits import VmSize

# Descriptors for files and for what is not counted here.
RESERVED_DESCRIPTORS = 200
# What an open connection without a request takes.
CONNECTION_BYTES = 10 * 1024


@dataclass(frozen=True)
class CallerBounds:
    """Hold the bounds of what all callers together hold."""

    max_bytes: int
    max_connections: int
    write_stall_s: float


def caller_bounds(
    vm: VmSize, limits: CallerLimits, descriptors: int | None = None
) -> CallerBounds:
    """Return the bounds on a VM.

    ``descriptors``: the limit of the process, None to ask the system.
    """
    max_bytes = int(vm.memory_bytes * limits.memory_share)
    if descriptors is None:
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if vm.file_descriptors:
        descriptors = min(descriptors, vm.file_descriptors)
    free = max(0, descriptors - RESERVED_DESCRIPTORS)
    connections = min(
        int(free * limits.descriptor_share), max_bytes // CONNECTION_BYTES
    )
    return CallerBounds(max_bytes, max(1, connections), limits.write_stall_s)
