"""Name processes, their incarnations and their places."""

import secrets
import time
from enum import Enum

import msgspec

_RANDOM_BITS = 12


class Role(Enum):
    """Tell what a process does."""

    ROUTER = 'router'
    AGENT = 'agent'


class Place(msgspec.Struct, frozen=True):
    """Locate a process by region and availability zone."""

    region: str
    availability_zone: str


class ProcessName(msgspec.Struct, frozen=True):
    """Identify one run of one process.

    ``incarnation`` grows with every start, so that nothing said about an
    earlier run is taken for the present one.
    """

    process_id: str
    incarnation: int

    def __str__(self) -> str:
        return f'{self.process_id}.{self.incarnation:x}'


def new_incarnation() -> int:
    """Make an incarnation: milliseconds since 1970, then 12 random bits."""
    now_ms = time.time_ns() // 1_000_000
    return now_ms << _RANDOM_BITS | secrets.randbits(_RANDOM_BITS)
