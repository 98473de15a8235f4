"""Keep the platform's objects in memory, with versions and watches."""

from asyncio import Event
from dataclasses import dataclass

from lacewing_common.store import MUST_NOT_EXIST
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault

MAX_VALUE_BYTES = 1_000_000


@dataclass(frozen=True)
class ObjectKey:
    """Name one object."""

    kind: str
    name: str

    def __str__(self) -> str:
        return f'{self.kind}/{self.name}'


class ObjectTable:
    """Hold the objects.

    The versions of a name go on growing after a delete. Starting again from
    1 would let a writer paused since before the delete match the version of
    another object.
    """

    def __init__(self) -> None:
        self._objects: dict[ObjectKey, StoredObject] = {}
        self._versions: dict[ObjectKey, int] = {}
        self._changes: dict[ObjectKey, Event] = {}

    def get(self, key: ObjectKey) -> StoredObject | None:
        """Return one object, or None when absent."""
        return self._objects.get(key)

    def names(self, kind: str) -> tuple[StoredObject, ...]:
        """Return all objects of a kind, without their values."""
        found = []
        for key in sorted(self._objects, key=str):
            if key.kind != kind:
                continue
            version = self._objects[key].version
            found.append(StoredObject(kind, key.name, version, b''))
        return tuple(found)

    def version(self, key: ObjectKey) -> int:
        """Return the last version given, also to a delete; 0: none yet."""
        return self._versions.get(key, 0)

    def put(
        self, key: ObjectKey, value: bytes, expect: int
    ) -> StoredObject | StoreError:
        """Write if the version is ``expect`` (0: must not exist)."""
        if len(value) > MAX_VALUE_BYTES:
            return _too_large(key, len(value))
        found = self._found_version(key)
        if found != expect:
            return _conflict(key, expect, found)
        version = self._advance(key)
        stored = StoredObject(key.kind, key.name, version, value)
        self._objects[key] = stored
        self._notify(key)
        return stored

    def delete(self, key: ObjectKey, expect: int) -> None | StoreError:
        """Delete if the version is ``expect``."""
        found = self._found_version(key)
        if found == MUST_NOT_EXIST:
            return StoreError(StoreFault.NOT_FOUND, f'{key} does not exist')
        if found != expect:
            return _conflict(key, expect, found)
        del self._objects[key]
        self._advance(key)
        self._notify(key)
        return None

    async def change_after(self, key: ObjectKey, version: int) -> None:
        """Wait for a change above a version, or for ``wake_all``."""
        if self.version(key) > version:
            return
        change = self._changes.setdefault(key, Event())
        await change.wait()

    def wake_all(self) -> None:
        """Wake all who wait for a change."""
        for change in self._changes.values():
            change.set()
        self._changes.clear()

    def _found_version(self, key: ObjectKey) -> int:
        found = self._objects.get(key)
        return MUST_NOT_EXIST if found is None else found.version

    def _advance(self, key: ObjectKey) -> int:
        version = self.version(key) + 1
        self._versions[key] = version
        return version

    def _notify(self, key: ObjectKey) -> None:
        change = self._changes.pop(key, None)
        if change is not None:
            change.set()


def _conflict(key: ObjectKey, expect: int, found: int) -> StoreError:
    return StoreError(
        StoreFault.CONFLICT,
        f'expected version {expect} of {key}, found {found}'
        ' (0: does not exist)',
    )


def _too_large(key: ObjectKey, size: int) -> StoreError:
    return StoreError(
        StoreFault.TOO_LARGE,
        f'expected at most {MAX_VALUE_BYTES} bytes in {key}, got {size}',
    )
