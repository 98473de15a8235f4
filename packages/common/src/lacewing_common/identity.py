"""Identify processes, their incarnations and their locations."""

import secrets
import time
from enum import Enum

import msgspec

_RANDOM_BITS = 12


class Role(Enum):
    """List the roles of processes."""

    ROUTER = 'router'
    AGENT = 'agent'


class Place(msgspec.Struct, frozen=True):
    """Locate a process by region and availability zone."""

    region: str
    availability_zone: str


class ProcessName(msgspec.Struct, frozen=True):
    """Identify one incarnation of a process.

    ``incarnation`` increases with every start, so that information about an
    earlier run is not applied to the current one.
    """

    process_id: str
    incarnation: int

    def __str__(self) -> str:
        return f'{self.process_id}.{self.incarnation:x}'


def new_incarnation() -> int:
    """Return milliseconds since 1970, followed by 12 random bits."""
    now_ms = time.time_ns() // 1_000_000
    return now_ms << _RANDOM_BITS | secrets.randbits(_RANDOM_BITS)
