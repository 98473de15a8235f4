"""Fake an in-memory object store that can be restored from a snapshot."""

from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault


class RestorableStore:
    """Implement ``SystemObjects``; versions are valid within one era."""

    def __init__(self) -> None:
        self.era = 1
        self.version = 10
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.restore_on_next_put = False
        self._snapshot = (self.version, dict(self.objects))

    def take_snapshot(self) -> None:
        """Take the snapshot that ``restore`` returns to."""
        self._snapshot = (self.version, dict(self.objects))

    def restore(self) -> None:
        """Lose all writes since the snapshot and start a new era."""
        self.era += 1
        self.version, objects = self._snapshot
        self.objects = dict(objects)

    async def get(self, kind: str, name: str) -> StoredObject | StoreError:
        """Read one object."""
        found = self.objects.get((kind, name))
        if found is None:
            return self._error(StoreFault.NOT_FOUND)
        return self._with_era(found)

    async def peek(self, kind: str, name: str) -> StoredObject | StoreError:
        """Read one object."""
        return await self.get(kind, name)

    async def peek_all(
        self, kind: str
    ) -> tuple[StoredObject, ...] | StoreError:
        """Read all objects of a kind."""
        found = []
        for (found_kind, _), value in self.objects.items():
            if found_kind == kind:
                found.append(self._with_era(value))
        return tuple(found)

    async def put(
        self, kind: str, name: str, value: bytes, expect: int
    ) -> StoredObject | StoreError:
        """Write if the version matches; the response may be lost."""
        found = self.objects.get((kind, name))
        if (0 if found is None else found.version) != expect:
            return self._error(StoreFault.CONFLICT)
        if self.restore_on_next_put:
            self.restore_on_next_put = False
            self.restore()
            return StoreError(StoreFault.UNKNOWN, 'response lost')
        self.version += 1
        written = StoredObject(kind, name, self.version, value)
        self.objects[kind, name] = written
        return self._with_era(written)

    async def delete(
        self, kind: str, name: str, expect: int
    ) -> None | StoreError:
        """Delete if the version matches."""
        found = self.objects.get((kind, name))
        if found is None or found.version != expect:
            return self._error(StoreFault.CONFLICT)
        del self.objects[kind, name]
        return None

    def _with_era(self, found: StoredObject) -> StoredObject:
        return StoredObject(
            found.kind, found.name, found.version, found.value, self.era
        )

    def _error(self, fault: StoreFault) -> StoreError:
        return StoreError(fault, fault.value, era=self.era)
