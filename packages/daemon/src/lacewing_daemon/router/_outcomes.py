"""Count and report what became of attempts."""

from dataclasses import dataclass

from lacewing_common.verdict import Refusal
from lacewing_common.verdict import Verdict
from lacewing_common.wire import CacheReport
from lacewing_common.wire import End

from lacewing_daemon.router._explain import Outcome
from lacewing_daemon.router._metrics import ATTEMPTS
from lacewing_daemon.router._metrics import FIRST_TOKEN_SECONDS
from lacewing_daemon.router._metrics import HIT_BLOCKS
from lacewing_daemon.router._metrics import PROMPT_BLOCKS

_ANSWERED = 'answered'


@dataclass(frozen=True)
class Ended:
    """Hold how one attempt ended.

    ``first_byte_ms`` runs from the attempt's start, ``first_byte_s`` from
    the request's; None when there was no byte.
    """

    result: End | Refusal
    first_byte_ms: float | None
    first_byte_s: float | None


def count(service: str, ended: Ended) -> None:
    """Add an attempt to the metrics of its service."""
    result = ended.result
    if isinstance(result, Refusal):
        ATTEMPTS.labels(service, result.reason.value).inc()
        return
    ATTEMPTS.labels(service, _ANSWERED).inc()
    HIT_BLOCKS.labels(service).inc(result.cache.hit_blocks)
    PROMPT_BLOCKS.labels(service).inc(result.cache.prompt_blocks)
    if ended.first_byte_s is not None:
        FIRST_TOKEN_SECONDS.labels(service).observe(ended.first_byte_s)


def outcome_of(ended: Ended) -> Outcome:
    """Return what came true, for the explanation of the request."""
    result = ended.result
    if isinstance(result, Refusal):
        return Outcome(
            result.reason.value,
            result.verdict.value,
            ended.first_byte_ms,
            CacheReport(),
        )
    return Outcome(
        _ANSWERED, Verdict.RAN.value, ended.first_byte_ms, result.cache
    )
