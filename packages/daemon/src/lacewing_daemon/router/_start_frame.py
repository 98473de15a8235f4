"""Build the frame that starts an attempt."""

from dataclasses import dataclass

from lacewing_common.wire import AttemptId
from lacewing_common.wire import Start

from lacewing_daemon.router._call import Call


@dataclass(frozen=True)
class StartTerms:
    """Hold what differs between the attempts of one call.

    ``epoch`` is the worker's as this router knows it, ``budget_ms`` the
    milliseconds until the first token is due, ``width`` the number of
    workers over which the outermost level is spread, ``use_kept`` whether
    the agent may use the store of kept KV cache.
    """

    attempt: AttemptId
    epoch: str
    budget_ms: float
    oldest_open: int
    width: int = 1
    use_kept: bool = False


def start_frame(call: Call, terms: StartTerms) -> Start:
    """Build the Start of one attempt."""
    asked = call.asked
    model = ''
    adapter = ''
    if call.prompt is not None:
        model = call.prompt.model
        adapter = call.prompt.adapter
    return Start(
        attempt=terms.attempt,
        request_id=asked.request_id,
        team=call.team.name,
        service=call.service.name,
        method=asked.method,
        path=asked.path,
        content_type=asked.content_type,
        body=asked.body,
        model=model,
        adapter=adapter,
        weights=call.weights,
        salt=call.salt,
        epoch=terms.epoch,
        stream=call.stream,
        idempotent=call.idempotent,
        idempotency_key=asked.idempotency_key,
        priority=call.service.priority,
        budget_ms=terms.budget_ms,
        blocks=b''.join(call.chain.blocks),
        levels=call.chain.levels,
        bundle_number=call.bundle_number,
        oldest_open=terms.oldest_open,
        traceparent=asked.traceparent,
        width=terms.width,
        use_kept=terms.use_kept,
    )
