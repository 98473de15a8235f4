"""Break off streams whose upstream has fallen silent as a whole."""

import asyncio
import time
from collections.abc import Callable

from lacewing_common.log import get_log
from lacewing_common.log import Part

from lacewing_daemon.direct._metrics import UPSTREAMS_SILENT
from lacewing_daemon.direct._upstream_state import UpstreamState

# How often open streams are looked at.
LOOK_S = 0.04

Cut = Callable[[], None]

_log = get_log(Part.LINK)


class SilenceWatch:
    """Know the begun streams of each upstream and when it was last heard.

    An engine gives all its streams their next events together, every few
    steps. One that lost its power gives none, and its connections show that
    only after 1.5 s; callers leave after 2 s. Several streams that fall
    silent at once tell it sooner, and each can go on elsewhere.

    Only streams that can go on elsewhere belong here: to break off one that
    can't, on a guess, would lose its answer. And while this router hears
    nothing from any other upstream either, its own link is the likelier
    cause, as when a small link is full.
    """

    def __init__(self, mute_s: float) -> None:
        self._mute_s = mute_s
        self._open: dict[UpstreamState, dict[Cut, float]] = {}

    def opened(self, state: UpstreamState, cut: Cut, may_repeat: bool) -> None:
        """Watch a stream that has begun; ``cut`` breaks it off."""
        mute_s = self._mute_s
        if not may_repeat:
            mute_s *= ONCE_PATIENCE
        self._open.setdefault(state, {})[cut] = mute_s

    def closed(self, state: UpstreamState, cut: Cut) -> None:
        """Forget a stream; it may never have begun."""
        cuts = self._open.get(state)
        if cuts is None:
            return
        cuts.pop(cut, None)
        if not cuts:
            del self._open[state]

    async def run(self) -> None:
        """Look at all streams until cancelled."""
        while True:
            await asyncio.sleep(LOOK_S)
            self.look(time.monotonic())

    def look(self, now_s: float) -> None:
        """Break off the streams of upstreams that are silent."""
        for state, cuts in list(self._open.items()):
            silent_s = state.unheard_s(now_s)
            if len(cuts) < LEAST_STREAMS or silent_s < self._mute_s:
                continue
            if not self._hears_others(state, now_s):
                continue
            due = [cut for cut, mute_s in cuts.items() if silent_s >= mute_s]
            if due:
                self._break_off(state, due, silent_s)

    def _hears_others(self, silent: UpstreamState, now_s: float) -> bool:
        for state in self._open:
            if state is silent:
                continue
            if state.unheard_s(now_s) < self._mute_s:
                return True
        return False

    def _break_off(
        self, state: UpstreamState, cuts: list[Cut], silent_s: float
    ) -> None:
        UPSTREAMS_SILENT.inc()
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
