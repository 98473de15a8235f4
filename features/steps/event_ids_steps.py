"""Take streams up after events with ids of many kinds."""

from collections.abc import Callable

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_platform_testing._upstream import EVENT_COUNT
from support.direct_bench import Answer
from support.direct_bench import direct_bench
from support.direct_bench import HOST
from support.direct_bench import KEY
from support.direct_bench import PREFIX
from support.direct_bench import PROMPT

_SUPERSCRIPTS = '¹²³⁴'
_IDS: dict[str, Callable[[int], str]] = {
    'numbers': str,
    'numbers of 13 digits': lambda number: str(1_764_800_000_000 + number),
    'numbers of 19 digits': lambda number: str(10**18 + number),
    'numbers of 5000 digits': lambda number: '7' * 4999 + str(number),
    'numbers with leading zeros': lambda number: f'{number + 8:04d}',
    'numbers with a sign': lambda number: str(number - 10),
    'texts': lambda number: f'run-7/{"bad!"[number - 1]}',
    'texts in UTF-8': lambda number: f'ž{number}ł',
    'superscript digits': lambda number: _SUPERSCRIPTS[number - 1],
    'one text': lambda _number: 'same',
    'missing': lambda _number: '',
}
_ID = 'Last-Event-Id'
_NONE = '(none)'


@given('engines whose event ids are {ids}')
def step_ids(context: Context, ids: str) -> None:
    """Set the ids of the events of all engines."""
    for upstream in direct_bench(context).upstreams.values():
        upstream.event_id = _IDS[ids]


@given('engines that start each stream anew')
def step_anew(context: Context) -> None:
    """Have engines ignore after which event to go on."""
    for upstream in direct_bench(context).upstreams.values():
        upstream.starts_anew = True


@given('a caller that read a stream')
def step_read(context: Context) -> None:
    """Read a whole stream, which the router then knows."""
    bench = direct_bench(context)
    assert bench.ask_model().status == 200, bench.answer
    context.began = bench.last_request


@when('it takes the stream up after event {number:d}')
def step_take_up(context: Context, number: int) -> None:
    """Send the id of an event as the engine wrote it."""
    _take_up(context, _header(_event_id(context, number)))


@when('it takes the stream up with "{event_id}"')
def step_take_up_with(context: Context, event_id: str) -> None:
    """Send an id that the engine may not know."""
    _take_up(context, event_id)


def _take_up(context: Context, event_id: str) -> None:
    headers = {_ID: event_id, 'Resumes': context.began}
    direct_bench(context).ask_model(**headers)


@when('it sends the ids "{ids}"')
def step_send_ids(context: Context, ids: str) -> None:
    """Take the stream up with a header for each id."""
    _send(context, '/chat/1', ids, {**PROMPT, 'Resumes': context.began})


@when('a caller sends the ids "{ids}"')
def step_send_new(context: Context, ids: str) -> None:
    """Ask for a stream with a header for each id."""
    _send(context, '/chat/1', ids, PROMPT)


@when('a caller of a record sends the ids "{ids}"')
def step_send_plain(context: Context, ids: str) -> None:
    """Ask for something that is not streamed."""
    _send(context, '/records/1', ids, {})


def _send(
    context: Context, path: str, ids: str, headers: dict[str, str]
) -> None:
    bench = direct_bench(context)
    connection = bench.connect()
    connection.putrequest('POST', path, skip_host=True)
    sent = {
        'Host': HOST,
        'Authorization': f'Token {KEY}',
        'Content-Length': '0',
        PREFIX + 'Request-Id': 'with-ids',
        PREFIX + 'Deadline-Ms': '3000',
        **headers,
    }
    for name, value in sent.items():
        connection.putheader(name, value)
    for event_id in ids.split(', '):
        connection.putheader(_ID, '' if event_id == _NONE else event_id)
    connection.endheaders()
    response = connection.getresponse()
    bench.answers.append(
        Answer(response.status, dict(response.headers), response.read())
    )
    connection.close()


@then('the engine receives the id of event {number:d} unchanged')
def step_received_id(context: Context, number: int) -> None:
    """Compare what the engine received."""
    expected = _header(_event_id(context, number))
    assert _received_ids(context) == [expected], _received_ids(context)


@then('an engine receives the id "{event_id}"')
def step_received_text(context: Context, event_id: str) -> None:
    """Compare what the engine received."""
    assert _received_ids(context) == [event_id], _received_ids(context)


@then('the upstream receives the ids "{ids}"')
def step_received_ids(context: Context, ids: str) -> None:
    """Compare what the upstream received."""
    assert _received_ids(context) == ids.split(', '), _received_ids(context)


@then('engines receive no id')
def step_no_id(context: Context) -> None:
    """Check that the header was not sent, not even empty."""
    assert not _received_ids(context), _received_ids(context)


@then('the answer is 200 with the events after event {number:d}')
def step_rest(context: Context, number: int) -> None:
    """Check the events that the caller got."""
    _check_events(context, number + 1)


@then('the answer is 200 with all events of the engine once and in order')
def step_all(context: Context) -> None:
    """Check the events that the caller got."""
    _check_events(context, 1)


@then('the answer is 400 and says that nothing ran')
def step_refused(context: Context) -> None:
    """Check the refusal."""
    answer = direct_bench(context).answer
    assert answer.status == 400, answer
    assert answer.headers.get(PREFIX + 'Not-Executed') == '1', answer
    assert b'Last-Event-Id' in answer.body, answer


@then('no second request reached an engine')
def step_only_first(context: Context) -> None:
    """Check that only the request that began the stream was sent."""
    received = direct_bench(context).received()
    assert len(received) == 1, received


def _check_events(context: Context, first: int) -> None:
    answer = direct_bench(context).answer
    events = b''
    for number in range(first, EVENT_COUNT + 1):
        event_id = _event_id(context, number)
        events += f'id: {event_id}\ndata: word {number}\n\n'.encode()
    assert answer.status == 200, answer
    assert answer.body == events, answer


def _event_id(context: Context, number: int) -> str:
    upstream = next(iter(direct_bench(context).upstreams.values()))
    return upstream.event_id(number)


def _header(event_id: str) -> str:
    """Return a header value that is sent as UTF-8."""
    return event_id.encode().decode('latin1')


def _received_ids(context: Context) -> list[str]:
    received_ids: list[str] = []
    for received in direct_bench(context).received():
        received_ids.extend(received.headers.get_list(_ID))
    return received_ids
