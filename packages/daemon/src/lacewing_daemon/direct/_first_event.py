"""Record samples of the speed of engines from first events."""

from lacewing_daemon.direct._call import Prompt
from lacewing_daemon.direct._estimates import Estimates
from lacewing_daemon.direct._estimates import PrefillSample
from lacewing_daemon.direct._target import Target
from lacewing_daemon.direct.engines import EngineModels
from lacewing_daemon.direct.engines import FirstEvent


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
    usual_ms = target.prefill_ms / target.speed_factor
    estimates.record_expected_prefill(usual_ms, now_s)
    if not target.is_first or target.wait_ms > target.lateness_ms:
        return
    shared = sum(part.tokens for part in prompt.shared)
    estimates.record_prefill(
        PrefillSample(now_s, prompt.tokens - shared, shared, took_ms)
    )


def record_engine_event(
    models: EngineModels,
    target: Target,
    prompt: Prompt,
    took_ms: float,
    slowdown: float | None,
    now_s: float,
) -> None:
    """Record the time to a first event as a sample of its engine's speed.

    Excluded are prompts whose own part was sent to the engine before, as it
    may be cached there, and those that waited for a load of weights.
    ``slowdown`` is what the engine reported; ``now_s`` is monotonic.
    """
    expected_ms = target.wait_ms + target.prefill_ms + target.fixed_ms
    if not target.is_first or target.first_event_ms > expected_ms + 1.0:
        return
    prefill_tokens = target.prefill_ms * target.tokens_per_ms
    own_tokens = prompt.tokens - sum(part.tokens for part in prompt.shared)
    models.record_first_event(
        target.state.upstream.upstream_id,
        FirstEvent(
            prefill_tokens,
            target.wait_ms / target.speed_factor,
            took_ms,
            slowdown,
            max(0.0, prefill_tokens - own_tokens),
        ),
        now_s,
    )
