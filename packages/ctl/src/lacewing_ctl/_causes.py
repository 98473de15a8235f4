"""Describe the most likely cause of a request's outcome."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence

from lacewing_common.log_lines import Try
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Verdict

from lacewing_ctl._timeline import COLLECTION_LOST
from lacewing_ctl._timeline import DRAINING
from lacewing_ctl._timeline import RequestTimeline
from lacewing_ctl._timeline import SEND_ENDED

# From this many failures at one upstream at about the same time, a crash is
# more likely than single broken answers.
MIN_CRASH_FAILURES = 3
# The kind of a skipped answer that names an earlier request of its connection.
ANSWER_TO_EARLIER = 'earlier'
# How a send ended at an answer that may be its own but does not name it.
ENDED_UNASSIGNED = 'unassigned'
_SUCCESS = range(200, 300)


def describe_cause(timeline: RequestTimeline) -> str:
    """Return some sentences on the cause of the outcome."""
    sentences = [_describe_outcome(timeline)]
    for each in timeline.line.tries:
        if each.unsigned:
            sentences.append(
                f'{each.upstream} answered {each.status} without a signature.'
            )
        if each.skipped:
            sentences.append(_skipped_answers(timeline, each))
        if each.ended == ENDED_UNASSIGNED:
            sentences.append(_unassigned_answer(timeline, each))
    sentences.extend(_overlapping_sends(timeline.line.tries))
    return ' '.join(sentences)


def _describe_outcome(timeline: RequestTimeline) -> str:
    line = timeline.line
    if not line.reason:
        if line.status in _SUCCESS:
            return 'The upstream answered; the router adds nothing to it.'
        return (
            f'The upstream itself answered {line.status};'
            ' the router passed that on.'
        )
    describe = _DESCRIBE_BY_REASON.get(line.reason)
    if describe is None:
        text = f'{line.message or line.reason}.'
    else:
        text = describe(timeline)
    if line.no_send:
        return f'{text} No further send was made: {line.no_send}.'
    return text


def _skipped_answers(timeline: RequestTimeline, send: Try) -> str:
    text = (
        f'On this connection {send.upstream} first sent {send.skipped}'
        ' answers to other requests:'
    )
    earlier = []
    for line in timeline.skipped:
        if line.upstream == send.upstream and line.kind == ANSWER_TO_EARLIER:
            earlier.append(f'{line.answered} ({line.status})')
    if not earlier:
        return f'{text} it answers late, twice or the wrong request.'
    return f'{text} it answers twice, here {", ".join(earlier)}.'


def _unassigned_answer(timeline: RequestTimeline, send: Try) -> str:
    named = 'does not name it'
    for line in timeline.skipped:
        if line.upstream != send.upstream or line.event != SEND_ENDED:
            continue
        named = f'names {line.answered or "no request"} ({line.status})'
    return (
        f'{send.upstream} sent an answer that may be the one to this request'
        f' but {named}; nothing after it counts.'
    )


def _overlapping_sends(tries: Sequence[Try]) -> list[str]:
    """Return a sentence for each two upstreams that had a stream at once."""
    sentences = []
    runs = [each for each in tries if each.verdict != Verdict.NOT_RUN.value]
    runs.sort(key=_sent_ms)
    for number, before in enumerate(runs):
        for after in runs[number + 1 :]:
            ends_ms = min(_end_ms(before), _end_ms(after))
            both_ms = ends_ms - _sent_ms(after)
            if both_ms <= 0:
                continue
            sentences.append(
                f'{before.upstream} and {after.upstream} had the request at'
                f' once for {both_ms} ms.'
            )
    return sentences


def _sent_ms(send: Try) -> int:
    return send.at_ms + send.connect_ms


def _end_ms(send: Try) -> int:
    return send.at_ms + send.ms


def _stale_configuration(timeline: RequestTimeline) -> str:
    text = (
        'The configuration was last confirmed'
        f' {timeline.line.config_age_ms} ms before, too long to trust keys.'
    )
    for line in timeline.process:
        if line.event == COLLECTION_LOST:
            return f'{text} The process had lost the store ({line.fault}).'
    return f'{text} A call to the store may still wait for its answer.'


def _no_capacity(timeline: RequestTimeline) -> str:
    line = timeline.line
    if line.upstreams == 0:
        return 'No upstream of the service was known.'
    if not line.tries:
        text = (
            f'None of {line.upstreams} upstreams was expected to answer in'
            ' time, so it was refused at once.'
        )
        # What upstreams have said about themselves follows a semicolon.
        _, _, stated = line.message.partition('; ')
        return f'{text} Of them {stated}.' if stated else text
    return f'{line.message}, after {len(line.tries)} sends.'


def _refused(timeline: RequestTimeline) -> str:
    for each in timeline.line.tries:
        for order in timeline.orders:
            if order.upstream == each.upstream:
                return (
                    f'{each.upstream} was loading weights {order.version},'
                    f' ordered by {order.process}; it refuses what it has'
                    ' not begun.'
                )
    return 'The upstreams that were tried were full.'


def _blocked(timeline: RequestTimeline) -> str:
    crashed = []
    for line in timeline.crashes:
        if line.upstream not in crashed:
            crashed.append(line.upstream)
    named = [
        part for part in timeline.line.parts if part in timeline.line.message
    ]
    common = 'the same request'
    if named:
        common = f'prompts with {" and ".join(named)}'
    if not crashed:
        return (
            f'Other routers told that upstreams had crashed under {common};'
            ' none of that stands in these logs.'
        )
    return (
        f'{len(crashed)} upstreams had crashed under {common}, so it'
        f' was blocked: {", ".join(crashed)}.'
    )


def _connection_broken(timeline: RequestTimeline) -> str:
    last = _last_try(timeline)
    for line in timeline.crashes:
        if line.upstream == last.upstream:
            return (
                f'{last.upstream} crashed and broke off {len(line.runs)} runs'
                f' of {line.process}.'
            )
    count = _count_failures(timeline, last.upstream)
    if count >= MIN_CRASH_FAILURES:
        return (
            f'{last.upstream} broke off {count} other requests at about the'
            ' same time: it crashed or was cut off.'
        )
    return (
        f'{last.upstream} broke off this one answer; {count} others failed'
        ' there at about the same time.'
    )


def _unreachable(timeline: RequestTimeline) -> str:
    return f'No connection to {_last_try(timeline).upstream} could be opened.'


def _deadline_exceeded(timeline: RequestTimeline) -> str:
    last = _last_try(timeline)
    if last.first_ms >= 0:
        return (
            f'{last.upstream} had begun to answer after {last.first_ms} ms'
            ' and did not end in time.'
        )
    return (
        f'{last.upstream} answered nothing in {last.ms} ms, where'
        f' {last.expected_ms} ms were expected.'
    )


def _caller_gone(timeline: RequestTimeline) -> str:
    line = timeline.line
    if not line.tries:
        return 'The caller left before the request was sent.'
    last = _last_try(timeline)
    if last.first_ms >= 0:
        return (
            f'The caller left {line.ms} ms after it asked, while its answer'
            f' came (first event after {last.first_ms} ms): its own side.'
        )
    return f'The caller gave up. {_deadline_exceeded(timeline)}'


def _draining(timeline: RequestTimeline) -> str:
    text = f'{timeline.line.message}, {timeline.line.ms} ms after it was asked'
    for line in timeline.process:
        if line.event == DRAINING:
            at = line.timestamp.strftime('%H:%M:%S')
            return f'{line.process} was stopped at {at}; {text}.'
    return f'{timeline.line.process} ended; {text}.'


def _unknown_key(timeline: RequestTimeline) -> str:
    return f'Configuration {timeline.line.config} holds no such key.'


def _unknown_path(timeline: RequestTimeline) -> str:
    return f'Configuration {timeline.line.config} holds no such route.'


def _over_limit(timeline: RequestTimeline) -> str:
    line = timeline.line
    return (
        f'Team {line.team} was {line.message}, under configuration'
        f' {line.config}. It was not sent.'
    )


def _stream_unknown(timeline: RequestTimeline) -> str:
    line = timeline.line
    stream = line.resumes or 'a stream'
    return (
        f'It takes up {stream}, whose software version {line.process} could'
        f' not learn: {line.message}. It was not sent.'
    )


def _last_try(timeline: RequestTimeline) -> Try:
    if timeline.line.tries:
        return timeline.line.tries[-1]
    return Try(upstream='no upstream', verdict='', reason='', ms=0)


def _count_failures(timeline: RequestTimeline, upstream: str) -> int:
    count = 0
    for line in timeline.related_lines:
        for each in line.tries:
            if each.upstream == upstream and each.reason:
                count += 1
                break
    return count


_DESCRIBE_BY_REASON: Mapping[str, Callable[[RequestTimeline], str]] = {
    Reason.PLATFORM_UNAVAILABLE.value: _stale_configuration,
    Reason.NO_WORKER.value: _no_capacity,
    Reason.QUEUE_FULL.value: _refused,
    Reason.STALE_WEIGHTS.value: _refused,
    Reason.WORKERS_CRASHED.value: _blocked,
    Reason.WORKER_FAILED.value: _connection_broken,
    Reason.STREAM_BROKEN.value: _connection_broken,
    Reason.STREAM_UNKNOWN.value: _stream_unknown,
    Reason.WORKER_UNREACHABLE.value: _unreachable,
    Reason.DEADLINE.value: _deadline_exceeded,
    Reason.CALLER_GONE.value: _caller_gone,
    Reason.DRAINING.value: _draining,
    Reason.BAD_KEY.value: _unknown_key,
    Reason.UNKNOWN_PATH.value: _unknown_path,
    Reason.TEAM_LIMIT.value: _over_limit,
}
