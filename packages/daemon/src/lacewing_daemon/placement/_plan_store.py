"""Keep the authoritative copy of a service's plan in the platform."""

from random import Random

from lacewing_common.document import Document
from lacewing_common.document import DocumentHead
from lacewing_common.document_objects import decode_head
from lacewing_common.document_objects import encode_head
from lacewing_common.document_objects import head_object
from lacewing_common.document_objects import HEADS
from lacewing_common.document_objects import PARTS
from lacewing_common.plan import Plan
from lacewing_common.plan import plan_document
from lacewing_common.plan import plan_name
from lacewing_common.plan_objects import read_plan_document
from lacewing_common.resolved_put import put_with_resolution
from lacewing_common.retries import put_part
from lacewing_common.retries import RetryPolicy
from lacewing_common.store import MUST_NOT_EXIST
from lacewing_common.store import ObjectStore
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault

_PATIENCE = RetryPolicy(give_up_after_s=5.0)


class PlanStore:
    """Read and replace one plan by conditional updates."""

    def __init__(
        self, store: ObjectStore, service: str, random: Random
    ) -> None:
        self._store = store
        self._name = plan_name(service)
        self._random = random
        self._replaced: tuple[str, ...] = ()

    async def read(self) -> Document | None | StoreError:
        """Read the plan; None when there is none yet."""
        return await read_plan_document(self._store, self._name.name)

    async def publish(self, plan: Plan) -> Document | StoreError:
        """Put a plan in force unless one of a higher fence is there.

        A planner that was paused for long carries an old fence; the head of
        its successor stops it, or meets a conflict and replaces its own.
        """
        document = plan_document(plan)
        head_name = head_object(self._name)
        stored = await self._store.get(HEADS, head_name)
        expect = MUST_NOT_EXIST
        replaced: DocumentHead | None = None
        if isinstance(stored, StoredObject):
            expect = stored.version
            replaced = decode_head(stored.value)
        elif stored.fault is not StoreFault.NOT_FOUND:
            return stored
        if replaced is not None and replaced.version >= plan.fence:
            return StoreError(
                StoreFault.CONFLICT,
                f'plan {replaced.version} is in force; this one has the'
                f' fencing number {plan.fence}',
            )
        for digest, part in zip(
            document.head.parts, document.parts, strict=True
        ):
            error = await put_part(
                self._store, PARTS, digest, part, _PATIENCE, self._random
            )
            if error is not None:
                return error
        answer = await put_with_resolution(
            self._store,
            HEADS,
            head_name,
            encode_head(document.head),
            expect,
            random=self._random,
        )
        if isinstance(answer, StoreError):
            return answer
        await self._clean(replaced)
        return document

    async def _clean(self, replaced: DocumentHead | None) -> None:
        """Delete the part of the plan before last: nobody reads it now."""
        for digest in self._replaced:
            stored = await self._store.get(PARTS, digest)
            if isinstance(stored, StoredObject):
                await self._store.delete(PARTS, digest, stored.version)
        self._replaced = () if replaced is None else replaced.parts
