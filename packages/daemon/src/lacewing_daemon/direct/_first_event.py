"""Record samples of the prefill speed from first events."""

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
    """Record the time to a first event as a sample of the prefill speed.

    A sample is taken only if no request is known to have been queued ahead
    and if the prompt's own part was not sent to the engine before, as it may
    be cached there.
    """
    estimates.record_expected_prefill(target.prefill_ms, now_s)
    if not target.is_first or target.wait_ms > target.lateness_ms:
        return
    shared = sum(part.tokens for part in prompt.shared)
    estimates.record_prefill(
        PrefillSample(now_s, prompt.tokens - shared, shared, took_ms)
    )
