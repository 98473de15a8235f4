"""Activate a bundle once, on top of the roll it was edited from."""

from dataclasses import dataclass
from random import Random

from lacewing_common.bundles import BundleValidator
from lacewing_common.bundles import join
from lacewing_common.bundles import make_successor
from lacewing_common.bundles import OperatorKey
from lacewing_common.bundles import Predecessor
from lacewing_common.bundles import RollOrder
from lacewing_common.document import Document
from lacewing_common.document_objects import encode_head
from lacewing_common.document_objects import HEADS
from lacewing_common.resolved_put import put_with_resolution
from lacewing_common.resolved_put import ResolvePolicy
from lacewing_common.retries import call_with_retries
from lacewing_common.retries import RetryPolicy
from lacewing_common.rolls._diff import diff_bundles
from lacewing_common.rolls._errors import roll_error_from
from lacewing_common.rolls._errors import RollError
from lacewing_common.rolls._errors import RollFault
from lacewing_common.rolls._parts import PartWriter
from lacewing_common.rolls._reads import BundleHistory
from lacewing_common.rolls._reads import HEAD_NAME
from lacewing_common.rolls._reads import StoredHead
from lacewing_common.store import MUST_NOT_EXIST
from lacewing_common.store import ObjectStore
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault
from lacewing_common.verdict import Refusal

_MAX_SHOWN_DIFFERENCES = 5


@dataclass(frozen=True)
class RollResult:
    """Describe a roll that took effect; ``written`` counts new parts.

    ``document`` is None if an earlier attempt had already taken effect.
    """

    number: int
    digest: str
    written: int
    document: Document | None = None


class BundleRoller:
    """Roll bundles through conditional updates of one head object."""

    def __init__(
        self,
        store: ObjectStore,
        validator: BundleValidator,
        retry_policy: RetryPolicy | None = None,
        random: Random | None = None,
    ) -> None:
        self._store = store
        self._validator = validator
        self._retry_policy = retry_policy or RetryPolicy()
        self._random = random or Random()
        self._history = BundleHistory(store, validator, retry_policy, random)
        self._parts = PartWriter(store, self._retry_policy, self._random)

    async def roll(
        self, order: RollOrder, base: int, key: OperatorKey
    ) -> RollResult | RollError:
        """Roll an order that is based on roll ``base``, 0 for none.

        The same order can be repeated after UNKNOWN or a crash: it is
        identified by its nonce and does not take effect twice.
        """
        stored = await self._read_base(base)
        if isinstance(stored, RollError):
            return stored
        if stored is not None and stored.head.version != base:
            return await self._resolve_order(order, base, stored)
        previous: Predecessor | None = None
        if stored is not None:
            trust = await self._history.trust(stored, order.parts[0])
            if isinstance(trust, RollError):
                return trust
            previous = Predecessor(stored.head, trust)
        document = make_successor(previous, order, key)
        if isinstance(document, Refusal):
            return RollError(RollFault.REFUSED, document.message)
        refusal = self._validator(document)
        if refusal is not None:
            return RollError(RollFault.REFUSED, refusal.message)
        written = await self._write_parts(document, stored)
        if isinstance(written, RollError):
            return written
        return await self._write_head(document, order, stored, written)

    async def _read_base(self, base: int) -> StoredHead | None | RollError:
        stored = await self._history.head()
        if isinstance(stored, StoredHead):
            return stored
        if stored.fault is not RollFault.NOT_FOUND:
            return stored
        if base == 0:
            return None
        return RollError(
            RollFault.NOT_FOUND,
            f'the platform holds no bundle, though roll {base} was in force;'
            ' its head was deleted',
        )

    async def _write_parts(
        self, document: Document, stored: StoredHead | None
    ) -> int | RollError:
        """Write the new parts, and archive the head that is replaced.

        Both are written before the new head: no process could use a head with
        missing parts, and losing a replaced head would break the chain.
        """
        new_parts = dict(zip(document.head.parts, document.parts, strict=True))
        unchanged_parts: dict[str, bytes] = {}
        if stored is not None:
            for digest in stored.head.parts:
                if digest in new_parts:
                    unchanged_parts[digest] = new_parts.pop(digest)
            new_parts[stored.digest] = stored.value
        error = await self._parts.write(new_parts)
        if error is None:
            error = await self._parts.repair(unchanged_parts)
        if error is not None:
            return roll_error_from(error, 'the parts of the bundle')
        return len(new_parts)

    async def _write_head(
        self,
        document: Document,
        order: RollOrder,
        stored: StoredHead | None,
        written: int,
    ) -> RollResult | RollError:
        expect = MUST_NOT_EXIST if stored is None else stored.version
        value = encode_head(document.head)
        policy = ResolvePolicy(
            self._retry_policy.give_up_after_s,
            self._retry_policy.backoff_base_s,
            self._retry_policy.backoff_cap_s,
        )
        answer = await call_with_retries(
            lambda: put_with_resolution(
                self._store,
                HEADS,
                HEAD_NAME,
                value,
                expect,
                policy,
                self._random,
            ),
            self._retry_policy,
            self._random,
        )
        number = document.head.version
        if not isinstance(answer, StoreError):
            return RollResult(number, order.digest, written, document)
        if answer.fault not in (StoreFault.CONFLICT, StoreFault.UNKNOWN):
            return roll_error_from(answer, 'the head of the bundle')
        current = await self._history.head()
        if isinstance(current, RollError) or current.head.version < number:
            return RollError(
                RollFault.UNKNOWN,
                f'whether roll {number} took effect is not known:'
                f' {answer.message}; run the same command again',
            )
        base = 0 if stored is None else stored.head.version
        return await self._resolve_order(order, base, current)

    async def _resolve_order(
        self, order: RollOrder, base: int, current: StoredHead
    ) -> RollResult | RollError:
        """Determine whether this order is the roll after ``base``.

        Exactly one head replaced that of ``base``, so its nonce shows whether
        this order took effect.
        """
        if current.head.version < base:
            return RollError(
                RollFault.CONFLICT,
                f'roll {current.head.version} is in force, below roll {base}'
                ' that the bundle was edited from',
            )
        next_head = await self._history.head_after(base)
        if isinstance(next_head, RollError):
            return RollError(RollFault.UNKNOWN, next_head.message)
        roll = next_head.proof.roll
        if roll.nonce == order.nonce and roll.digest == order.digest:
            return RollResult(roll.number, order.digest, 0)
        return await self._describe_conflict(order, base, current)

    async def _describe_conflict(
        self, order: RollOrder, base: int, current: StoredHead
    ) -> RollError:
        roll = current.proof.roll
        description = (
            f'roll {roll.number} by {roll.operator!r} at {roll.at} is in'
            f' force; this bundle was edited from roll {base}'
        )
        active_document = await self._history.signed_document(current)
        if isinstance(active_document, RollError):
            return RollError(RollFault.CONFLICT, description)
        active_bundle = join(active_document.parts)
        bundle = join(order.parts)
        if isinstance(active_bundle, Refusal) or isinstance(bundle, Refusal):
            return RollError(RollFault.CONFLICT, description)
        lines = [str(each) for each in diff_bundles(active_bundle, bundle)]
        if not lines:
            return RollError(
                RollFault.CONFLICT, f'{description}; it has the same contents'
            )
        summary = '; '.join(lines[:_MAX_SHOWN_DIFFERENCES])
        hidden_count = len(lines) - _MAX_SHOWN_DIFFERENCES
        if hidden_count > 0:
            summary = f'{summary}; and {hidden_count} more'
        return RollError(
            RollFault.CONFLICT, f'{description}; theirs -> yours: {summary}'
        )
