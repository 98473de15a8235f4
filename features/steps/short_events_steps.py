"""Check how streams of events are split."""

import time

from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct._events import EventSplitter

_EVENTS = {
    'comments': b': ping\n\n',
    'events': b'data: a\r\n\r\n',
    'events that end in CRs': b'data: a\r\r',
}


@when('{size:d} bytes of {what} arrive at once')
def step_arrive(context: Context, size: int, what: str) -> None:
    """Split them as one piece."""
    context.event = _EVENTS[what]
    context.count = size // len(context.event)
    splitter = EventSplitter()
    start_s = time.process_time()
    context.events = splitter.feed(context.event * context.count)
    context.took_s = time.process_time() - start_s


@then('they are split whole and in order within {most_s:g} s')
def step_split(context: Context, most_s: float) -> None:
    """Check the events, and the processor time."""
    assert context.events == [context.event] * context.count
    assert context.took_s < most_s, context.took_s
