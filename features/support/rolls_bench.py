"""Provide operators who roll bundles at a fake platform."""

import asyncio
from asyncio import Runner
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from random import Random

import msgspec
from lacewing_bench.fakes import FakeStore
from lacewing_bench.platform import FaultSwitches
from lacewing_bench.platform import ObjectKey
from lacewing_bench.platform import PlatformService
from lacewing_bench.platform import PlatformSettings
from lacewing_common.bundle import Bundle
from lacewing_common.bundles import BundleValidator
from lacewing_common.bundles import contents_of_parts
from lacewing_common.bundles import join
from lacewing_common.bundles import new_key
from lacewing_common.bundles import OperatorKey
from lacewing_common.bundles import RollOrder
from lacewing_common.bundles import sign_off
from lacewing_common.bundles import SignOffRole
from lacewing_common.bundles import split
from lacewing_common.document import Document
from lacewing_common.document_objects import encode_head
from lacewing_common.document_objects import HEADS
from lacewing_common.document_objects import PARTS
from lacewing_common.retries import RetryPolicy
from lacewing_common.rolls import BundleHistory
from lacewing_common.rolls import BundleRoller
from lacewing_common.rolls import HistoryEntry
from lacewing_common.rolls import make_rollback
from lacewing_common.rolls import RollError
from lacewing_common.rolls import RollFault
from lacewing_common.rolls import RollResult
from lacewing_common.rolls import StoredHead
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault
from lacewing_common.verdict import Refusal
from support.bundle_bench import AT
from support.bundle_bench import make_bundle

_RETRY_POLICY = RetryPolicy(
    give_up_after_s=20.0, backoff_base_s=0.001, backoff_cap_s=0.01
)
_UNLIMITED = 1e9


class OvertakenStore(FakeStore):
    """Lose the answer of the next write of a kind.

    ``on_written`` runs after the write has taken effect, before the writer
    gets an error.
    """

    def __init__(
        self,
        service: PlatformService,
        kind: str,
        on_written: Callable[[], Awaitable[None]],
    ) -> None:
        super().__init__(service)
        self._kind = kind
        self._on_written: Callable[[], Awaitable[None]] | None = on_written

    async def put(
        self, kind: str, name: str, value: bytes, expect: int
    ) -> StoredObject | StoreError:
        """Write, and lose the answer once."""
        answer = await super().put(kind, name, value, expect)
        on_written = self._on_written
        if kind != self._kind or on_written is None:
            return answer
        self._on_written = None
        await on_written()
        return StoreError(StoreFault.UNKNOWN, 'the answer was lost')


class LenientValidator(BundleValidator):
    """Act as the validator of a release with fewer checks."""

    def __call__(self, document: Document) -> Refusal | None:
        """Verify only the signatures."""
        return self.check_signatures(document)


@dataclass
class Draft:
    """Hold an edited bundle and the number of the roll it is based on."""

    base: int
    bundle: Bundle
    nonce: str


@dataclass
class Race:
    """Record the results of concurrent rolls."""

    won: dict[int, str] = field(default_factory=dict)
    lost: set[str] = field(default_factory=set)
    numbers_seen: list[int] = field(default_factory=list)
    refused: list[str] = field(default_factory=list)


class RollsBench:
    """Provide a platform, the operators' keys and their rolls."""

    def __init__(self, runner: Runner, names: list[str]) -> None:
        self.runner = runner
        self.service = PlatformService(
            PlatformSettings(writes_per_s=_UNLIMITED, reads_per_s=_UNLIMITED)
        )
        self.store = FakeStore(self.service, watch_retry_s=0.001)
        self.keys: dict[str, OperatorKey] = {}
        for name in names:
            self.keys[name] = new_key(name)
        root = tuple(key.public for key in self.keys.values())
        self.root = root
        self.validator = BundleValidator(root)
        self.bundle = msgspec.structs.replace(make_bundle(), operators=root)
        self.drafts: dict[str, Draft] = {}
        self.result: RollResult | RollError | None = None
        self._nonce_count = 0

    @property
    def bundle_history(self) -> BundleHistory:
        """Return the bundle history with the current store and validator."""
        return BundleHistory(
            self.store, self.validator, _RETRY_POLICY, Random(1)
        )

    @property
    def roller(self) -> BundleRoller:
        """Return a roller with the current store and validator."""
        return BundleRoller(
            self.store, self.validator, _RETRY_POLICY, Random(2)
        )

    def set_faults(self, **switches: object) -> None:
        """Replace the platform's fault switches."""
        self.service.set_faults(msgspec.convert(switches, FaultSwitches))

    async def edit(self, operator: str, share: float) -> Draft:
        """Edit the share of a team in the active bundle."""
        base = 0
        bundle = self.bundle
        stored = await self.bundle_history.head()
        if isinstance(stored, StoredHead):
            base = stored.head.version
            document = await self.bundle_history.signed_document(stored)
            assert isinstance(document, Document), document
            active_bundle = join(document.parts)
            assert isinstance(active_bundle, Bundle), active_bundle
            bundle = active_bundle
        teams = list(bundle.teams)
        teams[0] = msgspec.structs.replace(teams[0], share=share)
        bundle = msgspec.structs.replace(bundle, teams=tuple(teams))
        self._nonce_count += 1
        return Draft(base, bundle, f'{operator}-{self._nonce_count}')

    def order(self, operator: str, draft: Draft) -> RollOrder:
        """Sign a draft off and create the order of its roll."""
        parts = split(draft.bundle)
        signed = sign_off(
            contents_of_parts(parts).digest,
            SignOffRole.AUTHOR,
            AT,
            self.keys[operator],
        )
        return RollOrder(parts, (signed,), AT, draft.nonce)

    async def roll_overtaken(
        self, operator: str, other: str, times: int
    ) -> RollResult | RollError:
        """Roll with a lost answer; another operator rolls before the retry."""
        original_store = self.store

        async def roll_others() -> None:
            self.store = original_store
            for number in range(times):
                draft = await self.edit(other, 100.0 + number)
                result = await self.roll(other, draft)
                assert isinstance(result, RollResult), result

        self.store = OvertakenStore(self.service, HEADS, roll_others)
        return await self.roll(operator, self.drafts[operator])

    async def roll_back(
        self, operator: str, number: int
    ) -> RollResult | RollError:
        """Roll the bundle of an earlier roll, with its sign-offs."""
        active = await self.bundle_history.head()
        assert isinstance(active, StoredHead), active
        order = await make_rollback(
            self.bundle_history, active, number, AT, 'back'
        )
        if isinstance(order, RollError):
            return order
        key = self.keys[operator]
        return await self.roller.roll(order, active.head.version, key)

    async def revoke(
        self, operator: str, other: str
    ) -> RollResult | RollError:
        """Roll the active bundle without one of its operators."""
        draft = await self.edit(operator, 5.0)
        remaining = tuple(
            row for row in draft.bundle.operators if row.name != other
        )
        draft.bundle = msgspec.structs.replace(
            draft.bundle, operators=remaining
        )
        return await self.roll(operator, draft)

    async def roll(
        self, operator: str, draft: Draft
    ) -> RollResult | RollError:
        """Sign a draft off and roll it."""
        order = self.order(operator, draft)
        return await self.roller.roll(order, draft.base, self.keys[operator])

    def rewrite_head(self, before: str, after: str) -> None:
        """Replace the operator in the proof of the active head."""
        stored = self.runner.run(self.bundle_history.head())
        assert isinstance(stored, StoredHead), stored
        proof = stored.head.proof.replace(
            f'"operator":"{before}"'.encode(),
            f'"operator":"{after}"'.encode(),
        )
        assert proof != stored.head.proof
        head = msgspec.structs.replace(stored.head, proof=proof)
        key = ObjectKey(HEADS, 'bundle')
        self.service.put(key, encode_head(head), stored.version)

    def damage_parts(self, lost: bool) -> None:
        """Delete or change each part of the active bundle."""
        head = self.runner.run(self.bundle_history.head())
        assert isinstance(head, StoredHead), head
        for digest in head.head.parts:
            key = ObjectKey(PARTS, digest)
            if lost:
                self.service.delete(key, 1)
                continue
            self.service.put(key, b'{}', 1)

    def history(self) -> tuple[HistoryEntry, ...]:
        """Return all rolls, newest first."""
        entries = self.runner.run(self.bundle_history.history(10_000))
        assert not isinstance(entries, RollError), entries
        return entries

    async def race(self, rolls: int, seed: int) -> Race:
        """Roll concurrently as all operators while a process observes."""
        race = Race()
        observer = asyncio.create_task(self._observe(race, rolls))
        each = rolls // len(self.keys)
        async with asyncio.TaskGroup() as operators:
            for index, name in enumerate(self.keys):
                operators.create_task(
                    self._roll_until_won(
                        name, each, Random(seed + index), race
                    )
                )
        await observer
        return race

    async def _roll_until_won(
        self, name: str, rolls: int, random: Random, race: Race
    ) -> None:
        won = 0
        while won < rolls:
            draft = await self.edit(name, 1 + random.random())
            result = await self.roll(name, draft)
            while (
                isinstance(result, RollError)
                and result.fault is RollFault.UNKNOWN
            ):
                result = await self.roll(name, draft)
            if isinstance(result, RollResult):
                won += 1
                race.won[result.number] = draft.nonce
                continue
            assert result.fault is RollFault.CONFLICT, result
            race.lost.add(draft.nonce)

    async def _observe(self, race: Race, last: int) -> None:
        """Validate each active bundle, as a process does."""
        validator = self.validator
        while not race.numbers_seen or race.numbers_seen[-1] < last:
            stored = await self.bundle_history.head()
            await asyncio.sleep(0)
            if not isinstance(stored, StoredHead):
                continue
            document = await self.bundle_history.document(stored)
            if isinstance(document, RollError):
                race.refused.append(document.message)
                continue
            validator.record_trust(document)
            race.numbers_seen.append(document.head.version)
