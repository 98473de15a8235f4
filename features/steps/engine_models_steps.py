"""Check the model of each engine on simulated load."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import replace

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.engine_speeds import EngineRouter
from lacewing_bench.engine_speeds import Load
from lacewing_bench.engine_speeds import mean_errors
from lacewing_bench.engine_speeds import Observation
from lacewing_bench.engine_speeds import outcome_of
from lacewing_bench.engine_speeds import play
from lacewing_bench.engine_speeds import SpeedChange
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct.engines import EngineModels
from lacewing_daemon.direct.engines import EngineSpeeds
from lacewing_daemon.direct.engines import FirstEvent
from lacewing_daemon.direct.engines._sums import EngineSums
from lacewing_daemon.direct.engines._sums import SpeedsMessage

ENGINE = 'engine-0'
ENGINES = 10
MIDDLE = 5
SERVICE = 'models'

Scale = Callable[[EngineSums], EngineSums]


def _scaled(data: bytes, scale: Scale, fit_factor: float) -> bytes:
    message = msgspec.msgpack.decode(data, type=SpeedsMessage)
    for sums in message.services.values():
        sums.fit.took_ms *= fit_factor
        sums.fit.product *= fit_factor
        for engine in list(sums.engines):
            sums.engines[engine] = scale(sums.engines[engine])
    return msgspec.msgpack.encode(message)


def _times(factor: float) -> Callable[[bytes], bytes]:
    def scale(sums: EngineSums) -> EngineSums:
        return msgspec.structs.replace(sums, took_ms=sums.took_ms * factor)

    return lambda data: _scaled(data, scale, factor)


def _many(data: bytes) -> bytes:
    def scale(sums: EngineSums) -> EngineSums:
        return msgspec.structs.replace(
            sums,
            count=sums.count * 50,
            tokens=sums.tokens * 50,
            took_ms=sums.took_ms * 100,
        )

    return _scaled(data, scale, 1.0)


SPOILT: Mapping[str, Callable[[bytes], bytes]] = {
    'times 100 times as long': _times(100.0),
    'times 100 times as short': _times(0.01),
    '50 times as many samples': _many,
    'values that are not numbers': _times(float('nan')),
}


@given(
    '{routers:d} routers that each send an engine {rate:f} prompts per'
    ' second, {exchange} exchange'
)
def step_load(
    context: Context, routers: int, rate: float, exchange: str
) -> None:
    """Describe the load."""
    message_s = 0.25 if exchange == 'with' else 0.0
    context.load = Load(
        routers=routers, engines=ENGINES, rate=rate, message_s=message_s
    )


@given(
    'prompts go to the engine of {count:d} that is expected to answer first'
)
def step_choices(context: Context, count: int) -> None:
    """Let routers choose by what they expect."""
    context.load = replace(context.load, choices=count)


@given(
    'an engine of usual speed is {factor:d} times slower from {begin_s:d} s to'
    ' {end_s:d} s'
)
def step_change(
    context: Context, factor: int, begin_s: int, end_s: int
) -> None:
    """Change the speed of one engine for a while."""
    change = SpeedChange(MIDDLE, begin_s, end_s, 1 / factor)
    context.load = replace(context.load, change=change)


@given('the first router starts anew after {at_s:d} s')
def step_restart(context: Context, at_s: int) -> None:
    """Replace the first router."""
    context.load = replace(context.load, restart_s=float(at_s))


@given('the last router sends {sums}')
def step_spoil(context: Context, sums: str) -> None:
    """Change what the last router sends."""
    context.load = replace(context.load, spoil=SPOILT[sums])


@when('they have sent prompts for {duration_s:d} s')
def step_play(context: Context, duration_s: int) -> None:
    """Play the load."""
    context.load = replace(context.load, duration_s=float(duration_s))
    context.observations = play(context.load, EngineRouter, 1)


def _between(
    context: Context, begin_s: float, end_s: float
) -> Sequence[Observation]:
    return [one for one in context.observations if begin_s <= one.at_s < end_s]


@then(
    'the mean error of each engine is less than {limit_ms:d} ms in the last'
    ' {span_s:d} s'
)
def step_mean_error(context: Context, limit_ms: int, span_s: int) -> None:
    """Compare expected with observed times."""
    end_s = context.load.duration_s
    context.settled = _between(context, end_s - span_s, end_s)
    means = mean_errors(context.settled)
    assert len(means) == ENGINES
    assert max(abs(mean) for mean in means.values()) < limit_ms, means


@then(
    'at most {limit:f} of first events come after 400 ms though expected in'
    ' 320 ms'
)
def step_late(context: Context, limit: float) -> None:
    """Count late first events."""
    assert outcome_of(context.settled).late <= limit


def _part(context: Context, begin_s: float, end_s: float) -> float:
    """Return the part of the prompts that went to that engine."""
    sent = _between(context, begin_s, end_s)
    return sum(one.engine == MIDDLE for one in sent) / len(sent)


@then(
    'that engine gets at most {part:f} of its share from {begin_s:d} s'
    ' to {end_s:d} s'
)
def step_avoided(
    context: Context, part: float, begin_s: int, end_s: int
) -> None:
    """Compare with its share before the change."""
    context.share = _part(context, 10, 20)
    actual = _part(context, begin_s, end_s) / context.share
    assert actual <= part, actual


@then(
    'at least {part:f} of its share before from {begin_s:d} s to {end_s:d} s'
)
def step_tried_again(
    context: Context, part: float, begin_s: int, end_s: int
) -> None:
    """Compare with its share before the change."""
    actual = _part(context, begin_s, end_s) / context.share
    assert actual >= part, actual


@then(
    'the errors of the first router are as those of the others from'
    ' {begin_s:d} s on'
)
def step_first_router(context: Context, begin_s: int) -> None:
    """Compare mean absolute errors."""
    errors: dict[bool, list[float]] = {True: [], False: []}
    for one in _between(context, begin_s, context.load.duration_s):
        errors[one.router == 0].append(abs(one.error_ms))
    first_ms = sum(errors[True]) / len(errors[True])
    others_ms = sum(errors[False]) / len(errors[False])
    assert first_ms < others_ms * 1.5, (first_ms, others_ms)


@given('two models that exchange sums')
def step_two(context: Context) -> None:
    """Start without samples."""
    context.speeds = [
        EngineSpeeds(LoadPolicy(), lambda _service, name: name == ENGINE)
        for _ in range(2)
    ]
    context.now_s = 100.0


def _models(context: Context, number: int) -> EngineModels:
    speeds: EngineSpeeds = context.speeds[number]
    return speeds.models(SERVICE)


def _record(context: Context, count: int, took_ms: float) -> None:
    for _ in range(count):
        event = FirstEvent(3000, 0.0, took_ms, 1.0)
        _models(context, 0).record_first_event(ENGINE, event, context.now_s)
        context.now_s += 0.5


@when('one records {count:d} first events and both exchange sums')
def step_exchange(context: Context, count: int) -> None:
    """Let each apply what the other collects."""
    for _ in range(count):
        _record(context, 1, 120.0)
        for number in range(2):
            _exchange(context, number)


def _exchange(context: Context, number: int) -> None:
    message = context.speeds[number].collect(context.now_s, True)
    if message is not None:
        context.speeds[1 - number].apply(
            f'router-{number}',
            msgspec.msgpack.encode(message),
            context.now_s,
        )


@then('both have nearly the same estimate')
def step_same(context: Context) -> None:
    """Allow for samples that each bounds by its own estimate."""
    first, second = (
        _models(context, number).estimate(ENGINE, context.now_s)
        for number in range(2)
    )
    assert first.factor > 1
    for name in ('tokens_per_ms', 'fixed_ms', 'factor'):
        ratio = getattr(first, name) / getattr(second, name)
        assert abs(ratio - 1) < 0.1, (first, second)


@then('further exchanges send nothing')
def step_nothing(context: Context) -> None:
    """Collect without samples of their own."""
    for speeds in context.speeds:
        assert speeds.collect(context.now_s, True) is None


@when('one sends sums of an unknown engine')
def step_unknown(context: Context) -> None:
    """Record under an id that the other does not know."""
    event = FirstEvent(3000, 0.0, 120.0)
    _models(context, 0).record_first_event('other', event, context.now_s)
    _exchange(context, 0)


@then('the other has no samples')
def step_no_samples(context: Context) -> None:
    """Look for engines with samples."""
    assert not _models(context, 1).engines


@when("one sends data that can't be decoded")
def step_undecodable(context: Context) -> None:
    """Keep the error."""
    context.errors = []
    for value in ('text', {'services': 1}, [{SERVICE: [[], {ENGINE: ['x']}]}]):
        data = msgspec.msgpack.encode(value)
        try:
            context.speeds[1].apply('router-0', data, context.now_s)
        except msgspec.DecodeError as error:
            context.errors.append(error)


@then('the other raises a decoding error and has no samples')
def step_raised(context: Context) -> None:
    """Count the errors."""
    assert len(context.errors) == 3
    step_no_samples(context)


@then('an engine has the configured figures')
def step_defaults(context: Context) -> None:
    """Compare with the policy."""
    estimate = _models(context, 0).estimate(ENGINE, context.now_s)
    policy = LoadPolicy()
    speed = policy.prefill_tokens_per_ms
    assert abs(estimate.tokens_per_ms - speed) < 1e-6, estimate
    assert abs(estimate.fixed_ms - policy.step_ms) < 1e-6, estimate
    assert (estimate.step_ms, estimate.factor) == (policy.step_ms, 1.0)


@when('one records {count:d} first events and the engine restarts')
def step_restarts(context: Context, count: int) -> None:
    """Forget the incarnation."""
    _record(context, count, 120.0)
    context.speeds[0].forget_engine(SERVICE, ENGINE)


@then('an engine has the figures of its service')
def step_of_service(context: Context) -> None:
    """Compare with an engine that is unknown."""
    models = _models(context, 0)
    estimate = models.estimate(ENGINE, context.now_s)
    assert estimate == models.service_estimate(context.now_s)


@when(
    'one records {count:d} first events that are 1000 times later than'
    ' expected'
)
def step_later(context: Context, count: int) -> None:
    """Record them as queued, so that the service's figures don't change."""
    for _ in range(count):
        event = FirstEvent(3000, 10.0, 40_000.0, 1.0)
        _models(context, 0).record_first_event(ENGINE, event, context.now_s)
        context.now_s += 0.1


@then('the factor of the engine is {factor:d}')
def step_factor(context: Context, factor: int) -> None:
    """Compare with the bound."""
    estimate = _models(context, 0).estimate(ENGINE, context.now_s)
    assert estimate.factor == factor, estimate


@when('one records first events of {count:d} engines, most of the last one')
def step_many_engines(context: Context, count: int) -> None:
    """Record one first event of each, and two of the last."""
    for number in (*range(count), count - 1):
        event = FirstEvent(3000, 0.0, 80.0, 1.0)
        _models(context, 0).record_first_event(
            f'other-{number}', event, context.now_s
        )


@then('it sends sums of {count:d} engines with the last one')
def step_bounded(context: Context, count: int) -> None:
    """Compare the engines of the message."""
    sums = _models(context, 0).collect()
    assert sums is not None
    assert len(sums.engines) == count
    assert sums.engines['other-99'].count == 2


def _record_unsure(context: Context, count: int, slower: float) -> None:
    """Record prompts with much shared and with hardly any, in turn."""
    for number in range(count):
        shared, own, is_cached = 198, 628, False
        if number % 2:
            shared, own, is_cached = 6300, 2890, number % 4 == 1
        tokens = own if is_cached else own + shared
        took_ms = (10.0 + tokens / 42.8) * slower
        for name in (ENGINE, f'other-{number % 10}'):
            _models(context, 0).record_first_event(
                name,
                FirstEvent(shared + own, 0.0, took_ms, 1.0, shared),
                context.now_s,
            )
        context.now_s += 0.3


@when(
    'one records {count:d} first events, half of whose 6,300 shared tokens'
    ' were cached'
)
def step_unsure(context: Context, count: int) -> None:
    """Record at the usual speed."""
    _record_unsure(context, count, 1.0)


@when('it records {count:d} more at a fifth of the speed')
def step_unsure_slow(context: Context, count: int) -> None:
    """Record at one engine only."""
    for _ in range(count):
        event = FirstEvent(9190, 5.0, 5 * (15.0 + 9190 / 42.8), 1.0, 6300)
        _models(context, 0).record_first_event(ENGINE, event, context.now_s)
        context.now_s += 0.3


@then('the factor of the engine is at least {factor:d}')
def step_min_factor(context: Context, factor: int) -> None:
    """Compare with the lower bound."""
    estimate = _models(context, 0).estimate(ENGINE, context.now_s)
    assert estimate.factor >= factor, estimate


@then('the factor of the engine is 1 within {part:d}%')
def step_usual_factor(context: Context, part: int) -> None:
    """Compare with the other engines."""
    estimate = _models(context, 0).estimate(ENGINE, context.now_s)
    assert abs(estimate.factor - 1) <= part / 100, estimate


@then('prompts of 9,190 tokens are expected within {part:d}% of their time')
def step_long(context: Context, part: int) -> None:
    """Compare with the true time of a prompt that is not cached."""
    estimate = _models(context, 0).estimate(ENGINE, context.now_s)
    expected_ms = estimate.fixed_ms + 9190 / estimate.tokens_per_ms
    assert abs(expected_ms / (10.0 + 9190 / 42.8) - 1) <= part / 100, estimate
