"""Check a handover with runs that are played by hand."""

import asyncio
from collections.abc import Iterable

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct._handover import Handover
from lacewing_daemon.direct._handover import NoSuccessor
from lacewing_daemon.direct._handover import SuccessorRelay
from lacewing_daemon.direct._site import ReplyHead
from lacewing_platform import PlatformWire
from tornado.httputil import HTTPHeaders

_HEAD = PlatformWire().read_reply(200, HTTPHeaders())
_EARLIER = b'earlier'
_NEXT = b'next'


class _Caller:
    """Record the events that a caller gets."""

    def __init__(self) -> None:
        self.events: list[bytes] = []
        self.has_started = True
        self.last_event: str | None = '1'

    def hold(self, _size: int) -> bool:
        """Hold any answer."""
        return True

    async def forward(self, _head: ReplyHead, events: Iterable[bytes]) -> None:
        """Record events."""
        self.events.extend(events)


class _Runs:
    """Play the earlier run of a stream and its successor."""

    def __init__(self, is_sent: bool) -> None:
        self._is_sent = is_sent
        self.caller = _Caller()
        self.handover: Handover[str] = Handover(
            'models', self.caller, self._ask
        )
        self.open_runs = {_EARLIER, _NEXT}
        self._relay: SuccessorRelay | None = None

    async def play(self, order: tuple[bytes, ...]) -> None:
        """Let each run send an event before the loop runs anything else."""
        self.handover.begin(lambda: self.open_runs.discard(_EARLIER))
        await asyncio.sleep(0.01)
        sends = [self._send(run) for run in order]
        await asyncio.gather(*sends)
        await asyncio.sleep(0.01)
        self.handover.close()

    async def _send(self, run: bytes) -> None:
        if run == _NEXT:
            assert self._relay is not None
            await self._relay.forward(_HEAD, [run])
        elif await self.handover.keep_run():
            await self.caller.forward(_HEAD, [run])

    async def _ask(self, relay: SuccessorRelay) -> str | NoSuccessor:
        self._relay = relay
        if self._is_sent:
            relay.record_sending()
        try:
            await asyncio.sleep(1.0)
        except asyncio.CancelledError:
            if not relay.has_taken_over:
                self.open_runs.discard(_NEXT)
            raise
        return 'ended'


@given('a handover whose successor {was} sent the stream')
def step_handover(context: Context, was: str) -> None:
    """Prepare the two runs."""
    context.is_sent = was == 'was'


@when('events arrive from the {first:w} and then from the {second:w} run')
def step_events(context: Context, first: str, second: str) -> None:
    """Let both runs send an event."""

    async def play() -> _Runs:
        runs = _Runs(context.is_sent)
        await runs.play((first.encode(), second.encode()))
        return runs

    context.runs = asyncio.run(play())


@then('only those of the {run:w} run are forwarded')
def step_forwarded(context: Context, run: str) -> None:
    """Check what the caller got."""
    events = context.runs.caller.events
    assert events == [run.encode()], events


@then('the {run:w} run goes on')
def step_goes_on(context: Context, run: str) -> None:
    """Check that one run was ended and the other one was not."""
    open_runs = context.runs.open_runs
    assert open_runs == {run.encode()}, open_runs
