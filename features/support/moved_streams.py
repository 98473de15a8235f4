"""Run streams whose upstream falls silent, and record what callers get."""

import http.client
import re
import socket
import threading
import time
from collections.abc import Iterable
from math import inf
from typing import Any

from lacewing_platform_testing import FakeUpstream
from lacewing_platform_testing import overlaps
from lacewing_platform_testing import Work
from lacewing_platform_testing._server import ReceivedRequest
from support.direct_bench import DirectBench
from support.direct_bench import HOST
from support.direct_bench import KEY
from support.direct_bench import LIMIT_S
from support.direct_bench import MODEL
from support.direct_bench import PREFIX

EVENTS = 60
# So slow that streams last until the scenario has done its part.
PAUSE_S = 0.05
FAST_PAUSE_S = 0.001
# Fewer streams of an upstream may all wait for a prefill.
SILENT_STREAMS = 3
MAX_STREAMS = 9
DEADLINE_S = 8.0
_READ_BYTES = 65536
_SMALL_BUFFER_BYTES = 4096
_EVENT_ID = re.compile(rb'^id: (\d+)$', re.MULTILINE)
_GOES_ON = ('Last-Event-Id', 'Kv-From')


class Caller:
    """Read one stream in a thread of its own.

    ``numbers`` are those of the events, ``event_s`` when each was read;
    ``is_whole`` is false for an answer that was cut off. It does not read
    while ``reads`` is clear.
    """

    def __init__(
        self, address: str, path: str, request_id: str, part: str
    ) -> None:
        self.request_id = request_id
        self.part = part
        self.path = path
        self.numbers: list[int] = []
        self.event_s: list[float] = []
        self.status = 0
        self.is_whole = False
        self.ended_s = inf
        self.left_s = inf
        self.reads = threading.Event()
        self.reads.set()
        self._connection = http.client.HTTPConnection(address, timeout=LIMIT_S)
        self._socket = _small_socket(address)
        self._connection.sock = self._socket
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    @property
    def has_left(self) -> bool:
        """Return whether it closed its connection."""
        return self.left_s != inf

    @property
    def longest_gap_s(self) -> float:
        """Return the longest time between two events."""
        gaps = [0.0]
        for before_s, after_s in zip(self.event_s, self.event_s[1:]):
            gaps.append(after_s - before_s)
        return max(gaps)

    def leave(self) -> None:
        """Close the connection."""
        self.left_s = time.monotonic()
        self._socket.shutdown(socket.SHUT_RDWR)

    def join(self) -> None:
        """Wait for the end of its answer."""
        self.reads.set()
        self._thread.join(LIMIT_S)
        assert not self._thread.is_alive(), self.request_id
        self._connection.close()

    def _run(self) -> None:
        try:
            self._read()
            self.is_whole = self.status == http.client.OK
        except (http.client.HTTPException, OSError):
            return
        finally:
            self.ended_s = time.monotonic()

    def _read(self) -> None:
        headers = {
            'Host': HOST,
            'Authorization': f'Token {KEY}',
            PREFIX + 'Request-Id': self.request_id,
            PREFIX + 'Deadline-Ms': str(round(DEADLINE_S * 1000)),
            PREFIX + 'Model': MODEL,
            PREFIX + 'Token-Usage': '300,20',
            PREFIX + 'Prompt-Prefix': f'{self.part}:300',
        }
        self._connection.request('POST', self.path, b'prompt', headers)
        response = self._connection.getresponse()
        self.status = response.status
        rest = b''
        while True:
            self.reads.wait()
            piece = response.read1(_READ_BYTES)
            if not piece:
                return
            *events, rest = (rest + piece).split(b'\n\n')
            for event in events:
                found = _EVENT_ID.search(event)
                self.numbers.append(int(found[1]) if found else 0)
                self.event_s.append(time.monotonic())


class MovedStreams:
    """Open streams, let the engine of several fall silent, and observe them.

    ``before`` is that engine, ``moved`` are the callers of its streams.
    """

    def __init__(
        self, bench: DirectBench, path: str, has_copies: bool
    ) -> None:
        self.bench = bench
        self.path = path
        self.has_copies = has_copies
        self.callers: list[Caller] = []
        self.moved: list[Caller] = []
        self.before: FakeUpstream = next(iter(bench.upstreams.values()))
        for engine in bench.upstreams.values():
            engine.event_count = EVENTS
            engine.pause_s = PAUSE_S
            engine.peers = {
                one.server.address: one for one in bench.upstreams.values()
            }

    @property
    def others(self) -> list[FakeUpstream]:
        """Return the other engines."""
        engines = self.bench.upstreams.values()
        return [engine for engine in engines if engine is not self.before]

    def open_caller(self, part: str = '') -> Caller:
        """Open one stream."""
        number = len(self.callers) + 1
        caller = Caller(
            self.bench.routers[0].callers_address,
            self.path,
            f'moved-{number}',
            part or f'part-{number}',
        )
        self.callers.append(caller)
        return caller

    def open(self) -> None:
        """Open streams until one engine has several and another one has one.

        The other engine shows that the silence is not the router's.
        """
        while len(self.callers) < MAX_STREAMS:
            caller = self.open_caller()
            self.bench.until(
                lambda: bool(caller.numbers), f'events of {caller.part}'
            )
            if self._has_streams():
                return
        raise AssertionError('expected streams at two engines')

    def fall_silent(self) -> None:
        """Stop all events of the engine with several streams."""
        self.silence(self.before)

    def silence(self, engine: FakeUpstream) -> None:
        """Stop all events of an engine."""
        self.bench.on_loop(engine.speaks.clear)

    def speak(self, engine: FakeUpstream) -> None:
        """Let an engine go on."""
        self.bench.on_loop(engine.speaks.set)

    def await_asked(self) -> None:
        """Wait until other engines were asked for all streams."""
        self.bench.until(
            lambda: len(self.asked_ids()) == len(self.moved),
            'other engines that are asked for all streams',
        )

    def asked_ids(self) -> set[str]:
        """Return the streams that other engines were asked to go on with."""
        moved_ids = {caller.request_id for caller in self.moved}
        return {request_id for _, request_id in self.asked()} & moved_ids

    def asked(self) -> list[tuple[str, str]]:
        """Return which engine was asked to go on with which stream."""
        found = []
        for engine in self.bench.upstreams.values():
            for received in tuple(engine.received):
                if any(name in received.headers for name in _GOES_ON):
                    found.append((engine.upstream_id, _id_of(received)))
        return found

    def settle(self, settled_s: float) -> None:
        """Wait until runs that went on have done so for a time."""
        began_s = [work.began_s for work in self.works() if work.goes_on]
        left_s = max(began_s, default=0.0) + settled_s - time.monotonic()
        time.sleep(max(0.0, left_s))

    def finish(self) -> None:
        """Let the streams end fast, and wait for all callers."""
        for engine in self.bench.upstreams.values():
            engine.pause_s = FAST_PAUSE_S
        for caller in self.callers:
            caller.join()

    def works(self) -> list[Work]:
        """Return the work of all engines."""
        found: list[Work] = []
        for engine in self.bench.upstreams.values():
            found.extend(engine.work.entries)
        return found

    def describe(self) -> list[str]:
        """Return for how long streams were at work at two engines."""
        lines = []
        for one in overlaps(self.works(), 0.0):
            kept_s = one.before.ended_s - one.after.began_s
            lines.append(
                f'{one.before.request_id}: {one.before.upstream_id} for'
                f' {kept_s:.2f} s after {one.after.upstream_id} had begun,'
                f' both for {one.lasted_s:.2f} s'
            )
        for caller in self.moved:
            end = 'whole' if caller.is_whole else 'cut off'
            lines.append(
                f'{caller.request_id}: {len(caller.numbers)} events, {end},'
                f' longest gap {caller.longest_gap_s:.2f} s'
            )
        return lines

    def _has_streams(self) -> bool:
        counts: dict[str, list[Caller]] = {}
        for engine in self.bench.upstreams.values():
            ids = {work.request_id for work in engine.work.entries}
            at_engine = [one for one in self.callers if one.request_id in ids]
            counts[engine.upstream_id] = at_engine
        name = max(counts, key=lambda one: len(counts[one]))
        self.before = self.bench.upstreams[name]
        self.moved = counts[name]
        is_other_used = sum(map(len, counts.values())) > len(self.moved)
        return len(self.moved) >= SILENT_STREAMS and is_other_used


def most_at_once(works: Iterable[Work]) -> int:
    """Return at how many engines a request was at work at one moment."""
    most = 0
    by_request: dict[str, list[Work]] = {}
    for work in works:
        by_request.setdefault(work.request_id, []).append(work)
    for same in by_request.values():
        for work in same:
            open_now = 0
            for other in same:
                if other.began_s <= work.began_s < other.ended_s:
                    open_now += 1
            most = max(most, open_now)
    return most


def _id_of(received: ReceivedRequest) -> str:
    return received.headers[PREFIX + 'Request-Id']


def _small_socket(address: str) -> socket.socket:
    """Connect a socket that buffers little of what is not read."""
    host, _, port = address.rpartition(':')
    sock = socket.socket(socket.AF_INET)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES)
    sock.settimeout(LIMIT_S)
    sock.connect((host, int(port)))
    return sock


def engine_config(config: dict[str, Any], has_copies: bool) -> dict[str, Any]:
    """Return the changes of a configuration for streams that are moved."""
    routes = []
    for route in config['Routes']:
        routes.append(
            {
                **route,
                'TimeoutMs': round(DEADLINE_S * 1000),
                'TargetLatencyMs': 500,
                'MaxAttempts': 3,
            }
        )
    services = []
    for service in config['Services']:
        if 'Engine' in service:
            engine = {
                **service['Engine'],
                'KvCacheTokens': 100_000,
                'Backups': has_copies,
            }
            service = {**service, 'Engine': engine}
        services.append(service)
    return {'Routes': routes, 'Services': services}
