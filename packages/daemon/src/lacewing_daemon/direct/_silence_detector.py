"""Break off streams whose upstream has fallen silent as a whole."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from weakref import WeakSet

from lacewing_common.log import get_log
from lacewing_common.log import Part

from lacewing_daemon.direct._metrics import SILENT_UPSTREAMS
from lacewing_daemon.direct._silence_history import SILENCE_MARGIN
from lacewing_daemon.direct._upstream_state import UpstreamState

# How often open streams are looked at.
CHECK_INTERVAL_S = 0.04
# A stream is left when so much of the pause that its route allows is over;
# what is left brings the next event from elsewhere: 220 ms of 250 ms were
# taken where engines that live are silent for 175 ms.
PAUSE_PART = 0.88
# However slow engines are, a stream is left when so much of the time after
# which callers leave is over. Half of the bound for runs that go on from a
# copy, which is that of single streams, 1.4 s of 2 s.
LEAVES_PART = 0.35
# A stream that has nowhere to go is asked again after this: finding room for
# one costs 0.8 ms of processor time with 40 engines, and 24 streams of an
# engine may be due at once.
ASK_AGAIN_S = 0.2
# When callers leave where nothing else is told.
USUAL_LEAVES_S = 2.0

Cut = Callable[[], None]

_log = get_log(Part.LINK)


@dataclass(frozen=True)
class WatchedStream:
    """Hold what is watched of a stream that has begun.

    ``abort`` breaks it off. ``can_retry``: it may begin again elsewhere; it
    has a copy else. ``max_event_gap_s``: the pause between two events that its
    route allows, 0 if it tells none; ``abandon_after_s``: the one after which
    its caller leaves. ``can_move`` tells whether it could be finished
    elsewhere.
    """

    abort: Cut
    can_retry: bool
    max_event_gap_s: float
    abandon_after_s: float
    can_move: Callable[[int], bool]

    def silence_limit_s(self, least_s: float, silence_s: float) -> float:
        """Return the silence of its upstream after which it is left.

        ``silence_s``: how long upstreams that live are silent.
        """
        usual_s = max(
            least_s,
            self.max_event_gap_s * PAUSE_PART,
            silence_s * SILENCE_MARGIN,
        )
        mute_s = min(usual_s, max(least_s, self.abandon_after_s * LEAVES_PART))
        return mute_s if self.can_retry else mute_s * ONCE_PATIENCE


def _always(_others: int) -> bool:
    return True


class SilenceDetector:
    """Know the begun streams of each upstream and when it was last heard.

    An engine gives all its streams their next events together, every few
    steps. One that lost its power gives none, and its connections show that
    only after 1.5 s; callers leave after 2 s. Several streams that fall
    silent at once tell it sooner, and each can go on elsewhere.

    It remains a guess. Only streams that can go on elsewhere belong here,
    and each is asked again before it is broken off: its last run, or one
    that no other upstream has room for, would lose its answer. And while
    this router hears nothing from any other upstream either, its own link
    is the likelier cause, as when a small link is full. A guess that was
    wrong shows by the upstream's next event, and the next one waits longer.
    """

    def __init__(self, min_silence_s: float) -> None:
        self._mute_s = min_silence_s
        self._open: dict[UpstreamState, dict[Cut, WatchedStream]] = {}
        self._kept_until_s: dict[Cut, float] = {}
        self._left: WeakSet[UpstreamState] = WeakSet()
        self._any_heard_s = 0.0
        self._cut_off_s = 0.0

    def stream_opened(
        self,
        state: UpstreamState,
        abort: Cut,
        can_retry: bool,
        max_event_gap_s: float = 0.0,
        abandon_after_s: float = USUAL_LEAVES_S,
        can_move: Callable[[int], bool] = _always,
    ) -> None:
        """Watch a stream that has begun."""
        stream = WatchedStream(
            abort, can_retry, max_event_gap_s, abandon_after_s, can_move
        )
        self._open.setdefault(state, {})[abort] = stream

    def stream_closed(self, state: UpstreamState, abort: Cut) -> None:
        """Forget a stream; it may never have begun."""
        streams = self._open.get(state)
        if streams is None:
            return
        streams.pop(abort, None)
        self._kept_until_s.pop(abort, None)
        if not streams:
            del self._open[state]

    def data_received(self, state: UpstreamState, now_s: float) -> None:
        """Note that an upstream was heard; a silence that ended is learnt."""
        if now_s - self._any_heard_s >= self._mute_s:
            self._cut_off_s = now_s
        self._any_heard_s = now_s
        silent_s = state.since_last_data_s(now_s)
        state.data_received(now_s)
        if silent_s * SILENCE_MARGIN < self._mute_s:
            return
        was_left = state in self._left
        self._left.discard(state)
        if not was_left and len(self._open.get(state, ())) < LEAST_STREAMS:
            return
        if self._cut_off_s <= now_s - silent_s:
            # All upstreams together were not silent meanwhile, as behind a
            # full link of this router's own.
            state.silence_history.record(silent_s, now_s)

    async def run(self) -> None:
        """Look at all streams until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check(time.monotonic())

    def check(self, now_s: float) -> None:
        """Break off the streams of upstreams that are silent."""
        left = 0
        for state, streams in list(self._open.items()):
            silent_s = state.since_last_data_s(now_s)
            if len(streams) < LEAST_STREAMS or silent_s < self._mute_s:
                continue
            if not self._hears_others(state, now_s):
                continue
            silence_s = state.silence_history.usual_silence_s(now_s)
            due: list[Cut] = []
            for stream in list(streams.values()):
                if silent_s < stream.silence_limit_s(self._mute_s, silence_s):
                    continue
                if self._may_leave(stream, len(due) + left, now_s):
                    due.append(stream.abort)
            left += len(due)
            if due:
                self._break_off(state, due, silent_s)

    def _may_leave(
        self, stream: WatchedStream, others: int, now_s: float
    ) -> bool:
        if now_s < self._kept_until_s.get(stream.abort, 0.0):
            return False
        if stream.can_move(others):
            return True
        self._kept_until_s[stream.abort] = now_s + ASK_AGAIN_S
        return False

    def _hears_others(self, silent: UpstreamState, now_s: float) -> bool:
        for state in self._open:
            if state is silent:
                continue
            if state.since_last_data_s(now_s) < self._mute_s:
                return True
        return False

    def _break_off(
        self, state: UpstreamState, cuts: list[Cut], silent_s: float
    ) -> None:
        self._left.add(state)
        SILENT_UPSTREAMS.inc()
        _log.warning(
            'An upstream fell silent.',
            upstream=state.upstream.upstream_id,
            streams=len(cuts),
            silent_ms=int(silent_s * 1000),
        )
        for cut in cuts:
            cut()


# A run that must not begin again has its copy alone to go on from; it is
# broken off this many times later.
ONCE_PATIENCE = 2.0
# Fewer streams may all wait for the reading of long prompts: two of them
# were without an event for 254 ms at an engine that lived.
LEAST_STREAMS = 3
