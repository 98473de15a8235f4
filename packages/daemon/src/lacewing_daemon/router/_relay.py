"""Carry one attempt's answer to the caller."""

from lacewing_common.verdict import may_have_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal
from lacewing_common.wire import End
from lacewing_common.wire import Head

from lacewing_daemon.router._attempt import Attempt
from lacewing_daemon.router._continuation import Joiner
from lacewing_daemon.router._reply import EVENT_STREAM_TYPE
from lacewing_daemon.router._reply import Reply
from lacewing_daemon.router._transcript import Transcript

# A whole answer up to this size is held until it is complete: it then goes
# out with its length, or the request can still run elsewhere. A longer one
# goes out as it comes.
WHOLE_LIMIT_BYTES = 256 * 1024
_OK = 200


async def relay_whole(attempt: Attempt, reply: Reply) -> End | Refusal:
    """Send an answer in one piece, a long one as it comes."""
    head = await attempt.receive()
    if isinstance(head, Refusal):
        return head
    if not isinstance(head, Head):
        return _without_head()
    return await _relay_rest(attempt, reply, head)


async def relay_stream(
    attempt: Attempt,
    reply: Reply,
    transcript: Transcript,
    joiner: Joiner | None,
) -> End | Refusal:
    """Send a streamed answer as it comes.

    ``joiner`` turns the events of a continuation into those of the stream
    that the caller already reads; None for the first worker's.
    """
    head = await attempt.receive()
    if isinstance(head, Refusal):
        return head
    if not isinstance(head, Head):
        return _without_head()
    if not _is_stream(head):
        if reply.started:
            return may_have_run(
                Reason.STREAM_BROKEN,
                f'the worker answered {head.status} in place of a stream',
            )
        return await _relay_rest(attempt, reply, head)
    while True:
        progress = await attempt.receive()
        if isinstance(progress, bytes):
            if joiner is not None:
                joined = joiner.join(progress)
                if joined is None:
                    return may_have_run(
                        Reason.STREAM_BROKEN,
                        'the worker continued with unknown events',
                    )
                progress = joined
            if not reply.started:
                await reply.start(head.status, head.content_type)
            transcript.add(progress)
            await reply.write(progress)
            attempt.confirm()
            continue
        if isinstance(progress, End):
            if not reply.started:
                await reply.start(head.status, head.content_type)
            await reply.end()
            return progress
        if isinstance(progress, Refusal):
            return progress


async def _relay_rest(
    attempt: Attempt, reply: Reply, head: Head
) -> End | Refusal:
    if head.replayed:
        reply.mark_replayed()
    pieces: list[bytes] = []
    size = 0
    while True:
        progress = await attempt.receive()
        if isinstance(progress, Refusal):
            return progress
        if isinstance(progress, End):
            break
        if not isinstance(progress, bytes):
            continue
        if reply.started:
            await reply.write(progress)
            attempt.confirm()
            continue
        pieces.append(progress)
        size += len(progress)
        attempt.confirm()
        if size > WHOLE_LIMIT_BYTES:
            await reply.start(head.status, head.content_type)
            await reply.write(b''.join(pieces))
            pieces.clear()
    if reply.started:
        await reply.end()
        return progress
    await reply.whole(head.status, head.content_type, b''.join(pieces))
    return progress


def _is_stream(head: Head) -> bool:
    kind = head.content_type.partition(';')[0].strip()
    return head.status == _OK and kind == EVENT_STREAM_TYPE


def _without_head() -> Refusal:
    return may_have_run(
        Reason.ANSWER_MISMATCHED, 'the answer came without a head'
    )
