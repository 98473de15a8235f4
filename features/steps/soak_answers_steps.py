"""Check how the soak judges the answers that callers got."""

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_platform_testing.soak._answer_checks import check_twice
from lacewing_platform_testing.soak._answers import Form
from lacewing_platform_testing.soak._answers import Send
from lacewing_platform_testing.soak._callers import ObservedAnswer

_REQUEST = 'request-1'
_SENDS = {
    'a success': Send(_REQUEST, 'GET', None, False),
    'a failure, then a success': Send(_REQUEST, 'GET', Form.UNNAMED, False),
    'a success of another request': Send('request-2', 'GET', None, False),
    'a failure, then its rest': Send(_REQUEST, 'POST', Form.OWN, True),
    'its rest': Send(_REQUEST, 'POST', None, True),
}
# Others that met a failure first, so that there are enough of them.
_OTHERS = 20


@given('a request whose send was answered with {first}')
def step_first(context: Context, first: str) -> None:
    """Record a send."""
    context.sends = {'signed-0': _SENDS[first]}
    for number in range(_OTHERS):
        other = Send(f'other-{number}', 'GET', Form.UNNAMED, False)
        context.sends[f'other-{number}'] = other


@given('its next send was answered with {second}')
def step_second(context: Context, second: str) -> None:
    """Record another send unless there is none."""
    if second != 'nothing':
        context.sends['signed-1'] = _SENDS[second]


@when('the soak checks a caller that got {status:d} signed by send {number:d}')
def step_check(context: Context, status: int, number: int) -> None:
    """Check one answer."""
    signature = f'signed-{number}' if status == 200 else ''
    answer = ObservedAnswer(
        _REQUEST,
        '/records/1',
        'key-1',
        0.0,
        status,
        bool(signature),
        b'',
        signature=signature,
    )
    context.broken = check_twice([answer], context.sends)


@then('it counts {count:d} answers that the caller must not get')
def step_count(context: Context, count: int) -> None:
    """Compare the broken promises."""
    assert len(context.broken) == count, context.broken
