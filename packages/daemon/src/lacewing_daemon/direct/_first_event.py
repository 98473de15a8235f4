"""Learn from the events of one request how fast its engine works."""

from lacewing_daemon.direct._call import Prompt
from lacewing_daemon.direct._estimates import Estimates
from lacewing_daemon.direct._estimates import PrefillSample
from lacewing_daemon.direct._target import Target


def record_first_event(
    estimates: Estimates,
    target: Target,
    prompt: Prompt,
    took_ms: float,
    now_s: float,
) -> None:
    """Learn from the time to a first event.

    Only if nothing is known to have waited before it, and if the engine was
    not sent the prompt's own part before, which it may have kept.
    """
    estimates.record_expected_prefill(target.prefill_ms, now_s)
    if not target.is_first or target.wait_ms > target.lateness_ms:
        return
    shared = sum(part.tokens for part in prompt.shared)
    estimates.record_prefill(
        PrefillSample(now_s, prompt.tokens - shared, shared, took_ms)
    )
