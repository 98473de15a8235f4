"""Run one request on one agent and read its answer in order."""

import asyncio
import time
from typing import Protocol
from typing import TypeAlias

from lacewing_common.verdict import may_have_run
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal
from lacewing_common.wire import Accepted
from lacewing_common.wire import Ack
from lacewing_common.wire import Ask
from lacewing_common.wire import AttemptId
from lacewing_common.wire import Data
from lacewing_common.wire import End
from lacewing_common.wire import Head
from lacewing_common.wire import Refused
from lacewing_common.wire import RouterFrame

from lacewing_daemon.router._answer_order import AnswerOrder
from lacewing_daemon.router._mailbox import AnswerFrame
from lacewing_daemon.router._mailbox import Interrupt
from lacewing_daemon.router._mailbox import Item
from lacewing_daemon.router._mailbox import Mailbox
from lacewing_daemon.router._metrics import DROPPED_FRAMES
from lacewing_daemon.router._metrics import REATTACHED
from lacewing_daemon.router._reattach import ReattachBounds

_MS_PER_S = 1000.0

Progress: TypeAlias = Head | bytes | End | Refusal


class AttemptLink(Protocol):
    """Carry an attempt's frames to its agent."""

    @property
    def up(self) -> bool:
        """Tell whether frames can be sent."""

    @property
    def incarnation(self) -> int:
        """Return the agent's last known run."""

    def send(self, frame: RouterFrame) -> None:
        """Queue a frame; it is lost when the link is down."""

    def prefilled(self, attempt: 'Attempt') -> None:
        """Note that an attempt's prompt has been computed."""


class Attempt:
    """Read the answer of one attempt, which ``budget_s`` seconds bound."""

    def __init__(
        self,
        attempt_id: AttemptId,
        link: AttemptLink,
        blocks: int,
        budget_s: float,
        reattach: ReattachBounds,
    ) -> None:
        self._id = attempt_id
        self._link = link
        self._blocks = blocks
        self._reattach = reattach
        self._mailbox = Mailbox()
        self._loop = asyncio.get_running_loop()
        self._expiry = self._loop.call_later(
            budget_s, self._mailbox.put_first, Interrupt.EXPIRED
        )
        self._reattach_expiry: asyncio.TimerHandle | None = None
        self._started_at_s = time.monotonic()
        self._sent = False
        self._accepted = False
        self._ended = False
        self._has_head = False
        self._order = AnswerOrder()

    @property
    def id(self) -> AttemptId:
        """Return the id that its frames carry."""
        return self._id

    @property
    def blocks(self) -> int:
        """Return the number of prompt blocks."""
        return self._blocks

    @property
    def ended(self) -> bool:
        """Tell whether the agent said that it has ended."""
        return self._ended

    @property
    def sent(self) -> bool:
        """Tell whether any byte of it may have left this router."""
        return self._sent

    @property
    def accepted(self) -> bool:
        """Tell whether the agent confirmed that it will run."""
        return self._accepted

    @property
    def received(self) -> int:
        """Return the number of answer bytes received in order."""
        return self._order.received

    @property
    def started_at_s(self) -> float:
        """Return the reading of ``time.monotonic`` at its start."""
        return self._started_at_s

    @property
    def first_byte_at_s(self) -> float | None:
        """Return ``time.monotonic`` at the first byte, None before."""
        return self._order.first_byte_at_s

    @property
    def first_byte_ms(self) -> float | None:
        """Return milliseconds from its start to the first answer byte."""
        if self.first_byte_at_s is None:
            return None
        return (self.first_byte_at_s - self._started_at_s) * _MS_PER_S

    def mark_sent(self) -> None:
        """Note that its Start is about to be written."""
        self._sent = True

    def deliver(self, frame: AnswerFrame) -> None:
        """Take a frame that the link read for this attempt."""
        self._mailbox.put(frame)

    def interrupt(self, cause: Interrupt) -> None:
        """Tell the reader of something that is not a frame."""
        if cause is Interrupt.CALLER_GONE:
            self._mailbox.put_first(cause)
            return
        self._mailbox.put(cause)

    async def receive(self) -> Progress:
        """Return what comes next: Head once, bytes in order, End or Refusal.

        No byte comes twice and none is left out. After End or a Refusal
        nothing more comes.
        """
        while True:
            item = await self._mailbox.get()
            if self._reattach_expiry is not None:
                self._check_reattached(item)
            if type(item) is Data:
                payload = self._in_order(item)
                if not payload:
                    continue
                return self._with_waiting(payload)
            progress = self._other(item)
            if progress is not None:
                return progress

    def confirm(self) -> None:
        """Tell the agent that the caller has what was received so far."""
        if self._order.take_confirmation():
            self._link.send(Ack(self._id, self._order.received))

    def close(self) -> None:
        """Stop its timers."""
        self._expiry.cancel()
        if self._reattach_expiry is not None:
            self._reattach_expiry.cancel()

    def _check_reattached(self, item: Item) -> None:
        if isinstance(item, Interrupt):
            return
        # Only an answer to the Ask shows that the attempt is back: an agent
        # may greet and then never speak of it.
        assert self._reattach_expiry is not None
        self._reattach_expiry.cancel()
        self._reattach_expiry = None

    def _with_waiting(self, payload: bytes) -> bytes:
        # One write for all that waits: under load tokens come faster than
        # the caller's socket is written.
        pieces = [payload]
        while type(self._mailbox.peek()) is Data:
            item = self._mailbox.take()
            assert isinstance(item, Data)
            pieces.append(self._in_order(item))
        if len(pieces) == 1:
            return payload
        return b''.join(pieces)

    def _in_order(self, data: Data) -> bytes:
        """Return the bytes that are new, empty for a repeated payload."""
        if not self._has_head:
            DROPPED_FRAMES.labels('data-before-head').inc()
            return b''
        is_first = self._order.first_byte_at_s is None
        payload = self._order.take(data)
        if payload is None:
            self._ask_again()
            return b''
        if is_first:
            self._link.prefilled(self)
        return payload

    def _ask_again(self) -> None:
        if self._order.take_ask():
            self._link.send(Ask(self._id, self._order.received))

    def _other(self, item: Item) -> Progress | None:
        if isinstance(item, Interrupt):
            return self._interrupted(item)
        if isinstance(item, Accepted):
            self._accepted = True
            return None
        if isinstance(item, Head):
            return self._first_head(item)
        if isinstance(item, End):
            return self._whole(item)
        if isinstance(item, Refused):
            self._ended = True
            return item.refusal
        return None

    def _first_head(self, head: Head) -> Head | None:
        self._accepted = True
        if self._has_head:
            return None
        self._has_head = True
        return head

    def _whole(self, end: End) -> End | None:
        if not self._has_head or not self._order.is_whole(end.length):
            self._ask_again()
            return None
        self._ended = True
        self._link.send(Ack(self._id, end.length))
        return end

    def _interrupted(self, cause: Interrupt) -> Refusal | None:
        if cause is Interrupt.LINK_DOWN:
            return self._link_down()
        if cause is Interrupt.LINK_UP:
            return self._link_up()
        if cause is Interrupt.REATTACH_EXPIRED:
            return self._still_unreachable()
        if cause is Interrupt.CALLER_GONE:
            return may_have_run(Reason.CALLER_GONE, 'the caller hung up')
        return self._expired()

    def _reattach_s(self) -> float:
        if self.first_byte_at_s is None:
            return self._reattach.empty_s
        return self._reattach.begun_s

    def _link_down(self) -> Refusal | None:
        if not self._sent:
            return not_run(
                Reason.AGENT_UNREACHABLE,
                'the link to the agent broke before the request was sent',
                retry_after_s=1.0,
            )
        if self._reattach_expiry is None:
            self._reattach_expiry = self._loop.call_later(
                self._reattach_s(),
                self._mailbox.put,
                Interrupt.REATTACH_EXPIRED,
            )
        return None

    def _link_up(self) -> Refusal | None:
        if self._link.incarnation != self._id.agent_incarnation:
            return may_have_run(
                Reason.AGENT_RESTARTED,
                'the agent restarted and no longer knows the request',
            )
        REATTACHED.inc()
        self._link.send(Ask(self._id, self._order.received))
        return None

    def _still_unreachable(self) -> Refusal | None:
        if self._reattach_expiry is None:
            # A frame came just before the time was over.
            return None
        return may_have_run(
            Reason.AGENT_UNREACHABLE,
            f'the agent could not be reached for {self._reattach_s():.1f} s',
        )

    def _expired(self) -> Refusal:
        text = 'the answer was not complete before the deadline'
        if not self._sent:
            return not_run(Reason.DEADLINE, text, retry_after_s=1.0)
        return may_have_run(Reason.DEADLINE, text)
