"""Check that routers share their retry budget by telling each other."""

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct._budget import RetryBudget
from lacewing_daemon.direct.exchange._retry_section import RetrySection

SERVICE = 'models'
RATIO, SLACK, WINDOW_S = 0.2, 90.0, 10.0
STEP_S = 0.05


class _Router:
    """Hold the budget of one router, and its section."""

    def __init__(self, number: int, count: int) -> None:
        self.name = f'router-{number}'
        self.section = RetrySection(
            lambda: {SERVICE: self.budget}, lambda: count - 1, lambda: WINDOW_S
        )
        self.budget = RetryBudget(
            RATIO,
            SLACK,
            WINDOW_S,
            lambda now_s: self.section.others(SERVICE, now_s),
        )
        # Routers send at different moments.
        self.tells_at_s = 0.75 * number / count


@given('{count:d} routers that tell their retries every {interval_s:f} s')
def step_routers(context: Context, count: int, interval_s: float) -> None:
    """Create the routers."""
    context.retrying = [_Router(number, count) for number in range(count)]
    context.tell_interval_s = interval_s
    context.tellers = count


@given('what they tell is {lost}')
def step_lost(context: Context, lost: str) -> None:
    """Lose messages, or let the service be uncontended."""
    if lost.startswith('heard from'):
        context.tellers = int(lost.split()[-1])
        return
    context.tellers = 0


@when(
    '{busy:d} of them retry each of {rate:d} requests a second'
    ' for {seconds:d} s'
)
def step_retry(context: Context, busy: int, rate: int, seconds: int) -> None:
    """Retry as often as the budgets allow, with and without telling."""
    context.requests, context.retries = _play(context, busy, rate, seconds)
    context.tellers = 0
    count = len(context.retrying)
    context.retrying = [_Router(number, count) for number in range(count)]
    _, context.untold = _play(context, busy, rate, seconds)


def _play(
    context: Context, busy: int, rate: int, seconds: int
) -> tuple[list[float], list[float]]:
    requests: list[float] = []
    retries: list[float] = []
    routers = context.retrying
    sent = 0
    for step in range(int(seconds / STEP_S)):
        now_s = step * STEP_S
        for router in routers[: context.tellers]:
            if now_s >= router.tells_at_s:
                router.tells_at_s += context.tell_interval_s
                _tell(router, routers, now_s)
        due = int(now_s * rate) - sent
        sent += due
        for number, router in enumerate(routers):
            for _ in range(due):
                router.budget.count_request(now_s)
                requests.append(now_s)
                if number >= busy:
                    continue
                if router.budget.spend(now_s, len(routers), True):
                    retries.append(now_s)
    return requests, retries


def _tell(router: _Router, routers: list[_Router], now_s: float) -> None:
    told = router.section.collect(now_s, False)
    if told is None:
        return
    data = msgspec.msgpack.encode(told)
    for other in routers:
        if other is not router:
            other.section.apply(router.name, data, now_s)


@when('a peer tells {requests:d} requests and {retries:d} retries')
def step_malformed(context: Context, requests: int, retries: int) -> None:
    """Apply figures that no router can have."""
    context.section = RetrySection(lambda: {}, lambda: 1, lambda: WINDOW_S)
    data = msgspec.msgpack.encode({SERVICE: [requests, retries]})
    context.section.apply('peer', data, 0.0)


@then('others count {requests:d} requests and {retries:d} retries')
def step_others(context: Context, requests: int, retries: int) -> None:
    """Compare."""
    found = context.section.others(SERVICE, 0.1)
    assert (found.requests, found.retries) == (requests, retries), found


@then(
    'no window of {window_s:d} s has more retries than {ratio:f} of its'
    ' requests and {slack:d}'
)
def step_window(
    context: Context, window_s: int, ratio: float, slack: int
) -> None:
    """Count in each window that begins with a retry."""
    for start_s in context.retries:
        end_s = start_s + window_s
        requests = sum(start_s <= at_s < end_s for at_s in context.requests)
        retries = sum(start_s <= at_s < end_s for at_s in context.retries)
        assert retries <= ratio * requests + slack, (start_s, retries)


@then('the retries are at least {part:f} times those without telling')
def step_part(context: Context, part: float) -> None:
    """Compare the counts."""
    told, untold = len(context.retries), len(context.untold)
    assert told >= part * untold, (told, untold)


@then('the retries are as many as without telling')
def step_same(context: Context) -> None:
    """Compare the counts."""
    assert len(context.retries) == len(context.untold), len(context.retries)
