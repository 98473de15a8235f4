"""Move streams whose upstream has fallen silent as a whole."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from weakref import WeakSet

from lacewing_common.log import get_log
from lacewing_common.log import Part

from lacewing_daemon.background import call_back
from lacewing_daemon.direct._metrics import SILENT_UPSTREAMS
from lacewing_daemon.direct._silence_history import SILENCE_MARGIN
from lacewing_daemon.direct._upstream_state import UpstreamState

CHECK_INTERVAL_S = 0.04
# A stream is moved once this fraction of the event gap that its route allows
# has passed; the rest is for the next event from another upstream: 220 ms of
# 250 ms where live engines are silent for 175 ms.
EVENT_GAP_FRACTION = 0.88
# However slow engines are, a stream is moved once this fraction of the time
# after which callers abandon it has passed. It is half of the fraction for
# runs that continue from a copy, whose limit is that of single streams: 1.4 s
# of 2 s.
ABANDON_FRACTION = 0.35
# A stream without another upstream is checked again after this: finding
# capacity for one costs 0.8 ms of processor time with 40 engines, and 24
# streams of an engine may be due at once.
MOVE_RETRY_S = 0.2
# When callers abandon streams of routes that set nothing else.
DEFAULT_ABANDON_AFTER_S = 2.0

Move = Callable[[], None]

_log = get_log(Part.LINK)


@dataclass(frozen=True)
class WatchedStream:
    """Describe a stream that has started.

    ``move`` lets another upstream go on with it. ``can_retry``: it may start
    again elsewhere; otherwise it has a copy to continue from.
    ``max_event_gap_s``: the gap between two events that its route allows, 0
    if unset; ``abandon_after_s``: the gap after which its caller abandons it.
    ``can_move`` returns whether it could be finished elsewhere, given the
    number of streams that move before it.
    """

    move: Move
    can_retry: bool
    max_event_gap_s: float
    abandon_after_s: float
    can_move: Callable[[int], bool]

    def silence_limit_s(self, min_s: float, usual_silence_s: float) -> float:
        """Return the silence of its upstream after which it is moved.

        ``usual_silence_s``: how long live upstreams are silent.
        """
        wanted_s = max(
            min_s,
            self.max_event_gap_s * EVENT_GAP_FRACTION,
            usual_silence_s * SILENCE_MARGIN,
        )
        limit_s = min(
            wanted_s, max(min_s, self.abandon_after_s * ABANDON_FRACTION)
        )
        return limit_s if self.can_retry else limit_s * COPY_LIMIT_FACTOR


def _always(_moving: int) -> bool:
    return True


class SilenceDetector:
    """Track the started streams of each upstream and move stalled ones.

    An engine sends all its streams their next events together, every few
    steps. One that lost power sends none, and its connections show that
    only after 1.5 s; callers abandon streams after 2 s. Several streams that
    fall silent at once show it sooner, and each can continue elsewhere.

    The detection can be wrong. Only streams that can continue elsewhere are
    tracked, and each is checked again before it is moved: one at its last
    attempt, or one that no other upstream has capacity for, would lose its
    answer. While this router receives no data from any other upstream
    either, its own link is the likelier cause, as when a narrow link is
    full. A false detection shows in the upstream's next event, which
    raises the limit.
    """

    def __init__(self, min_silence_s: float) -> None:
        self._min_silence_s = min_silence_s
        self._open: dict[UpstreamState, dict[Move, WatchedStream]] = {}
        self._retry_at_s: dict[Move, float] = {}
        self._suspected: WeakSet[UpstreamState] = WeakSet()
        self._last_data_s = 0.0
        self._all_silent_until_s = 0.0

    def stream_opened(
        self,
        state: UpstreamState,
        move: Move,
        can_retry: bool,
        max_event_gap_s: float = 0.0,
        abandon_after_s: float = DEFAULT_ABANDON_AFTER_S,
        can_move: Callable[[int], bool] = _always,
    ) -> None:
        """Track a stream that has started."""
        stream = WatchedStream(
            move, can_retry, max_event_gap_s, abandon_after_s, can_move
        )
        self._open.setdefault(state, {})[move] = stream

    def stream_closed(self, state: UpstreamState, move: Move) -> None:
        """Stop tracking a stream; it may never have started."""
        streams = self._open.get(state)
        if streams is None:
            return
        streams.pop(move, None)
        self._retry_at_s.pop(move, None)
        if not streams:
            del self._open[state]

    def data_received(self, state: UpstreamState, now_s: float) -> None:
        """Record data from an upstream, and a silence that ended with it."""
        if now_s - self._last_data_s >= self._min_silence_s:
            self._all_silent_until_s = now_s
        self._last_data_s = now_s
        silent_s = state.since_last_data_s(now_s)
        state.data_received(now_s)
        if silent_s * SILENCE_MARGIN < self._min_silence_s:
            return
        was_suspected = state in self._suspected
        self._suspected.discard(state)
        if not was_suspected and len(self._open.get(state, ())) < MIN_STREAMS:
            return
        if self._all_silent_until_s <= now_s - silent_s:
            # The other upstreams were not all silent meanwhile, as they are
            # when this router's own link is full.
            state.silence_history.record(silent_s, now_s, state.speed_factor)

    async def run(self) -> None:
        """Check all streams periodically until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check(time.monotonic())

    def check(self, now_s: float) -> None:
        """Move the streams of upstreams that are silent."""
        moving = 0
        for state, streams in list(self._open.items()):
            silent_s = state.since_last_data_s(now_s)
            if len(streams) < MIN_STREAMS or silent_s < self._min_silence_s:
                continue
            if not self._receives_from_others(state, now_s):
                continue
            usual_s = state.silence_history.usual_silence_s(
                now_s, state.speed_factor
            )
            due: list[Move] = []
            for stream in list(streams.values()):
                if silent_s < stream.silence_limit_s(
                    self._min_silence_s, usual_s
                ):
                    continue
                if self._can_move(stream, len(due) + moving, now_s):
                    due.append(stream.move)
            moving += len(due)
            if due:
                self._move_streams(state, due, silent_s)
                state.own_load.fell_silent(now_s)

    def _can_move(
        self, stream: WatchedStream, moving: int, now_s: float
    ) -> bool:
        if now_s < self._retry_at_s.get(stream.move, 0.0):
            return False
        if stream.can_move(moving):
            return True
        self._retry_at_s[stream.move] = now_s + MOVE_RETRY_S
        return False

    def _receives_from_others(
        self, silent: UpstreamState, now_s: float
    ) -> bool:
        for state in self._open:
            if state is silent:
                continue
            if state.since_last_data_s(now_s) < self._min_silence_s:
                return True
        return False

    def _move_streams(
        self, state: UpstreamState, moves: list[Move], silent_s: float
    ) -> None:
        self._suspected.add(state)
        SILENT_UPSTREAMS.inc()
        _log.warning(
            'An upstream fell silent.',
            upstream=state.upstream.upstream_id,
            streams=len(moves),
            silent_ms=int(silent_s * 1000),
        )
        for move in moves:
            call_back('stream move', move)


# A run that can't be retried can continue only from its copy; its limit is
# this many times longer.
COPY_LIMIT_FACTOR = 2.0
# Fewer streams may all wait for the prefill of long prompts: two of them had
# no event for 254 ms at a live engine.
MIN_STREAMS = 3
