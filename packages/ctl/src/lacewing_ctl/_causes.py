"""Name the most likely cause of a request's end; pure functions."""

from collections.abc import Callable
from collections.abc import Mapping

from lacewing_common.log_lines import Try
from lacewing_common.verdict import Reason

from lacewing_ctl._timeline import DRAINING
from lacewing_ctl._timeline import LOST
from lacewing_ctl._timeline import RequestTimeline

# So many requests that fail at one upstream at about the same time are more
# than answers that it spoils one by one.
MANY = 3
_SUCCESS = range(200, 300)


def describe_cause(story: RequestTimeline) -> str:
    """Return one or two sentences on why the request ended as it did."""
    line = story.line
    if not line.reason:
        if line.status in _SUCCESS:
            return 'The upstream answered; the router adds nothing to it.'
        return (
            f'The upstream itself answered {line.status};'
            ' the router passed that on.'
        )
    explain = _BY_REASON.get(line.reason)
    if explain is None:
        return f'{line.message or line.reason}.'
    return explain(story)


def _store(story: RequestTimeline) -> str:
    text = (
        'The configuration was last confirmed'
        f' {story.line.config_age_ms} ms before, too long to trust keys.'
    )
    for line in story.process:
        if line.event == LOST:
            return f'{text} The process had lost the store ({line.fault}).'
    return f'{text} A call to the store may still wait for its answer.'


def _no_room(story: RequestTimeline) -> str:
    line = story.line
    if line.upstreams == 0:
        return 'No upstream of the service was known.'
    if not line.tries:
        return (
            f'None of {line.upstreams} upstreams was expected to answer in'
            ' time, so it was refused at once.'
        )
    return f'{line.message}, after {len(line.tries)} sends.'


def _refused(story: RequestTimeline) -> str:
    for one in story.line.tries:
        for order in story.orders:
            if order.upstream == one.upstream:
                return (
                    f'{one.upstream} was loading weights {order.version},'
                    f' ordered by {order.process}; it refuses what it has'
                    ' not begun.'
                )
    return 'The upstreams that were tried were full.'


def _blocked(story: RequestTimeline) -> str:
    crashed = []
    for line in story.crashes:
        if line.upstream not in crashed:
            crashed.append(line.upstream)
    if not crashed:
        return (
            'Other routers told that upstreams had crashed under the same'
            ' request; none of that stands in these logs.'
        )
    return (
        f'{len(crashed)} upstreams had crashed under the same request, so it'
        f' was blocked: {", ".join(crashed)}.'
    )


def _broken(story: RequestTimeline) -> str:
    last = _last(story)
    for line in story.crashes:
        if line.upstream == last.upstream:
            return (
                f'{last.upstream} crashed and broke off {len(line.runs)} runs'
                f' of {line.process}.'
            )
    count = _failures_at(story, last.upstream)
    if count >= MANY:
        return (
            f'{last.upstream} broke off {count} other requests at about the'
            ' same time: it crashed or was cut off.'
        )
    return (
        f'{last.upstream} broke off this one answer; {count} others failed'
        ' there at about the same time.'
    )


def _unreachable(story: RequestTimeline) -> str:
    return f'No connection to {_last(story).upstream} could be opened.'


def _silent(story: RequestTimeline) -> str:
    last = _last(story)
    if last.first_ms >= 0:
        return (
            f'{last.upstream} had begun to answer after {last.first_ms} ms'
            ' and did not end in time.'
        )
    return (
        f'{last.upstream} answered nothing in {last.ms} ms, where'
        f' {last.expected_ms} ms were expected.'
    )


def _gone(story: RequestTimeline) -> str:
    line = story.line
    if not line.tries:
        return 'The caller left before the request was sent.'
    last = _last(story)
    if last.first_ms >= 0:
        return (
            f'The caller left {line.ms} ms after it asked, while its answer'
            f' came (first event after {last.first_ms} ms): its own side.'
        )
    return f'The caller gave up. {_silent(story)}'


def _stopped(story: RequestTimeline) -> str:
    text = f'{story.line.message}, {story.line.ms} ms after it was asked'
    for line in story.process:
        if line.event == DRAINING:
            at = line.timestamp.strftime('%H:%M:%S')
            return f'{line.process} was stopped at {at}; {text}.'
    return f'{story.line.process} ended; {text}.'


def _key(story: RequestTimeline) -> str:
    return f'Configuration {story.line.config} holds no such key.'


def _path(story: RequestTimeline) -> str:
    return f'Configuration {story.line.config} holds no such route.'


def _last(story: RequestTimeline) -> Try:
    if story.line.tries:
        return story.line.tries[-1]
    return Try(upstream='no upstream', verdict='', reason='', ms=0)


def _failures_at(story: RequestTimeline, upstream: str) -> int:
    count = 0
    for line in story.related_lines:
        for one in line.tries:
            if one.upstream == upstream and one.reason:
                count += 1
                break
    return count


_BY_REASON: Mapping[str, Callable[[RequestTimeline], str]] = {
    Reason.PLATFORM_UNAVAILABLE.value: _store,
    Reason.NO_WORKER.value: _no_room,
    Reason.QUEUE_FULL.value: _refused,
    Reason.STALE_WEIGHTS.value: _refused,
    Reason.WORKERS_CRASHED.value: _blocked,
    Reason.WORKER_FAILED.value: _broken,
    Reason.STREAM_BROKEN.value: _broken,
    Reason.WORKER_UNREACHABLE.value: _unreachable,
    Reason.DEADLINE.value: _silent,
    Reason.CALLER_GONE.value: _gone,
    Reason.DRAINING.value: _stopped,
    Reason.BAD_KEY.value: _key,
    Reason.UNKNOWN_PATH.value: _path,
}
