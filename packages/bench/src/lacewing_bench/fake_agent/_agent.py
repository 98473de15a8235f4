"""Speak the link protocol by scripts."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import Any

from grpclib.const import Cardinality
from grpclib.const import Handler
from grpclib.server import Server
from grpclib.server import Stream
from lacewing_common.codec import FromAgent
from lacewing_common.codec import FromRouter
from lacewing_common.codec import MsgpackCodec
from lacewing_common.identity import new_incarnation
from lacewing_common.identity import Place
from lacewing_common.identity import ProcessName
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Verdict
from lacewing_common.wire import Accepted
from lacewing_common.wire import Ack
from lacewing_common.wire import AgentFrame
from lacewing_common.wire import ANSWER_WINDOW_BYTES
from lacewing_common.wire import Ask
from lacewing_common.wire import AttemptId
from lacewing_common.wire import CacheReport
from lacewing_common.wire import Cancel
from lacewing_common.wire import Data
from lacewing_common.wire import End
from lacewing_common.wire import Head
from lacewing_common.wire import LINK_METHOD
from lacewing_common.wire import LoadReport
from lacewing_common.wire import Refused
from lacewing_common.wire import RouterFrame
from lacewing_common.wire import Start
from lacewing_common.wire import Welcome
from lacewing_common.wire import WorkerChanged

from lacewing_bench.fake_agent._chat import chat_events
from lacewing_bench.fake_agent._chat import rest_of
from lacewing_bench.fake_agent._script import Script

Link = Stream[Any, Any]


@dataclass
class Run:
    """Hold what a fake agent knows of one attempt."""

    start: Start
    script: Script
    sent: int = 0
    acked: int = 0
    cancelled: bool = False
    held_back: bool = False
    acked_more: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass
class Seen:
    """Collect the frames that routers sent."""

    starts: list[Start] = field(default_factory=list)
    asks: list[Ask] = field(default_factory=list)
    cancels: list[Cancel] = field(default_factory=list)
    acks: list[Ack] = field(default_factory=list)


class FakeAgent:
    """Speak the link protocol by scripts, one for each Start in turn.

    The last script serves all further Starts.
    """

    def __init__(
        self,
        name: str,
        service: str,
        models: tuple[str, ...],
        scripts: tuple[Script, ...],
    ) -> None:
        self.seen = Seen()
        self.go_on = asyncio.Event()
        self._thawed = asyncio.Event()
        self._thawed.set()
        self.crossed_to = AttemptId('router-other.1', 999, 1)
        self._name = ProcessName(name, new_incarnation())
        self._service = service
        self._models = models
        self._scripts = scripts
        self._runs: dict[AttemptId, Run] = {}
        self._links: list[Link] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._server = Server([self], codec=MsgpackCodec())
        self._port = 0

    @property
    def address(self) -> str:
        """Return the ``ip:port`` it listens on."""
        return f'127.0.0.1:{self._port}'

    @property
    def held_back(self) -> bool:
        """Tell whether the answer window now holds back some answer."""
        return any(run.held_back for run in self._runs.values())

    @property
    def linked(self) -> bool:
        """Tell whether some router greeted it."""
        return bool(self._links)

    def __mapping__(self) -> dict[str, Handler]:
        """Return the methods served, as grpclib asks for them."""
        handler = Handler(
            self._serve, Cardinality.STREAM_STREAM, FromRouter, FromAgent
        )
        return {LINK_METHOD: handler}

    async def listen(self) -> None:
        """Listen on a free port, on the same one again after a vanishing."""
        await self._server.start('127.0.0.1', self._port)
        server: Any = self._server
        sockets = server._server.sockets
        self._port = sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Close the listener and all links."""
        for task in tuple(self._tasks):
            if task is not asyncio.current_task():
                task.cancel()
        for link in tuple(self._links):
            _cut(link)
        self._server.close()
        await self._server.wait_closed()

    async def restart(self) -> None:
        """Come back as a new incarnation that knows nothing."""
        await self.close()
        self._name = ProcessName(self._name.process_id, new_incarnation())
        self._runs.clear()
        self._server = Server([self], codec=MsgpackCodec())
        await self.listen()

    def freeze(self) -> None:
        """Stop reading and answering, with all links open."""
        self._thawed.clear()

    def thaw(self) -> None:
        """Read and answer again."""
        self._thawed.set()

    async def leave(self) -> None:
        """Tell routers that it takes no new work."""
        changed = WorkerChanged('epoch-1', self._models, LoadReport(), True)
        for link in self._links:
            await link.send_message(changed)

    async def send_all(self, frame: AgentFrame) -> None:
        """Send a frame on every link."""
        for link in self._links:
            await link.send_message(frame)

    async def _serve(self, link: Link) -> None:
        await link.recv_message()
        await self._thawed.wait()
        await link.send_message(
            Welcome(
                name=self._name,
                place=Place('test', 'zone-1'),
                service=self._service,
                epoch='epoch-1',
                models=self._models,
                load=LoadReport(),
                leaving=False,
                bundle_number=1,
            )
        )
        self._links.append(link)
        try:
            async for frame in link:
                await self._thawed.wait()
                self._take(link, frame)
        finally:
            self._links.remove(link)

    def _take(self, link: Link, frame: RouterFrame) -> None:
        if isinstance(frame, Start):
            self.seen.starts.append(frame)
            self._spawn(link, self._start(frame))
            return
        if isinstance(frame, Ask):
            self.seen.asks.append(frame)
            self._resume(link, frame)
            return
        if isinstance(frame, Cancel):
            self.seen.cancels.append(frame)
            run = self._runs.get(frame.attempt)
            if run is not None:
                run.cancelled = True
            return
        if isinstance(frame, Ack):
            self.seen.acks.append(frame)
            run = self._runs.get(frame.attempt)
            if run is not None:
                run.acked = frame.offset
                run.acked_more.set()

    def _start(self, start: Start) -> Run:
        number = min(len(self.seen.starts), len(self._scripts)) - 1
        script = self._scripts[number]
        if script.chat is not None:
            part = rest_of(script.chat, start.body)
            script = replace(script, chunks=chat_events(part))
        run = Run(start, script)
        self._runs[start.attempt] = run
        return run

    def _resume(self, link: Link, ask: Ask) -> None:
        run = self._runs.get(ask.attempt)
        if run is None:
            closed = _refused(
                ask.attempt, Verdict.NOT_RUN, Reason.ATTEMPT_CLOSED
            )
            self._send_soon(link, closed)
            return
        run.sent = _chunks_before(run.script.chunks, ask.offset)
        self._spawn(link, run)

    def _spawn(self, link: Link, run: Run) -> None:
        task = asyncio.create_task(self._play(link, run))
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _send_soon(self, link: Link, frame: AgentFrame) -> None:
        task = asyncio.create_task(link.send_message(frame))
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # A link that broke while the script was sending.
            task.exception()

    async def _play(self, link: Link, run: Run) -> None:
        script = run.script
        attempt = run.start.attempt
        if script.refuse is not None:
            await link.send_message(
                _refused(attempt, script.verdict, script.refuse)
            )
            return
        await link.send_message(Accepted(attempt))
        if script.freeze_on_accept:
            self.freeze()
            return
        if script.restart_on_accept:
            await self.restart()
            return
        await link.send_message(
            Head(attempt, script.status, script.content_type)
        )
        while True:
            if not await self._fault(link, run):
                return
            if run.sent == len(script.chunks):
                break
            payload = script.chunks[run.sent]
            offset = sum(map(len, script.chunks[: run.sent]))
            run.sent += 1
            if script.obey_window:
                await self._wait_for_window(run, offset + len(payload))
            await link.send_message(Data(attempt, offset, payload))
        length = sum(map(len, script.chunks))
        cache = CacheReport('epoch-1', 1, 2)
        await link.send_message(
            End(attempt, length, 8, len(script.chunks), cache, LoadReport())
        )

    async def _wait_for_window(self, run: Run, end: int) -> None:
        while end - run.acked > ANSWER_WINDOW_BYTES:
            run.held_back = True
            run.acked_more.clear()
            await run.acked_more.wait()
            run.held_back = False

    async def _fault(self, link: Link, run: Run) -> bool:
        """Bring the fault that is due; false when the link is gone."""
        script = run.script
        attempt = run.start.attempt
        if run.sent == script.hold_after:
            await self.go_on.wait()
        if run.sent == script.cross_after:
            await link.send_message(Data(self.crossed_to, 0, b'crossed'))
            other = AttemptId('router-other.1', attempt.sequence, 1)
            await link.send_message(Data(other, 0, b'crossed'))
        if run.sent == script.repeat_after:
            payload = script.chunks[run.sent - 1]
            offset = sum(map(len, script.chunks[: run.sent - 1]))
            await link.send_message(Data(attempt, offset, payload))
        if run.sent == script.fail_after:
            await link.send_message(
                _refused(attempt, Verdict.MAY_HAVE_RUN, Reason.STREAM_BROKEN)
            )
            return False
        if run.sent == script.skip_after:
            run.script = replace(script, skip_after=None)
            run.sent += 1
        if run.sent == script.cut_link_after:
            run.script = replace(script, cut_link_after=None)
            _cut(link)
            return False
        if run.sent == script.vanish_after:
            await self.close()
            return False
        return True


def _cut(link: Link) -> None:
    stream: Any = link._stream
    stream.connection.close()


def _chunks_before(chunks: tuple[bytes, ...], offset: int) -> int:
    count = 0
    length = 0
    for chunk in chunks:
        if length >= offset:
            break
        length += len(chunk)
        count += 1
    return count


def _refused(attempt: AttemptId, verdict: Verdict, reason: Reason) -> Refused:
    return Refused(
        attempt, verdict, reason, f'refused: {reason.value}', 2.0, LoadReport()
    )


Condition = Callable[[], bool]


async def until(condition: Condition, limit_s: float = 10.0) -> None:
    """Wait until a condition holds; raise TimeoutError after ``limit_s``."""
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.005)
