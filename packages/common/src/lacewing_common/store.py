"""Define the interface of the platform's object API."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

MUST_NOT_EXIST = 0


class StoreFault(Enum):
    """List the reasons why a call to the platform fails.

    CONFLICT, NOT_FOUND, RATE_LIMITED, TOO_LARGE and REJECTED: guaranteed
    to have had no effect. REJECTED: the platform considers the request
    invalid.
    UNAVAILABLE: a read failed, or a write did not reach the platform or was
    refused during an outage; no effect.
    UNKNOWN: the response was lost and the change may have taken effect; the
    caller must read the object back before deciding.
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
    """Report a failed call and how to handle it.

    ``retry_after_s`` is the delay in seconds that the platform requested,
    None if it requested none.
    ``received`` is the number of bytes of an incomplete response.
    ``era`` is the store era of the response, 0 if it carried none.
    """

    fault: StoreFault
    message: str
    retry_after_s: float | None = None
    received: int = 0
    era: int = 0


@dataclass(frozen=True)
class StoredObject:
    """Hold one object; ``version`` starts at 1 and grows with each change.

    A store that is restored from an older snapshot starts a new ``era``, in
    which versions go back and are reused. ``era`` is 0 if the store reported
    none.
    """

    kind: str
    name: str
    version: int
    value: bytes
    era: int = 0


class VmState(Enum):
    """List the states of a VM: it is kept, or about to be removed."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True)
class Vm:
    """Hold one row of the platform's VM list, which lags behind."""

    vm_id: str
    address: str
    availability_zone: str
    state: VmState


class SingleObjects(Protocol):
    """Read and conditionally update single objects, as leases require."""

    async def get(self, kind: str, name: str) -> StoredObject | StoreError:
        """Read one object."""

    async def put(
        self, kind: str, name: str, value: bytes, expect: int
    ) -> StoredObject | StoreError:
        """Write if the current version is ``expect`` (0: must not exist)."""


class ObjectReads(Protocol):
    """Read objects and the VM list from the platform."""

    async def get(self, kind: str, name: str) -> StoredObject | StoreError:
        """Read one object."""

    async def list_names(
        self, kind: str
    ) -> tuple[StoredObject, ...] | StoreError:
        """List all objects of a kind, without their values."""

    def watch(
        self, kind: str, name: str, after: int
    ) -> AsyncIterator[StoredObject | StoreError]:
        """Yield each change of one object after version ``after``."""

    async def vms(self) -> tuple[Vm, ...] | StoreError:
        """Read the VM list, which lags behind."""


class ObjectWrites(Protocol):
    """Change objects of the platform by conditional updates only."""

    async def put(
        self, kind: str, name: str, value: bytes, expect: int
    ) -> StoredObject | StoreError:
        """Write if the current version is ``expect`` (0: must not exist)."""

    async def delete(
        self, kind: str, name: str, expect: int
    ) -> None | StoreError:
        """Delete if the current version is ``expect``."""


class ObjectStore(ObjectReads, ObjectWrites, Protocol):
    """Read and change objects of the platform."""
