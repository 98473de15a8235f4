"""Measure one policy in one scenario on a fleet of its own."""

import msgspec
from lacewing_common.bundle import PolicyName

from lacewing_bench.bench._scenarios import disturbance
from lacewing_bench.bench._scenarios import prepare
from lacewing_bench.bench._scenarios import Scenario
from lacewing_bench.bench._scenarios import shift_at_s
from lacewing_bench.bench._scenarios import Timing
from lacewing_bench.fleet import Fleet
from lacewing_bench.fleet import FleetOptions
from lacewing_bench.load._profile import loaded_deployment
from lacewing_bench.load._profile import profile_named
from lacewing_bench.load._run import LoadResult
from lacewing_bench.load._run import LoadRun
from lacewing_bench.load._workload import Workload
from lacewing_bench.load._workload import WorkloadOptions

STANDIN_PROCESSES = 2
# A client that sends later than this measures itself.
MOST_LAG_P99_MS = 25.0
# An engine stand-in that is short of CPU steps late.
MOST_CORE_SHARE = 0.9


class RowSpec(msgspec.Struct, frozen=True):
    """Say what to measure."""

    deployment: str
    scenario: Scenario
    policy: PolicyName
    seconds: float
    warm_s: float
    seed: int
    rate_factor: float = 1.0


class Row(msgspec.Struct, frozen=True):
    """Hold one measured row of the bench.

    ``hit_rate`` and ``worker_busy`` are shares of 1, times milliseconds.
    ``busiest_core``: the highest CPU use of one process of the stand-ins or
    the client, in cores. ``rejected`` says why the figures don't count; ''
    when they do.
    """

    deployment: str
    scenario: str
    policy: str
    requests: int
    hit_rate: float
    wasted_tokens: int
    ttft_p50_ms: float
    ttft_p95_ms: float
    ttft_p99_ms: float
    worker_busy: float
    lost: int
    duplicated: int
    crossed: int
    incomplete: int
    refused: int
    false_refusals: int
    retried: int
    prompt_tokens: int
    prefilled_tokens: int
    client_lag_p99_ms: float
    busiest_core: float
    router_cpu: float
    agent_cpu: float
    seconds: float
    warm_s: float
    seed: int
    rate: float
    rejected: str = ''


async def measure(spec: RowSpec, show_progress: bool = False) -> Row:
    """Start a fleet, load it, end it; return the figures."""
    profile = profile_named(spec.deployment)
    deployment = loaded_deployment(profile)
    timing = Timing(spec.seconds, spec.warm_s)
    workload = Workload(
        deployment,
        profile,
        WorkloadOptions(
            spec.seed,
            spec.seconds,
            shift_at_s(spec.scenario, timing),
            spec.rate_factor,
        ),
    )
    requests = workload.requests()
    options = FleetOptions(
        policy=spec.policy,
        standin_processes=STANDIN_PROCESSES,
    )
    async with Fleet(deployment, options) as fleet:
        await prepare(spec.scenario, fleet)
        run = LoadRun(
            fleet,
            requests,
            spec.seconds,
            spec.warm_s,
            disturbance(spec.scenario, timing),
        )
        result = await run.run(show_progress)
    return _row(spec, profile.rate * spec.rate_factor, result)


def _row(spec: RowSpec, rate: float, result: LoadResult) -> Row:
    summary = result.summary
    cpu = result.process_cpu
    busiest = max(_cpu_of(cpu, 'standins'), cpu.get('client', 0.0))
    lag_p99_ms = summary.client_lag.p99_ms
    return Row(
        deployment=spec.deployment,
        scenario=spec.scenario.value,
        policy=spec.policy.value,
        requests=summary.requests,
        hit_rate=round(result.hit_rate, 4),
        wasted_tokens=result.wasted_tokens,
        ttft_p50_ms=round(summary.first_token.p50_ms, 1),
        ttft_p95_ms=round(summary.first_token.p95_ms, 1),
        ttft_p99_ms=round(summary.first_token.p99_ms, 1),
        worker_busy=round(result.worker_busy, 3),
        lost=summary.lost,
        duplicated=summary.duplicated,
        crossed=summary.crossed,
        incomplete=summary.incomplete,
        refused=summary.refused,
        false_refusals=summary.false_refusals,
        retried=summary.retried,
        prompt_tokens=result.prompt_tokens,
        prefilled_tokens=result.prefilled_tokens,
        client_lag_p99_ms=round(lag_p99_ms, 1),
        busiest_core=round(busiest, 2),
        router_cpu=round(_cpu_of(cpu, 'router-'), 3),
        agent_cpu=round(_cpu_of(cpu, 'agent-'), 3),
        seconds=spec.seconds,
        warm_s=spec.warm_s,
        seed=spec.seed,
        rate=rate,
        rejected=_rejection(lag_p99_ms, busiest),
    )


def _rejection(lag_p99_ms: float, busiest: float) -> str:
    if lag_p99_ms > MOST_LAG_P99_MS:
        return f'the client sent {lag_p99_ms:.0f} ms late (p99)'
    if busiest > MOST_CORE_SHARE:
        return f'a stand-in or the client used {busiest:.2f} cores'
    return ''


def _cpu_of(cpu: dict[str, float], prefix: str) -> float:
    """Return the highest use among the processes of a kind."""
    return max(
        (used for name, used in cpu.items() if name.startswith(prefix)),
        default=0.0,
    )
