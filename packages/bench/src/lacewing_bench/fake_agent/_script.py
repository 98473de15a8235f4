"""Say how a fake agent treats a request."""

from dataclasses import dataclass

from lacewing_common.verdict import Reason
from lacewing_common.verdict import Verdict

from lacewing_bench.fake_agent._chat import ChatPart


@dataclass(frozen=True)
class Script:
    """Say how a fake agent treats one Start.

    ``refuse`` ends it at once with ``verdict``. The counts name the number
    of ``chunks`` after which a fault comes: the link is cut, the agent goes
    away for good, a frame of another attempt or a repeated payload is sent,
    nothing more comes until the test lets it go on, the stream fails, or
    the agent leaves a chunk out until it is asked.
    ``chat`` replaces the chunks by a chat's, or the rest of it when the
    prompt ends with its first words. An agent that freezes answers nothing
    any more, on old links and new ones.
    """

    chunks: tuple[bytes, ...] = (b'{"ok": true}',)
    content_type: str = 'application/json'
    status: int = 200
    refuse: Reason | None = None
    verdict: Verdict = Verdict.NOT_RUN
    cut_link_after: int | None = None
    vanish_after: int | None = None
    restart_on_accept: bool = False
    freeze_on_accept: bool = False
    obey_window: bool = False
    chat: ChatPart | None = None
    cross_after: int | None = None
    repeat_after: int | None = None
    hold_after: int | None = None
    fail_after: int | None = None
    skip_after: int | None = None
