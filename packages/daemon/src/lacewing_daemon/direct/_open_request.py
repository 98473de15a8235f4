"""Describe the load of one open request."""

from dataclasses import dataclass


@dataclass(frozen=True, eq=False)
class OpenRequest:
    """Hold the load of one open request on an upstream.

    ``prefill_tokens``: what it prefills; ``kv_tokens``: what it adds to the
    KV memory until its end.
    """

    prefill_ms: float
    urgency: int
    sent_s: float
    prefill_tokens: float = 0.0
    kv_tokens: int = 0
