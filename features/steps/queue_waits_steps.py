"""Check the queue of waiting requests with fakes."""

import asyncio
import time
from random import Random

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct.queueing import Offer
from lacewing_daemon.direct.queueing import QueuedRequest
from lacewing_daemon.direct.queueing import QueueStay
from lacewing_daemon.direct.queueing import Refuse
from lacewing_daemon.direct.queueing import RequestQueue
from lacewing_daemon.direct.queueing import TeamShares
from lacewing_daemon.direct.queueing import Unavailable

DEADLINE_S = 0.3
SERVICE = 'models'


class _Engine:
    """Offer nothing until it is opened, then one place at a time."""

    def __init__(self) -> None:
        self.taken: list[int] = []
        self.is_open = False
        self.is_busy = False
        self.fails = False

    def offers(self, number: int) -> '_Offers':
        """Return the offers of one request."""
        return _Offers(self, number)


class _Offers:
    def __init__(self, engine: _Engine, number: int) -> None:
        self._engine = engine
        self._number = number

    def offer(self, now_s: float) -> Offer[int] | Unavailable:
        """Return the engine if it is free."""
        if self._engine.fails:
            raise RuntimeError('no choice')
        if not self._engine.is_open or self._engine.is_busy:
            return Unavailable(0.0)
        return Offer(self._number, 0.01, 0.0, 0.0, 0.1, 1.0)


class _Waits:
    """Hold requests that wait in a queue; used within one event loop."""

    def __init__(self) -> None:
        self.engine = _Engine()
        self.queue: RequestQueue[int] = RequestQueue(
            SERVICE, TeamShares(), Random(1)
        )
        self.tasks: list[asyncio.Task[None]] = []
        self.ends: list[str] = []

    async def start(self, count: int) -> None:
        """Let requests join the queue."""
        for number in range(count):
            self.tasks.append(asyncio.create_task(self._wait(number)))
        await asyncio.sleep(0.03)
        assert self.queue.length == count

    async def finish(self) -> None:
        """Wait until all have ended."""
        await asyncio.wait_for(
            asyncio.gather(*self.tasks, return_exceptions=True), 2.0
        )

    async def _wait(self, number: int) -> None:
        now_s = time.monotonic()
        request = QueuedRequest(
            1,
            'north',
            1.0,
            now_s,
            now_s + 0.2 + number / 100,
            now_s + DEADLINE_S,
        )
        offers = self.engine.offers(number)
        try:
            result = await self.queue.wait(request, offers, QueueStay())
        except asyncio.CancelledError:
            self.ends.append('cancelled')
            raise
        except RuntimeError:
            self.ends.append('error')
            return
        if isinstance(result, Refuse):
            self.ends.append(result.cause.value)
            return
        # The next one is chosen only once this one counts at its engine.
        assert not self.engine.is_busy
        self.engine.taken.append(result)
        self.engine.is_busy = True
        await asyncio.sleep(0.01)
        self.engine.is_busy = False
        self.queue.capacity_changed()


@given('3 requests that wait for engines without capacity')
def step_waiting(context: Context) -> None:
    """Let requests wait in a queue of a loop of its own."""
    context.runner = context.resources.enter_context(asyncio.Runner())
    context.waits = _Waits()
    context.runner.run(context.waits.start(3))


async def _leave(waits: _Waits) -> None:
    for task in waits.tasks:
        task.cancel()
    await waits.finish()


async def _close(waits: _Waits) -> None:
    waits.queue.close()
    await waits.finish()


async def _expire(waits: _Waits) -> None:
    await waits.finish()


async def _fail(waits: _Waits) -> None:
    waits.engine.fails = True
    await waits.finish()


async def _open(waits: _Waits) -> None:
    waits.engine.is_open = True
    await waits.finish()


_EVENTS = {
    'their callers leave': _leave,
    'the queue is closed': _close,
    'their deadline is over': _expire,
    'choosing an engine fails': _fail,
    'an engine takes one request at a time': _open,
}


def _add_event_step(text: str) -> None:
    @when(text)
    def step_event(context: Context) -> None:
        """Let the waits end."""
        context.runner.run(_EVENTS[text](context.waits))


for _text in _EVENTS:
    _add_event_step(_text)


@then('all have ended as "{result}"')
def step_ended(context: Context, result: str) -> None:
    """Check how the waits ended."""
    assert context.waits.ends == [result] * 3, context.waits.ends


@then('the queue is empty and no timer runs')
def step_empty(context: Context) -> None:
    """Check that nothing is left of the requests."""
    queue = context.waits.queue
    assert queue.length == 0
    assert not queue._waiters
    assert queue._timer is None


@then('the requests were placed one after the other in their order')
def step_in_order(context: Context) -> None:
    """Check the order; each was checked to find the engine free."""
    assert context.waits.engine.taken == [0, 1, 2]
