"""Derive the bounds of what callers hold from the size of the VM."""

import resource
from dataclasses import dataclass
from typing import Annotated

import msgspec

Positive = Annotated[float, msgspec.Meta(gt=0.0)]
Share = Annotated[float, msgspec.Meta(gt=0.0, le=1.0)]

_MB = 1_000_000
# Descriptors for files and for what is not counted here.
RESERVED_DESCRIPTORS = 200
# What an open connection without a request takes.
CONNECTION_BYTES = 10 * 1024


class VmSize(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what the VM gives the process.

    ``memory_mb`` is in megabytes. ``file_descriptors`` of 0 stands for the
    limit that the process was started with, which applies in any case.
    """

    memory_mb: Positive = 128.0
    file_descriptors: Annotated[int, msgspec.Meta(ge=0)] = 0


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Hold which part of the VM callers may take together.

    ``memory_share`` applies to the bytes of heads, bodies and answers, and
    once more to their connections; ``descriptor_share`` is for connections.
    A connection whose caller takes no byte of an answer for ``write_stall_s``
    seconds is closed.
    """

    memory_share: Share = 0.125
    descriptor_share: Share = 0.5
    write_stall_s: Positive = 15.0


@dataclass(frozen=True)
class CallerBounds:
    """Hold the bounds of what all callers together hold."""

    max_bytes: int
    max_connections: int
    write_stall_s: float


def caller_bounds(vm: VmSize, limits: CallerLimits) -> CallerBounds:
    """Return the bounds on a VM."""
    max_bytes = int(vm.memory_mb * _MB * limits.memory_share)
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if vm.file_descriptors:
        descriptors = min(descriptors, vm.file_descriptors)
    free = max(0, descriptors - RESERVED_DESCRIPTORS)
    connections = min(
        int(free * limits.descriptor_share), max_bytes // CONNECTION_BYTES
    )
    return CallerBounds(max_bytes, max(1, connections), limits.write_stall_s)
