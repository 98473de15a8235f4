"""Put a bundle in force: once, upon the roll that it was edited from."""

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

_SHOWN_DIFFERENCES = 5


@dataclass(frozen=True)
class RollResult:
    """Report a roll in force; ``written`` counts the new parts.

    ``document`` is None when an earlier try had taken effect.
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
        guard: BundleValidator,
        retry_policy: RetryPolicy | None = None,
        random: Random | None = None,
    ) -> None:
        self._store = store
        self._guard = guard
        self._patience = retry_policy or RetryPolicy()
        self._random = random or Random()
        self._reads = BundleHistory(store, guard, retry_policy, random)
        self._parts = PartWriter(store, self._patience, self._random)

    async def roll(
        self, order: RollOrder, base: int, key: OperatorKey
    ) -> RollResult | RollError:
        """Roll an order made from the bundle of roll ``base``, 0: none.

        The same order may be rolled again after UNKNOWN or a crash: it is
        found by its nonce and does not take effect twice.
        """
        stored = await self._read_base(base)
        if isinstance(stored, RollError):
            return stored
        if stored is not None and stored.head.version != base:
            return await self._lost_or_done(order, base, stored)
        previous: Predecessor | None = None
        if stored is not None:
            trust = await self._reads.trust(stored, order.parts[0])
            if isinstance(trust, RollError):
                return trust
            previous = Predecessor(stored.head, trust)
        document = make_successor(previous, order, key)
        if isinstance(document, Refusal):
            return RollError(RollFault.REFUSED, document.message)
        refusal = self._guard(document)
        if refusal is not None:
            return RollError(RollFault.REFUSED, refusal.message)
        written = await self._write_parts(document, stored)
        if isinstance(written, RollError):
            return written
        return await self._write_head(document, order, stored, written)

    async def _read_base(self, base: int) -> StoredHead | None | RollError:
        stored = await self._reads.head()
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
        """Write the new parts, and the head to be replaced, to the history.

        Both come before the head: a head whose parts are missing could be
        used by nobody, and a replaced head not kept would break the chain.
        """
        wanted = dict(zip(document.head.parts, document.parts, strict=True))
        shared: dict[str, bytes] = {}
        if stored is not None:
            for digest in stored.head.parts:
                if digest in wanted:
                    shared[digest] = wanted.pop(digest)
            wanted[stored.digest] = stored.value
        error = await self._parts.write(wanted)
        if error is None:
            error = await self._parts.repair(shared)
        if error is not None:
            return roll_error_from(error, 'the parts of the bundle')
        return len(wanted)

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
            self._patience.give_up_after_s,
            self._patience.backoff_base_s,
            self._patience.backoff_cap_s,
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
            self._patience,
            self._random,
        )
        number = document.head.version
        if not isinstance(answer, StoreError):
            return RollResult(number, order.digest, written, document)
        if answer.fault not in (StoreFault.CONFLICT, StoreFault.UNKNOWN):
            return roll_error_from(answer, 'the head of the bundle')
        now = await self._reads.head()
        if isinstance(now, RollError) or now.head.version < number:
            return RollError(
                RollFault.UNKNOWN,
                f'whether roll {number} took effect is not known:'
                f' {answer.message}; run the same command again',
            )
        base = 0 if stored is None else stored.head.version
        return await self._lost_or_done(order, base, now)

    async def _lost_or_done(
        self, order: RollOrder, base: int, now: StoredHead
    ) -> RollResult | RollError:
        """Find out whose the roll after ``base`` is.

        One head alone replaced that of ``base``, so that its nonce decides
        whether this order took effect.
        """
        if now.head.version < base:
            return RollError(
                RollFault.CONFLICT,
                f'roll {now.head.version} is in force, below roll {base} that'
                ' the bundle was edited from',
            )
        next_head = await self._reads.head_after(base)
        if isinstance(next_head, RollError):
            return RollError(RollFault.UNKNOWN, next_head.message)
        roll = next_head.proof.roll
        if roll.nonce == order.nonce and roll.digest == order.digest:
            return RollResult(roll.number, order.digest, 0)
        return await self._conflict(order, base, now)

    async def _conflict(
        self, order: RollOrder, base: int, now: StoredHead
    ) -> RollError:
        roll = now.proof.roll
        opening = (
            f'roll {roll.number} by {roll.operator!r} at {roll.at} is in'
            f' force; this bundle was edited from roll {base}'
        )
        theirs = await self._reads.signed_document(now)
        if isinstance(theirs, RollError):
            return RollError(RollFault.CONFLICT, opening)
        their_bundle = join(theirs.parts)
        bundle = join(order.parts)
        if isinstance(their_bundle, Refusal) or isinstance(bundle, Refusal):
            return RollError(RollFault.CONFLICT, opening)
        lines = [str(each) for each in diff_bundles(their_bundle, bundle)]
        if not lines:
            return RollError(
                RollFault.CONFLICT, f'{opening}; it has the same contents'
            )
        shown = '; '.join(lines[:_SHOWN_DIFFERENCES])
        more = len(lines) - _SHOWN_DIFFERENCES
        if more > 0:
            shown = f'{shown}; and {more} more'
        return RollError(
            RollFault.CONFLICT, f'{opening}; theirs -> yours: {shown}'
        )
