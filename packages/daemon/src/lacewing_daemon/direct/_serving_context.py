"""Hold the objects that all requests of a router share."""

from dataclasses import dataclass
from random import Random

from lacewing_daemon.direct._answer_times import AnswerTimes
from lacewing_daemon.direct._fleet import Fleet
from lacewing_daemon.direct._placing import Placer
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct._request_log import RequestLog
from lacewing_daemon.direct._site import Wire
from lacewing_daemon.direct._stop_window import StopWindow


@dataclass(frozen=True)
class ServingContext:
    """Hold the objects that all requests of a router share."""

    fleet: Fleet
    wire: Wire
    placer: Placer
    policy: LoadPolicy
    random: Random
    log: RequestLog
    answer_times: AnswerTimes
    stop_window: StopWindow
