"""Compare relayed calls with direct calls to the engines in one run."""

import asyncio
import statistics
from dataclasses import dataclass
from dataclasses import replace

import msgspec
import psutil
from lacewing_common.bundle import PolicyName

from lacewing_bench.answers import CHAT_PATH
from lacewing_bench.caller import Answer
from lacewing_bench.caller import Call
from lacewing_bench.caller import Caller
from lacewing_bench.fleet import Fleet
from lacewing_bench.fleet import FleetOptions
from lacewing_bench.fleet import LAHORE
from lacewing_bench.standins import EngineCosts

_ROUTER = 'router-1'
_AGENT_PREFIX = 'agent-'
_STANDIN_PROCESSES = 3
_IDLE_S = 3.0
_OK = 200
_FIRST_TOKEN_SAMPLES = 60
_SHORT_ANSWER_TOKENS = 2
_US_PER_S = 1e6
_MAX_CONCURRENT_CALLS = 500
# About the tokens per request of 7,600 requests/s and 1.5M tokens/s, which
# 330 routers share.
ANSWER_TOKENS = 200


class RelayError(Exception):
    """Report an incomplete answer, which invalidates the measurement."""


@dataclass(frozen=True)
class RelaySetup:
    """Configure the load.

    ``workers``: number of engines; ``streams``: concurrent streams per
    engine; ``rounds``: consecutive answers per stream; ``step_ms``: time
    between two tokens.
    """

    workers: int
    streams: int
    rounds: int
    step_ms: float


class RelayCost(msgspec.Struct, frozen=True):
    """Hold the cost of relayed tokens.

    ``*_us``: CPU microseconds per token, from the total CPU time of the
    router or of all agents in the window; ``*_idle_us``: the part that is
    also used without any request; ``*_cores``: average number of cores used
    in the window.
    """

    workers: int
    streams_per_worker: int
    tokens: int
    tokens_per_s: float
    router_us: float
    router_idle_us: float
    router_cores: float
    agents_us: float
    agents_idle_us: float
    direct_first_ms: float
    relayed_first_ms: float
    added_first_p50_ms: float
    added_first_p95_ms: float


class _CpuMeter:
    """Read the CPU seconds of the router and of all agents."""

    def __init__(self, fleet: Fleet) -> None:
        pids = fleet.pids_by_name
        self._router = psutil.Process(pids[_ROUTER])
        self._agents = [
            psutil.Process(pid)
            for name, pid in pids.items()
            if name.startswith(_AGENT_PREFIX)
        ]

    def router_s(self) -> float:
        """Return the router's CPU seconds so far."""
        return _cpu_s(self._router)

    def agents_s(self) -> float:
        """Return the CPU seconds of all agents so far."""
        return sum(_cpu_s(process) for process in self._agents)


async def measure(setup: RelaySetup) -> RelayCost:
    """Start a fleet with one router, measure the relay and stop the fleet."""
    deployment = replace(
        LAHORE.sized(1, setup.workers, 0),
        costs=EngineCosts(
            step_ms=setup.step_ms, sequence_ms=0.0, prefill_token_ms=0.0
        ),
    )
    options = FleetOptions(
        policy=PolicyName.ROUND_ROBIN, standin_processes=_STANDIN_PROCESSES
    )
    async with Fleet(deployment, options) as fleet:
        caller = Caller(fleet.team_keys, calls_at_once=_MAX_CONCURRENT_CALLS)
        try:
            return await _measure(fleet, caller, setup)
        finally:
            caller.close()


async def _measure(
    fleet: Fleet, caller: Caller, setup: RelaySetup
) -> RelayCost:
    # Warm up: the first answers include one-time costs such as creating links
    # and parsers.
    await _relay(fleet, caller, replace(setup, rounds=1))
    meter = _CpuMeter(fleet)
    loop = asyncio.get_running_loop()
    router_s, agents_s = meter.router_s(), meter.agents_s()
    await asyncio.sleep(_IDLE_S)
    router_idle = (meter.router_s() - router_s) / _IDLE_S
    agents_idle = (meter.agents_s() - agents_s) / _IDLE_S
    router_s, agents_s, started = (
        meter.router_s(),
        meter.agents_s(),
        loop.time(),
    )
    tokens = await _relay(fleet, caller, setup)
    elapsed_s = loop.time() - started
    router_s = meter.router_s() - router_s
    agents_s = meter.agents_s() - agents_s
    direct, relayed = await _first_tokens(fleet, caller)
    added = [r - d for d, r in zip(direct, relayed, strict=True)]
    return RelayCost(
        workers=setup.workers,
        streams_per_worker=setup.streams,
        tokens=tokens,
        tokens_per_s=tokens / elapsed_s,
        router_us=router_s / tokens * _US_PER_S,
        router_idle_us=router_idle * elapsed_s / tokens * _US_PER_S,
        router_cores=router_s / elapsed_s,
        agents_us=agents_s / tokens * _US_PER_S,
        agents_idle_us=agents_idle * elapsed_s / tokens * _US_PER_S,
        direct_first_ms=statistics.median(direct),
        relayed_first_ms=statistics.median(relayed),
        added_first_p50_ms=statistics.median(added),
        added_first_p95_ms=statistics.quantiles(added, n=20)[-1],
    )


async def _relay(fleet: Fleet, caller: Caller, setup: RelaySetup) -> int:
    """Read streams through the router; return the number of tokens."""
    readers = setup.workers * setup.streams
    counts = await asyncio.gather(
        *[
            _read(fleet, caller, index, setup.rounds)
            for index in range(readers)
        ]
    )
    return sum(counts)


async def _read(fleet: Fleet, caller: Caller, reader: int, rounds: int) -> int:
    tokens = 0
    for number in range(rounds):
        call = _call(fleet, f'{reader}, {number}', ANSWER_TOKENS)
        answer = await caller.send(fleet.caller_url(_ROUTER), call)
        _require_complete(answer)
        tokens += ANSWER_TOKENS
    return tokens


async def _first_tokens(
    fleet: Fleet, caller: Caller
) -> tuple[list[float], list[float]]:
    """Time first tokens, alternating between direct and relayed calls."""
    direct: list[float] = []
    relayed: list[float] = []
    engines = [
        url
        for name, url in fleet.worker_urls.items()
        if name.startswith(fleet.deployment.model_service)
    ]
    for number in range(_FIRST_TOKEN_SAMPLES):
        call = _call(fleet, f'first {number}', _SHORT_ANSWER_TOKENS)
        engine = engines[number % len(engines)]
        direct_answer = await caller.send(engine, call)
        relayed_answer = await caller.send(fleet.caller_url(_ROUTER), call)
        _require_complete(direct_answer)
        _require_complete(relayed_answer)
        direct.append(direct_answer.first_ms)
        relayed.append(relayed_answer.first_ms)
    return direct, relayed


def _call(fleet: Fleet, question: str, tokens: int) -> Call:
    deployment = fleet.deployment
    body = {
        'model': deployment.model,
        'stream': True,
        'max_tokens': tokens,
        'messages': [{'role': 'user', 'content': question}],
    }
    return Call('', deployment.teams[0].name, CHAT_PATH, body)


def _require_complete(answer: Answer) -> None:
    if answer.status != _OK or not answer.whole:
        raise RelayError(
            f'expected a complete answer, got status {answer.status}:'
            f' {answer.text}'
        )


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)
