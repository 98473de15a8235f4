"""Repeat calls while faults come at random."""

import asyncio
from random import Random

from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.platform._switches import Down
from lacewing_bench.platform._switches import FaultSwitches
from support.claims_bench import Answer
from support.claims_bench import bench_of
from support.claims_bench import ClaimsBench

_FAULT_STEP_S = 0.01


@when(
    '{keys:d} keys are asked {times:d} times each under faults drawn with'
    ' seed {seed:d}'
)
def when_random(context: Context, keys: int, times: int, seed: int) -> None:
    """Ask through both routers while platform and members change."""
    bench = bench_of(context)
    context.by_key = bench.run(_ask_all(bench, keys, times, Random(seed)))


async def _ask_all(
    bench: ClaimsBench, keys: int, times: int, random: Random
) -> dict[str, list[Answer]]:
    faults = asyncio.create_task(_break(bench, Random(random.random())))
    by_key: dict[str, list[Answer]] = {}
    asking = []
    for number in range(keys):
        name = f'key-{number}'
        by_key[name] = []
        for _ in range(times):
            pause_s = random.uniform(0, 0.5)
            router = random.choice((1, 2))
            asking.append(_ask(bench, by_key[name], name, router, pause_s))
    await asyncio.gather(*asking)
    faults.cancel()
    await asyncio.gather(faults, return_exceptions=True)
    return by_key


async def _ask(
    bench: ClaimsBench,
    answers: list[Answer],
    name: str,
    router: int,
    pause_s: float,
) -> None:
    await asyncio.sleep(pause_s)
    answers.append(await bench.call(router, name))


async def _break(bench: ClaimsBench, random: Random) -> None:
    while True:
        down = random.choice((Down.NO, Down.NO, Down.NO, Down.REFUSE))
        bench.store.set_faults(
            FaultSwitches(
                down=down,
                lose_share=random.choice((0.0, 0.3, 0.6)),
                seed=random.randrange(1000),
                slow_s=random.choice((0.0, 0.0, 0.02)),
            )
        )
        for members in bench.members:
            gone = random.choice((None, bench.home, bench.other))
            members.leaving_addresses = frozenset(
                () if gone is None else (gone.address,)
            )
        for router in bench.routers:
            router._serving.links._follow()
        await asyncio.sleep(_FAULT_STEP_S)


@then('no key was executed twice')
def then_once(context: Context) -> None:
    """Count at the workers."""
    bench = bench_of(context)
    counts = {key: bench.executions(key) for key in context.by_key}
    assert max(counts.values()) <= 1, counts


@then('no key whose answers all say "not-run" was executed')
def then_true(context: Context) -> None:
    """Compare what callers were told with what ran."""
    bench = bench_of(context)
    for key, answers in context.by_key.items():
        if {answer.verdict for answer in answers} == {'not-run'}:
            assert bench.executions(key) == 0, (key, answers)


@then('each key with an answer of 200 was executed once')
def then_served(context: Context) -> None:
    """Compare what callers got with what ran; some must be served."""
    bench = bench_of(context)
    served = 0
    for key, answers in context.by_key.items():
        if 200 not in {answer.status for answer in answers}:
            continue
        served += 1
        assert bench.executions(key) == 1, (key, answers)
    assert served > 0
