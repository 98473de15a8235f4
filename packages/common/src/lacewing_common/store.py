"""Describe the platform's object API as the system uses it."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

MUST_NOT_EXIST = 0


class StoreFault(Enum):
    """Tell why a call to the platform failed.

    CONFLICT, NOT_FOUND, RATE_LIMITED, TOO_LARGE and REJECTED: surely
    without effect. REJECTED: the platform did not understand the call.
    UNAVAILABLE: a read failed, or a write never reached the platform or was
    refused in an outage; without effect.
    UNKNOWN: the answer was lost; the change may have taken effect, so the
    caller reads back before it decides.
    """

    CONFLICT = 'conflict'
    NOT_FOUND = 'not-found'
    RATE_LIMITED = 'rate-limited'
    TOO_LARGE = 'too-large'
    REJECTED = 'rejected'
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'


@dataclass(frozen=True)
class StoreError:
    """Report a failed call and what the reader can do about it.

    ``retry_after_s`` is the platform's advice in seconds, if it gave any.
    ``received``: bytes of an answer that was given up in its middle.
    ``era`` is the store's when it answered, 0 if it told none.
    """

    fault: StoreFault
    message: str
    retry_after_s: float | None = None
    received: int = 0
    era: int = 0


@dataclass(frozen=True)
class StoredObject:
    """Hold one object; ``version`` grows with each change, from 1.

    A store that returns from an older copy begins a new ``era``, in which
    versions go back and are given out again; 0 if it told none.
    """

    kind: str
    name: str
    version: int
    value: bytes
    era: int = 0


class VmState(Enum):
    """Tell whether the platform keeps a VM."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True)
class Vm:
    """Hold one row of the platform's lagging VM list."""

    vm_id: str
    address: str
    availability_zone: str
    state: VmState


class SingleObjects(Protocol):
    """Read one object and change it on condition; all that a lease needs."""

    async def get(self, kind: str, name: str) -> StoredObject | StoreError:
        """Read one object."""

    async def put(
        self, kind: str, name: str, value: bytes, expect: int
    ) -> StoredObject | StoreError:
        """Write if the version is ``expect`` (0: must not exist)."""


class ObjectReads(Protocol):
    """Query the platform's objects."""

    async def get(self, kind: str, name: str) -> StoredObject | StoreError:
        """Read one object."""

    async def list_names(
        self, kind: str
    ) -> tuple[StoredObject, ...] | StoreError:
        """Read all objects of a kind, without their values."""

    def watch(
        self, kind: str, name: str, after: int
    ) -> AsyncIterator[StoredObject | StoreError]:
        """Yield each change of one object after a version."""

    async def vms(self) -> tuple[Vm, ...] | StoreError:
        """Read the lagging VM list."""


class ObjectWrites(Protocol):
    """Change the platform's objects, only by conditional updates."""

    async def put(
        self, kind: str, name: str, value: bytes, expect: int
    ) -> StoredObject | StoreError:
        """Write if the version is ``expect`` (0: must not exist)."""

    async def delete(
        self, kind: str, name: str, expect: int
    ) -> None | StoreError:
        """Delete if the version is ``expect``."""


class ObjectStore(ObjectReads, ObjectWrites, Protocol):
    """Read and change the platform's objects."""
