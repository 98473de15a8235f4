"""Read and write traces: one JSON object a line, one line a request."""

from collections.abc import Mapping
from collections.abc import Sequence
from pathlib import Path

import msgspec

from lacewing_bench.answers import BadRequest
from lacewing_bench.load._judge import expected_text
from lacewing_bench.load._request import TimedRequest

_EXAMPLE = (
    '{"at_s": 0.25, "team": "t1", "service": "tutor",'
    ' "path": "/v1/chat/completions", "body": {...},'
    ' "idempotency_key": null}'
)


class TraceError(ValueError):
    """Name the wrong line, what was expected and what came."""


def read_trace(path: Path, weights: str) -> tuple[TimedRequest, ...]:
    """Read a trace, in the order of its times; raise TraceError."""
    try:
        lines = path.read_bytes().splitlines()
    except OSError as error:
        raise TraceError(f'trace {path}: {error}') from error
    requests: list[TimedRequest] = []
    for number, line in enumerate(lines, start=1):
        if not line.strip():
            continue
        requests.append(_read_line(path, number, line, weights))
    if not requests:
        raise TraceError(f'trace {path}: expected lines like {_EXAMPLE}')
    return tuple(sorted(requests, key=lambda request: request.at_s))


def read_keys(path: Path) -> dict[str, str]:
    """Read the keys, a JSON object of team to key; raise TraceError."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=dict[str, str])
    except (OSError, msgspec.DecodeError) as error:
        raise TraceError(
            f'keys {path}: expected {{"team": "key", ...}}; {error}'
        ) from error


def check_teams(
    requests: Sequence[TimedRequest], keys: Mapping[str, str]
) -> None:
    """Raise TraceError when a team has no key."""
    for request in requests:
        if request.team not in keys:
            known = ', '.join(sorted(keys))
            raise TraceError(
                f'keys: expected one for the team {request.team!r} of the'
                f' trace, got those of {known}'
            )


def write_trace(requests: Sequence[TimedRequest], path: Path) -> None:
    """Write a trace."""
    encoder = msgspec.json.Encoder()
    path.write_bytes(encoder.encode_lines(requests))


def _read_line(
    path: Path, number: int, line: bytes, weights: str
) -> TimedRequest:
    try:
        request = msgspec.json.decode(line, type=TimedRequest)
        if request.at_s < 0:
            raise BadRequest(f'expected at_s of 0 or more, got {request.at_s}')
        # What can't be asked of a stand-in can't be checked either.
        expected_text(request, weights)
    except (msgspec.DecodeError, BadRequest) as error:
        raise TraceError(
            f'trace {path}, line {number}: {error}; expected an object like'
            f' {_EXAMPLE}'
        ) from error
    return request
