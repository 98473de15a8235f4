"""Build the HTTP requests to the worker from what a router asks."""

from lacewing_common.wire import Start

from lacewing_daemon.agent._admission import AdmissionRequest
from lacewing_daemon.agent._worker import WorkerRequest

_HASH_BYTES = 8
_GET = 'GET'


def admission_request(start: Start) -> AdmissionRequest:
    """Describe a request to the admission."""
    blocks = len(start.blocks) // _HASH_BYTES
    return AdmissionRequest(
        start.team, start.priority, blocks + 1.0, start.budget_ms / 1000
    )


def _headers(start: Start, from_engine: bool) -> tuple[tuple[str, str], ...]:
    headers = [
        ('X-Request-Id', str(start.attempt)),
        ('X-Priority', str(start.priority)),
    ]
    if start.content_type:
        headers.append(('Content-Type', start.content_type))
    if start.traceparent:
        headers.append(('traceparent', start.traceparent))
    if start.idempotency_key and not from_engine:
        headers.append(('Idempotency-Key', start.idempotency_key))
    if from_engine:
        headers.append(('X-Cache-Salt', start.salt.hex()))
        headers.append(('X-Weights-Version', start.weights))
    return tuple(headers)


def resume_request(start: Start, last: int) -> WorkerRequest:
    """Ask an engine for an answer's rest, after event ``last``."""
    request_id = str(start.attempt)
    headers = (('X-Request-Id', request_id),)
    if not start.stream:
        return WorkerRequest('GET', f'/requests/{request_id}/answer', headers)
    return WorkerRequest(
        'GET',
        f'/requests/{request_id}/stream',
        (*headers, ('Last-Event-ID', str(last))),
    )


def first_request(
    start: Start, from_engine: bool, answer_s: float
) -> WorkerRequest:
    """Pass a router's request on; ``answer_s`` bounds its silence."""
    body: bytes | None = start.body
    if not start.body and start.method == _GET:
        body = None
    return WorkerRequest(
        start.method,
        start.path,
        _headers(start, from_engine),
        body,
        answer_s,
    )
