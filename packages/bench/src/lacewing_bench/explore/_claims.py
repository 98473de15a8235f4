"""Explore the claims of one key over two agents.

Symptoms looked for: a call that runs twice; "not run" of an attempt that
runs after all; a replay of what never ran; a key that stays refused though
nobody ran it and no agent was lost.
"""

import asyncio
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from random import Random

from lacewing_common.claim_key import call_digest
from lacewing_common.claim_key import claim_key
from lacewing_common.verdict import Refusal
from lacewing_common.verdict import Verdict
from lacewing_daemon.claims._claims import Claims
from lacewing_daemon.claims._limits import ClaimLimits
from lacewing_daemon.claims._record import ClaimState
from lacewing_daemon.claims._record import Outcome
from lacewing_daemon.claims._requests import ClaimAnswer
from lacewing_daemon.claims._requests import ClaimRequest
from lacewing_daemon.claims._requests import Closing
from lacewing_daemon.claims._requests import Permit

from lacewing_bench.explore._scripted_store import Fate
from lacewing_bench.explore._scripted_store import PendingCall
from lacewing_bench.explore._scripted_store import ScriptedStore
from lacewing_bench.explore._search import Breach
from lacewing_bench.explore._search import Chooser
from lacewing_bench.explore._search import Findings
from lacewing_bench.explore._search import search
from lacewing_bench.explore._virtual_loop import VirtualLoop
from lacewing_bench.platform._objects import ObjectTable

KEY = claim_key('team', 'service', 'key')
CALL = call_digest('POST', '/certificates', b'')
OUTCOME = Outcome(200, 'text/plain', b'', b'issued')
LIMITS = ClaimLimits(
    pace_s=0.0,
    linger_s=0.0,
    wait_s=4.0,
    resolve_s=0.5,
    retry_base_s=0.1,
    retry_cap_s=0.1,
)
MOST_ASKS = 3
MOST_CRASHES = 1
SETTLING_ROUNDS = 60
CLAIMED = ('ask A', 'deliver A read', 'deliver A write')
OPENINGS: tuple[tuple[str, ...], ...] = (
    (),
    ('ask A', 'deliver A read', 'ask B', 'deliver B read'),
    ('ask A', 'deliver A read', 'delay A write'),
    ('ask A', 'deliver A read', 'lose A write'),
    (*CLAIMED, 'ask B', 'deliver B read'),
    (*CLAIMED, 'execute attempt-0', 'keep attempt-0'),
    (*CLAIMED, 'withdraw attempt-0', 'ask B', 'deliver B read'),
)


@dataclass
class Ask:
    """Follow one attempt of the call."""

    request: ClaimRequest
    agent: 'Agent'
    task: 'asyncio.Task[ClaimAnswer]'
    executed: bool = False
    closed: bool = False
    lost: bool = False

    @property
    def answer(self) -> ClaimAnswer | None:
        """Return the answer, None before it came."""
        if not self.task.done() or self.task.cancelled():
            return None
        return self.task.result()

    @property
    def permitted(self) -> bool:
        """Tell whether it holds a permit that it may still use."""
        if self.lost or self.closed:
            return False
        return isinstance(self.answer, Permit)


class Agent:
    """Hold one agent's claims and its way to the platform."""

    def __init__(self, name: str, objects: ObjectTable) -> None:
        self.name = name
        self._objects = objects
        self._random = Random(0)
        self.store = ScriptedStore(objects)
        self.claims = self._new_claims()

    async def crash(self) -> None:
        """Lose all memory; open writes may still arrive."""
        await self.claims.close()
        self.store.abandon()
        self.claims = self._new_claims()

    def _new_claims(self) -> Claims:
        return Claims(
            self.store, 'service', LIMITS, lambda: 1000.0, self._random
        )


@dataclass
class World:
    """Hold what one sequence of steps works on."""

    loop: VirtualLoop
    objects: ObjectTable = field(default_factory=ObjectTable)
    asks: list[Ask] = field(default_factory=list)
    executions: int = 0
    crashes: int = 0

    def __post_init__(self) -> None:
        self.agents = [Agent(name, self.objects) for name in ('A', 'B')]

    def steps(self) -> list['Step']:
        """List what may happen next, always in the same order."""
        found: list[Step] = []
        for agent in self.agents:
            for call in agent.store.pending:
                for fate in call.fates:
                    found.append(Settle(agent, call, fate))
            for number in range(len(agent.store.delayed)):
                found.append(Arrive(agent, number))
        for ask in self.asks:
            if ask.permitted and not ask.executed:
                found.append(Execute(ask))
                found.append(Withdraw(ask))
            elif ask.permitted:
                found.append(Keep(ask))
        for agent in self.agents:
            if len(self.asks) < MOST_ASKS:
                found.append(AskFor(agent))
        for agent in self.agents:
            if self.crashes < MOST_CRASHES and self.asks:
                found.append(Crash(agent))
        if self.asks:
            found.append(Wait())
        return found

    def ask(self, agent: Agent) -> Ask:
        """Let a caller ask through one agent."""
        request = ClaimRequest(KEY, CALL, f'attempt-{len(self.asks)}')
        claiming = agent.claims.claim(request, LIMITS.wait_s)
        ask = Ask(request, agent, self.loop.create_task(claiming))
        self.asks.append(ask)
        return ask


class Step:
    """Name one step and make it."""

    name = ''

    async def make(self, world: World) -> None:
        """Make the step."""


class Settle(Step):
    """Decide the fate of a call to the platform."""

    def __init__(self, agent: Agent, call: PendingCall, fate: Fate) -> None:
        kind = 'read' if call.write is None else 'write'
        self.name = f'{fate.value} {agent.name} {kind}'
        self._agent = agent
        self._call = call
        self._fate = fate

    async def make(self, world: World) -> None:
        """Settle the call."""
        self._agent.store.settle(self._call, self._fate)


class Arrive(Step):
    """Let a delayed write arrive."""

    def __init__(self, agent: Agent, number: int) -> None:
        self.name = f'arrive {agent.name} {number}'
        self._agent = agent
        self._number = number

    async def make(self, world: World) -> None:
        """Let it take effect, if its version still fits."""
        store = self._agent.store
        store.arrive(store.delayed.pop(self._number))


class Execute(Step):
    """Let the worker run the call under a permit."""

    def __init__(self, ask: Ask) -> None:
        self.name = f'execute {ask.request.attempt}'
        self._ask = ask

    async def make(self, world: World) -> None:
        """Run it."""
        self._ask.executed = True
        world.executions += 1


class Keep(Step):
    """Keep the outcome of a call that ran."""

    def __init__(self, ask: Ask) -> None:
        self.name = f'keep {ask.request.attempt}'
        self._ask = ask

    async def make(self, world: World) -> None:
        """Hand the outcome over to be written."""
        ask = self._ask
        ask.closed = True
        closing = Closing(ask.request, ClaimState.RAN, OUTCOME)
        ask.agent.claims.close_permit(closing)


class Withdraw(Step):
    """Give a permit back without a run."""

    def __init__(self, ask: Ask) -> None:
        self.name = f'withdraw {ask.request.attempt}'
        self._ask = ask

    async def make(self, world: World) -> None:
        """Hand the withdrawal over to be written."""
        ask = self._ask
        ask.closed = True
        ask.agent.claims.close_permit(Closing(ask.request, None))


class AskFor(Step):
    """Let a caller ask, or ask again, through an agent."""

    def __init__(self, agent: Agent) -> None:
        self.name = f'ask {agent.name}'
        self._agent = agent

    async def make(self, world: World) -> None:
        """Ask."""
        world.ask(self._agent)


class Crash(Step):
    """Lose an agent with all it knows; the next run starts."""

    def __init__(self, agent: Agent) -> None:
        self.name = f'crash {agent.name}'
        self._agent = agent

    async def make(self, world: World) -> None:
        """Crash."""
        world.crashes += 1
        for ask in world.asks:
            if ask.agent is self._agent:
                ask.lost = True
                ask.task.cancel()
        await self._agent.crash()


class Wait(Step):
    """Let a second pass."""

    name = 'wait'

    async def make(self, world: World) -> None:
        """Let timers end."""
        await asyncio.sleep(1.0)


def explore_claims(depth: int) -> Findings:
    """Explore all sequences of ``depth`` steps, each then brought to rest.

    They start at each of the openings, since the faults that matter come
    late in a call.
    """
    findings = Findings(depth)
    for opening in OPENINGS:
        search(partial(_run_sequence, opening), findings)
    return findings


def _run_sequence(
    opening: tuple[str, ...], chooser: Chooser, findings: Findings
) -> None:
    loop = VirtualLoop()
    try:
        loop.run_until_complete(_sequence(loop, opening, chooser, findings))
    finally:
        loop.close()


async def _sequence(
    loop: VirtualLoop,
    opening: tuple[str, ...],
    chooser: Chooser,
    findings: Findings,
) -> None:
    world = World(loop)
    broken = ''
    for name in opening:
        step = next(one for one in world.steps() if one.name == name)
        await step.make(world)
        await loop.settle()
    while not chooser.spent and not broken:
        options = world.steps()
        choice = chooser.choose([option.name for option in options])
        await options[choice].make(world)
        await loop.settle()
        broken = _broken(world)
    if not broken:
        broken = await _bring_to_rest(world, findings)
    if broken:
        steps = (*opening, *chooser.steps)
        findings.breach(Breach(broken, steps))
    await _close(world)


async def _bring_to_rest(world: World, findings: Findings) -> str:
    """End all faults, ask once more at each agent, and check the answers."""
    await _quiet(world)
    await Wait().make(world)
    broken = _broken(world)
    if broken:
        return broken
    for ask in world.asks:
        if not ask.lost and ask.answer is None:
            return 'each attempt ends with an answer'
    for agent in world.agents:
        last = world.ask(agent)
        await _quiet(world)
        broken = _broken(world) or _wrong_end(world, last)
        if broken:
            return broken
        findings.reached[_label(last.answer)] += 1
        await _quiet(world)
    return ''


async def _quiet(world: World) -> None:
    """Deliver every call, use every permit, let all timers end."""
    for _ in range(SETTLING_ROUNDS):
        await world.loop.settle()
        step = _quiet_step(world)
        if step is None:
            return
        await step.make(world)


def _quiet_step(world: World) -> Step | None:
    for agent in world.agents:
        agent.store.delayed.clear()
        for call in agent.store.pending:
            return Settle(agent, call, Fate.DELIVER)
    for ask in world.asks:
        if ask.permitted:
            return Keep(ask) if ask.executed else Execute(ask)
    open_asks = [a for a in world.asks if not a.lost and a.answer is None]
    if open_asks or any(agent.claims.owes_writes for agent in world.agents):
        return Wait()
    return None


def _broken(world: World) -> str:
    if world.executions > 1:
        return 'a call runs at most once'
    for ask in world.asks:
        answer = ask.answer
        if isinstance(answer, Outcome) and world.executions == 0:
            return 'only a call that ran is replayed'
        if not isinstance(answer, Refusal):
            continue
        if answer.verdict is Verdict.RAN and world.executions == 0:
            return '"ran" is said only of what ran'
        if answer.verdict is Verdict.NOT_RUN and ask.executed:
            return '"not run" is true of the attempt'
    return ''


def _wrong_end(world: World, last: Ask) -> str:
    """Check the answer at rest: the truth, unless an agent was lost."""
    answer = last.answer
    if answer is None:
        return 'each attempt ends with an answer'
    if isinstance(answer, (Permit, Outcome)):
        return ''
    if world.crashes:
        return ''
    return f'at rest a repeat is served, not refused: {answer.reason.value}'


def _label(answer: ClaimAnswer | None) -> str:
    if isinstance(answer, Permit):
        return 'permit'
    if isinstance(answer, Outcome):
        return 'replay'
    if isinstance(answer, Refusal):
        return answer.reason.value
    return 'none'


async def _close(world: World) -> None:
    for ask in world.asks:
        ask.task.cancel()
    tasks = [ask.task for ask in world.asks]
    await asyncio.gather(*tasks, return_exceptions=True)
    for agent in world.agents:
        await agent.claims.close()
