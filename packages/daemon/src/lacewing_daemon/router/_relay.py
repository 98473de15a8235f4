"""Carry one attempt's answer to the caller."""

from lacewing_common.verdict import may_have_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal
from lacewing_common.wire import End
from lacewing_common.wire import Head

from lacewing_daemon.router._attempt import Attempt
from lacewing_daemon.router._reply import Reply

# A whole answer up to this size is held until it is complete: it then goes
# out with its length, or the request can still run elsewhere. A longer one
# goes out as it comes.
WHOLE_LIMIT_BYTES = 1024 * 1024


async def relay_whole(attempt: Attempt, reply: Reply) -> End | Refusal:
    """Send an answer in one piece, a long one as it comes."""
    head: Head | None = None
    pieces: list[bytes] = []
    size = 0
    while True:
        progress = await attempt.receive()
        if isinstance(progress, bytes):
            if reply.started:
                await reply.write(progress)
                attempt.confirm()
                continue
            pieces.append(progress)
            size += len(progress)
            attempt.confirm()
            if size > WHOLE_LIMIT_BYTES and head is not None:
                await reply.start(head.status, head.content_type)
                await reply.write(b''.join(pieces))
            continue
        if isinstance(progress, Head):
            head = progress
            continue
        if isinstance(progress, Refusal):
            return progress
        if reply.started:
            await reply.end()
            return progress
        if head is None:
            return may_have_run(
                Reason.ANSWER_MISMATCHED, 'the answer came without a head'
            )
        await reply.whole(head.status, head.content_type, b''.join(pieces))
        return progress


async def relay_stream(attempt: Attempt, reply: Reply) -> End | Refusal:
    """Send a streamed answer as it comes."""
    head: Head | None = None
    while True:
        progress = await attempt.receive()
        if isinstance(progress, bytes):
            if not reply.started and head is not None:
                await reply.start(head.status, head.content_type)
            await reply.write(progress)
            attempt.confirm()
            continue
        if isinstance(progress, Head):
            head = progress
            continue
        if isinstance(progress, Refusal):
            return progress
        if not reply.started and head is not None:
            await reply.start(head.status, head.content_type)
        await reply.end()
        return progress
