"""Keep objects in memory and return from a copy, without a network."""

from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault


class ReturningStore:
    """Implement the own objects of a site; versions belong to an era."""

    def __init__(self) -> None:
        self.era = 1
        self.version = 10
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.loses_next = False
        self._copy = (self.version, dict(self.objects))

    def copy(self) -> None:
        """Make the copy that the store will return from."""
        self._copy = (self.version, dict(self.objects))

    def return_from_copy(self) -> None:
        """Lose what was written since the copy."""
        self.era += 1
        self.version, kept = self._copy
        self.objects = dict(kept)

    async def get(self, kind: str, name: str) -> StoredObject | StoreError:
        """Read one object."""
        found = self.objects.get((kind, name))
        if found is None:
            return self._error(StoreFault.NOT_FOUND)
        return self._told(found)

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
                found.append(self._told(value))
        return tuple(found)

    async def put(
        self, kind: str, name: str, value: bytes, expect: int
    ) -> StoredObject | StoreError:
        """Write on condition; the answer may be lost."""
        found = self.objects.get((kind, name))
        if (0 if found is None else found.version) != expect:
            return self._error(StoreFault.CONFLICT)
        if self.loses_next:
            self.loses_next = False
            self.return_from_copy()
            return StoreError(StoreFault.UNKNOWN, 'lost')
        self.version += 1
        written = StoredObject(kind, name, self.version, value)
        self.objects[kind, name] = written
        return self._told(written)

    async def delete(
        self, kind: str, name: str, expect: int
    ) -> None | StoreError:
        """Delete on condition."""
        found = self.objects.get((kind, name))
        if found is None or found.version != expect:
            return self._error(StoreFault.CONFLICT)
        del self.objects[kind, name]
        return None

    def _told(self, found: StoredObject) -> StoredObject:
        return StoredObject(
            found.kind, found.name, found.version, found.value, self.era
        )

    def _error(self, fault: StoreFault) -> StoreError:
        return StoreError(fault, fault.value, era=self.era)
