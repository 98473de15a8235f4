"""Hold the fault switches of a stand-in worker."""

import asyncio
from random import Random
from typing import Generic
from typing import TypeVar

import msgspec

T = TypeVar('T')


class Fault(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Mark a group of fault switches."""


class Crash(Fault, frozen=True):
    """Crash at once; refuse connections, then come back empty.

    With ``lose_models`` no model is loaded after the restart, else those of
    the settings.
    """

    refuse_s: float = 0.0
    lose_models: bool = False


class LoseEvents(Fault, frozen=True):
    """Lose a share (0 to 1) of the cache events."""

    share: float
    seed: int = 0


class CutStream(Fault, frozen=True):
    """Cut the next streams after some events."""

    after_tokens: int
    requests: int = 1


class LateAnswers(Fault, frozen=True):
    """Hold back the next answers."""

    delay_s: float
    requests: int = 1


class CrossedAnswers(Fault, frozen=True):
    """Swap the next answers, two concurrent requests at a time.

    The first waits ``hold_s`` at most for the second. Without ``headers``
    the header ``X-Request-Id`` stays right and only the body is crossed.
    """

    requests: int = 2
    hold_s: float = 5.0
    headers: bool = True


class Faults(Fault, frozen=True):
    """Hold all switches; the default of each is off.

    ``crash`` and ``pause_s`` act once. ``load_lag_ms`` and
    ``honour_fencing`` take the place of the worker's setting.
    """

    crash: Crash | None = None
    pause_s: float = 0.0
    lose_events: LoseEvents | None = None
    delay_events_s: float = 0.0
    cut: CutStream | None = None
    late: LateAnswers | None = None
    crossed: CrossedAnswers | None = None
    slow: float = 1.0
    load_lag_ms: float | None = None
    honour_fencing: bool | None = None


class Pause:
    """Freeze a worker for a time."""

    def __init__(self) -> None:
        self._until = 0.0

    def start(self, seconds: float) -> None:
        """Freeze from now on for some seconds."""
        self._until = asyncio.get_running_loop().time() + seconds

    async def over(self) -> None:
        """Wait while frozen."""
        loop = asyncio.get_running_loop()
        while loop.time() < self._until:
            await asyncio.sleep(self._until - loop.time())


class Crossing(Generic[T]):
    """Swap the answers of two concurrent requests."""

    def __init__(self) -> None:
        self._fault = CrossedAnswers(requests=0)
        self._left = 0
        self._waiting: asyncio.Future[T] | None = None
        self._offer: T | None = None

    @property
    def crosses_headers(self) -> bool:
        """Tell whether the header is crossed with the body."""
        return self._fault.headers

    def set_fault(self, fault: CrossedAnswers | None) -> None:
        """Swap from now on as told; None: no more."""
        self._fault = fault or CrossedAnswers(requests=0)
        self._left = self._fault.requests

    async def swap(self, mine: T) -> T:
        """Return the answer to give in place of one's own."""
        if self._left <= 0:
            return mine
        waiting, offer = self._waiting, self._offer
        if waiting is not None and offer is not None:
            self._waiting = None
            self._left -= 2
            waiting.set_result(mine)
            return offer
        return await self._wait(mine)

    async def _wait(self, mine: T) -> T:
        waiting: asyncio.Future[T]
        waiting = asyncio.get_running_loop().create_future()
        self._waiting, self._offer = waiting, mine
        done, _ = await asyncio.wait([waiting], timeout=self._fault.hold_s)
        if done:
            return waiting.result()
        if self._waiting is waiting:
            self._waiting = None
        return mine


class FaultState(Generic[T]):
    """Keep the switches in force and count down those that run out."""

    def __init__(self) -> None:
        self.now = Faults()
        self.pause = Pause()
        self.crossing: Crossing[T] = Crossing()
        self._cuts_left = 0
        self._late_left = 0
        self._random = Random(0)

    def set(self, faults: Faults) -> None:
        """Replace all switches."""
        self.now = faults
        self.crossing.set_fault(faults.crossed)
        self._cuts_left = faults.cut.requests if faults.cut else 0
        self._late_left = faults.late.requests if faults.late else 0
        if faults.lose_events:
            self._random = Random(faults.lose_events.seed)
        if faults.pause_s > 0:
            self.pause.start(faults.pause_s)

    def take_cut(self) -> int | None:
        """Return after how many events to cut the present stream."""
        if self.now.cut is None or self._cuts_left <= 0:
            return None
        self._cuts_left -= 1
        return self.now.cut.after_tokens

    def take_delay(self) -> float:
        """Return the seconds to hold back the present answer."""
        if self.now.late is None or self._late_left <= 0:
            return 0.0
        self._late_left -= 1
        return self.now.late.delay_s

    def event_delay_s(self) -> float:
        """Return the seconds by which the present cache event is late."""
        return self.now.delay_events_s

    def take_event_loss(self) -> bool:
        """Decide whether the present cache event is lost."""
        if self.now.lose_events is None:
            return False
        return self._random.random() < self.now.lose_events.share
