"""Let operators roll bundles at a fake platform."""

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

_PATIENCE = RetryPolicy(
    give_up_after_s=20.0, backoff_base_s=0.001, backoff_cap_s=0.01
)
_UNLIMITED = 1e9


class OvertakenStore(FakeStore):
    """Lose the answer of the next write of a kind and let others go on.

    ``others`` runs after the effect, before its writer hears anything.
    """

    def __init__(
        self,
        service: PlatformService,
        kind: str,
        others: Callable[[], Awaitable[None]],
    ) -> None:
        super().__init__(service)
        self._kind = kind
        self._others: Callable[[], Awaitable[None]] | None = others

    async def put(
        self, kind: str, name: str, value: bytes, expect: int
    ) -> StoredObject | StoreError:
        """Write, then hold the writer up once."""
        answer = await super().put(kind, name, value, expect)
        others = self._others
        if kind != self._kind or others is None:
            return answer
        self._others = None
        await others()
        return StoreError(StoreFault.UNKNOWN, 'the answer was lost')


class LenientGuard(BundleValidator):
    """Be the guard of a release that has fewer checks."""

    def __call__(self, document: Document) -> Refusal | None:
        """Check the signatures alone."""
        return self.check_signatures(document)


@dataclass
class Draft:
    """Hold what an operator edits: the bundle and the roll it came from."""

    base: int
    bundle: Bundle
    nonce: str


@dataclass
class Race:
    """Count what racing operators met."""

    won: dict[int, str] = field(default_factory=dict)
    lost: set[str] = field(default_factory=set)
    numbers_seen: list[int] = field(default_factory=list)
    refused: list[str] = field(default_factory=list)


class RollsBench:
    """Hold a platform, the operators' keys and what they roll."""

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
        self.guard = BundleValidator(root)
        self.bundle = msgspec.structs.replace(make_bundle(), operators=root)
        self.drafts: dict[str, Draft] = {}
        self.result: RollResult | RollError | None = None
        self._nonces = 0

    @property
    def reads(self) -> BundleHistory:
        """Return the queries of an operator."""
        return BundleHistory(self.store, self.guard, _PATIENCE, Random(1))

    @property
    def writes(self) -> BundleRoller:
        """Return the commands of an operator."""
        return BundleRoller(self.store, self.guard, _PATIENCE, Random(2))

    def set_faults(self, **switches: object) -> None:
        """Replace the platform's fault switches."""
        self.service.set_faults(msgspec.convert(switches, FaultSwitches))

    async def edit(self, operator: str, share: float) -> Draft:
        """Edit the share of a team in the bundle in force."""
        base = 0
        bundle = self.bundle
        stored = await self.reads.head()
        if isinstance(stored, StoredHead):
            base = stored.head.version
            document = await self.reads.signed_document(stored)
            assert isinstance(document, Document), document
            read = join(document.parts)
            assert isinstance(read, Bundle), read
            bundle = read
        teams = list(bundle.teams)
        teams[0] = msgspec.structs.replace(teams[0], share=share)
        bundle = msgspec.structs.replace(bundle, teams=tuple(teams))
        self._nonces += 1
        return Draft(base, bundle, f'{operator}-{self._nonces}')

    def order(self, operator: str, draft: Draft) -> RollOrder:
        """Sign a draft off and make the order of its roll."""
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
        """Roll with a lost answer; another rolls before it is read back."""
        present = self.store

        async def others() -> None:
            self.store = present
            for number in range(times):
                draft = await self.edit(other, 100.0 + number)
                result = await self.roll(other, draft)
                assert isinstance(result, RollResult), result

        self.store = OvertakenStore(self.service, HEADS, others)
        return await self.roll(operator, self.drafts[operator])

    async def roll_back(
        self, operator: str, number: int
    ) -> RollResult | RollError:
        """Roll the bundle of an earlier roll, with its sign-offs."""
        now = await self.reads.head()
        assert isinstance(now, StoredHead), now
        order = await make_rollback(self.reads, now, number, AT, 'back')
        if isinstance(order, RollError):
            return order
        key = self.keys[operator]
        return await self.writes.roll(order, now.head.version, key)

    async def withdraw(
        self, operator: str, other: str
    ) -> RollResult | RollError:
        """Roll the bundle in force without one of its operators."""
        draft = await self.edit(operator, 5.0)
        kept = tuple(
            row for row in draft.bundle.operators if row.name != other
        )
        draft.bundle = msgspec.structs.replace(draft.bundle, operators=kept)
        return await self.roll(operator, draft)

    async def roll(
        self, operator: str, draft: Draft
    ) -> RollResult | RollError:
        """Sign a draft off and roll it."""
        order = self.order(operator, draft)
        return await self.writes.roll(order, draft.base, self.keys[operator])

    def rewrite_head(self, before: str, after: str) -> None:
        """Name another operator in the proof of the head in force."""
        stored = self.runner.run(self.reads.head())
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
        """Delete or change each part of the bundle in force."""
        head = self.runner.run(self.reads.head())
        assert isinstance(head, StoredHead), head
        for digest in head.head.parts:
            key = ObjectKey(PARTS, digest)
            if lost:
                self.service.delete(key, 1)
                continue
            self.service.put(key, b'{}', 1)

    def history(self) -> tuple[HistoryEntry, ...]:
        """Return all rolls, newest first."""
        entries = self.runner.run(self.reads.history(10_000))
        assert not isinstance(entries, RollError), entries
        return entries

    async def race(self, rolls: int, seed: int) -> Race:
        """Let all operators roll at once, and a process follow."""
        race = Race()
        follower = asyncio.create_task(self._follow(race, rolls))
        each = rolls // len(self.keys)
        async with asyncio.TaskGroup() as operators:
            for index, name in enumerate(self.keys):
                operators.create_task(
                    self._operate(name, each, Random(seed + index), race)
                )
        await follower
        return race

    async def _operate(
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

    async def _follow(self, race: Race, last: int) -> None:
        """Use each bundle seen, as a process does."""
        guard = self.guard
        while not race.numbers_seen or race.numbers_seen[-1] < last:
            stored = await self.reads.head()
            await asyncio.sleep(0)
            if not isinstance(stored, StoredHead):
                continue
            document = await self.reads.document(stored)
            if isinstance(document, RollError):
                race.refused.append(document.message)
                continue
            guard.record_trust(document)
            race.numbers_seen.append(document.head.version)
