"""Hold the settings of what callers together may make a process hold."""

import os
from typing import Annotated

import msgspec

Positive = Annotated[float, msgspec.Meta(gt=0.0)]
Share = Annotated[float, msgspec.Meta(gt=0.0, le=1.0)]

_MB = 1_000_000


class VmSize(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what the VM gives the process.

    ``memory_mb`` is in megabytes; 0 stands for what the system reports.
    ``file_descriptors`` of 0 stands for the limit that the process was
    started with, which applies in any case.
    """

    memory_mb: Annotated[float, msgspec.Meta(ge=0.0)] = 0.0
    file_descriptors: Annotated[int, msgspec.Meta(ge=0)] = 0

    @property
    def memory_bytes(self) -> int:
        """Return the size of the memory."""
        if self.memory_mb:
            return int(self.memory_mb * _MB)
        return os.sysconf('SC_PHYS_PAGES') * os.sysconf('SC_PAGE_SIZE')


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
