"""Describe one send in the log line of its request."""

from enum import Enum

from lacewing_common.log_lines import Try
from lacewing_common.verdict import Verdict

from lacewing_daemon.direct._attempt import AttemptEnd
from lacewing_daemon.direct._target import Target
from lacewing_daemon.direct._upstream_state import UpstreamState


class GivenUp(Enum):
    """Name why a router ended a send; the value is logged.

    SILENT: the upstream sent nothing on any stream. STALLED: the stream had
    no event for too long. RESUMED: the earlier run of the stream went on.
    UNCONFIRMED: the stream must go on at one software version, and it was not
    certain that the upstream still has it.
    """

    NO = ''
    SILENT = 'upstream_silent'
    STALLED = 'stalled'
    RESUMED = 'earlier_run_resumed'
    UNCONFIRMED = 'start_unconfirmed'


def describe_try(
    target: Target,
    end: AttemptEnd,
    at_ms: int,
    connect_ms: int,
    took_ms: int,
    first_ms: int,
    other_requests: int,
    given_up: GivenUp,
    is_unconfirmed: bool,
) -> Try:
    """Return the log entry of a send.

    ``at_ms``: when it began, since the request was received.
    ``connect_ms``: time until the request was sent, 0 if it was not.
    ``first_ms``: time to the first event, -1 if there was none.
    ``other_requests``: those of other routers at the upstream.
    ``is_unconfirmed``: the start that it reached is not known for certain.
    """
    is_superseded = target.superseded_ms > 0
    upstream = target.state.upstream
    return Try(
        upstream=upstream.upstream_id,
        verdict=end.verdict.value,
        reason='' if end.verdict is Verdict.RAN else end.reason.value,
        ms=took_ms,
        status=0 if end.head is None else end.head.status,
        expected_ms=int(target.first_event_ms),
        waits_ms=int(target.wait_ms),
        others=other_requests,
        weights=target.weights or 0,
        named=target.released_version if is_superseded else 0,
        old_ms=int(target.superseded_ms),
        first_ms=first_ms,
        tokens_per_ms=round(target.tokens_per_ms, 1),
        went_on=target.is_continuation,
        copy=_id_of(target.copy_to),
        ended='' if end.body_end is None else end.body_end.value,
        partial_bytes=end.partial_bytes,
        software=upstream.software_name,
        given_up=given_up.value,
        unsigned=end.is_unsigned,
        earlier=end.connection_use.earlier_requests,
        skipped=end.connection_use.skipped_answers,
        unconfirmed=is_unconfirmed,
        at_ms=at_ms,
        connect_ms=connect_ms,
    )


def _id_of(state: UpstreamState | None) -> str:
    return '' if state is None else state.upstream.upstream_id
