"""Check that routers stay within a shared retry budget."""

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct._budget import RetryBudget


@given('{routers:d} routers that share a budget of {ratio:f} and {slack:d}')
def step_budget(
    context: Context, routers: int, ratio: float, slack: int
) -> None:
    """Create a budget for each router."""
    context.ratio, context.slack = ratio, slack
    context.budgets = []
    for _ in range(routers):
        context.budgets.append(RetryBudget(ratio, float(slack), 10.0))


@when('each of them gets {count:d} requests in 10 seconds and all are refused')
def step_refused(context: Context, count: int) -> None:
    """Retry as often as the budgets allow."""
    context.requests = count * len(context.budgets)
    context.retries = 0
    for budget in context.budgets:
        for number in range(count):
            now_s = 10.0 * number / count
            budget.count_request(now_s)
            while budget.spend(now_s, len(context.budgets), True):
                context.retries += 1


@when('each of them has spent its budget for refused requests')
def step_spent(context: Context) -> None:
    """Spend all that is not reserved for runs."""
    for budget in context.budgets:
        for _ in range(100):
            budget.count_request(0.0)
        while budget.spend(0.0, len(context.budgets), False):
            pass


@then('it may still retry some that began to run')
def step_some_left(context: Context) -> None:
    """Spend the part reserved for runs."""
    for budget in context.budgets:
        left = 0
        while budget.spend(0.0, len(context.budgets), True):
            left += 1
        assert left >= 5, left


@then('the fleet retries no more than the budget allows')
def step_within(context: Context) -> None:
    """Compare with the fleet's budget."""
    allowed = context.ratio * context.requests + context.slack
    assert 0 < context.retries <= allowed, (context.retries, allowed)
