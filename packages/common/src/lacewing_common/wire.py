"""Define the messages between routers and agents.

A router keeps one stream open to an agent and sends ``RouterFrame``s; the
agent responds with ``AgentFrame``s. Many attempts share the stream. The
messages are frozen msgspec structs that are distinguished by a tag on the
wire.
"""

from typing import TypeAlias

import msgspec

from lacewing_common.identity import Place
from lacewing_common.identity import ProcessName
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal
from lacewing_common.verdict import Verdict
from lacewing_common.wire_limits import TeamAllotment
from lacewing_common.wire_limits import TeamDemand

# Maximum number of bytes of an answer that an agent sends beyond the last Ack.
# Without a limit, a caller that reads slowly would fill the router's memory.
ANSWER_WINDOW_BYTES = 256 * 1024


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Serve as the base class of all wire messages."""


class AttemptId(msgspec.Struct, frozen=True, array_like=True):
    """Identify one attempt to run a request on one agent.

    ``router`` is the router's name with its incarnation; ``sequence``
    increases by one with each attempt of that incarnation;
    ``agent_incarnation`` is the incarnation of the agent to which the
    attempt is addressed.
    """

    router: str
    sequence: int
    agent_incarnation: int

    def __str__(self) -> str:
        return f'{self.router}-{self.sequence}-{self.agent_incarnation:x}'


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Report a worker's load as its agent sees it.

    ``queued`` and ``running`` count requests; ``backlog_ms`` is the expected
    time in milliseconds until a new request starts; ``age_ms`` is the age of
    the engine's figures when the report was created. ``slots`` is the
    maximum number of concurrent requests (0: unknown), ``turn_ms`` the
    expected milliseconds between two slots becoming free.
    """

    queued: int = 0
    running: int = 0
    backlog_ms: float = 0.0
    age_ms: float = 0.0
    slots: int = 0
    turn_ms: float = 0.0


class CacheReport(msgspec.Struct, frozen=True, array_like=True):
    """Report what an engine actually reused for one request.

    ``epoch`` identifies the engine's run, ``hit_blocks`` is the number of
    reused blocks out of ``prompt_blocks``; ``width`` is the number of
    workers over which the agent asks routers to spread the outermost level
    (1: keep it here). The first ``kept_blocks`` blocks are in the KV cache
    store, from which an import takes ``import_ms`` milliseconds per block.
    """

    epoch: str = ''
    hit_blocks: int = 0
    prompt_blocks: int = 0
    width: int = 1
    kept_blocks: int = 0
    import_ms: float = 0.0


class Hello(Message, frozen=True, tag='hello'):
    """Open a link from a router.

    ``knowledge_bytes_s`` is the rate of ``Knowledge`` messages, in bytes per
    second, that the router accepts on this link; 0: none.
    """

    name: ProcessName
    place: Place
    bundle_number: int
    knowledge_bytes_s: float = 0.0


class Start(Message, frozen=True, tag='start'):
    """Ask an agent to run a request on its worker.

    A router sends the Start of an attempt only once and sends an Ask if the
    outcome is uncertain. An agent relies on this when it reports "not run"
    for a Start that is addressed to its earlier incarnation.

    ``budget_ms``: milliseconds left until the first token is due.
    ``blocks``: the prompt's block hashes, 8 bytes each, concatenated.
    ``levels``: block counts at which the nested levels end.
    ``oldest_open``: the lowest sequence of the router for which it may still
    send an Ask.
    ``width``: the number of workers over which the router spreads the
    prompt's outermost level. ``use_kept``: import available blocks from the
    KV cache store, save blocks there that recur, and wait for a prefix that
    another request is computing.
    """

    attempt: AttemptId
    request_id: str
    team: str
    service: str
    method: str
    path: str
    content_type: str
    body: bytes
    model: str = ''
    adapter: str = ''
    weights: str = ''
    salt: bytes = b''
    epoch: str = ''
    stream: bool = False
    idempotent: bool = True
    idempotency_key: str = ''
    priority: int = 0
    budget_ms: float = 0.0
    blocks: bytes = b''
    levels: tuple[int, ...] = ()
    bundle_number: int = 0
    oldest_open: int = 0
    traceparent: str = ''
    width: int = 1
    use_kept: bool = False


class Ask(Message, frozen=True, tag='ask'):
    """Query the state of an attempt; resume its answer from ``offset``.

    An agent that never received the attempt closes its id permanently before
    it replies, so that a late ``Start`` can't run it. An agent that runs or
    ran it replies Accepted, then Head, Data from ``offset`` and End, as far
    as available; this also applies to an Ask on a link that never broke.
    """

    attempt: AttemptId
    offset: int


class Cancel(Message, frozen=True, tag='cancel'):
    """Stop an attempt whose caller has disconnected; there is no reply.

    An unknown attempt is closed permanently. A call that is not idempotent
    and has reached the worker continues, and its outcome is stored.
    """

    attempt: AttemptId


class Ack(Message, frozen=True, tag='ack'):
    """Acknowledge the answer's bytes up to ``offset`` for flow control.

    The last Ack, at the length given in End, allows the agent to discard the
    answer.
    """

    attempt: AttemptId
    offset: int


class Welcome(Message, frozen=True, tag='welcome'):
    """Respond to a Hello with the state of the agent and its worker.

    ``models``: loaded models as ``model:weights`` and loaded adapters as
    ``model:weights:adapter@version``.
    """

    name: ProcessName
    place: Place
    service: str
    epoch: str
    models: tuple[str, ...]
    load: LoadReport
    leaving: bool
    bundle_number: int


class Accepted(Message, frozen=True, tag='accepted'):
    """Confirm that an attempt is recorded and will run."""

    attempt: AttemptId


class Refused(Message, frozen=True, tag='refused'):
    """End an attempt that was refused or failed, with a verdict."""

    attempt: AttemptId
    verdict: Verdict
    reason: Reason
    text: str
    retry_after_s: float | None
    load: LoadReport
    epoch: str = ''

    @property
    def refusal(self) -> Refusal:
        """Return the refusal contained in this message."""
        return Refusal(
            self.verdict, self.reason, self.text, self.retry_after_s
        )


class Head(Message, frozen=True, tag='head'):
    """Start the answer with the worker's HTTP status and content type.

    ``replayed``: the answer was stored by an earlier attempt of the call.
    """

    attempt: AttemptId
    status: int
    content_type: str
    replayed: bool = False


class Data(Message, frozen=True, tag='data'):
    """Transfer answer bytes; ``offset``: number of preceding bytes.

    The payload of a stream ends at the end of a server-sent event.
    """

    attempt: AttemptId
    offset: int
    payload: bytes


class End(Message, frozen=True, tag='end'):
    """End a complete answer of ``length`` bytes."""

    attempt: AttemptId
    length: int
    prompt_tokens: int
    output_tokens: int
    cache: CacheReport
    load: LoadReport


class WorkerChanged(Message, frozen=True, tag='worker'):
    """Report a worker's new epoch, models or leaving state to routers.

    An empty ``epoch``, here or in Welcome, means that the worker does not
    respond to its agent.
    """

    epoch: str
    models: tuple[str, ...]
    load: LoadReport
    leaving: bool


class Knowledge(Message, frozen=True, tag='knowledge'):
    """Push load and cache updates to a router, within its rate limit.

    ``stored`` and ``evicted`` are concatenated hashes, 8 bytes each, of the
    last blocks of levels that several requests shared.
    """

    load: LoadReport
    epoch: str
    stored: bytes = b''
    evicted: bytes = b''


class Demands(Message, frozen=True, tag='demands'):
    """Report teams' demand to the agent that divides their limits."""

    teams: tuple[TeamDemand, ...]


class Allotments(Message, frozen=True, tag='allotments'):
    """Return this router's part of limits; ``routers`` counts all."""

    teams: tuple[TeamAllotment, ...]
    routers: int


RouterFrame: TypeAlias = Hello | Start | Ask | Cancel | Ack | Demands
AgentFrame: TypeAlias = (
    Welcome
    | Accepted
    | Refused
    | Head
    | Data
    | End
    | WorkerChanged
    | Knowledge
    | Allotments
)


class Batch(Message, frozen=True, tag='batch'):
    """Combine the frames that are queued for one link, in order.

    Each step of an engine produces a token for all of its streams at the
    same time; a single message avoids most of the cost per message.
    """

    frames: tuple[AgentFrame, ...]


AgentMessage: TypeAlias = AgentFrame | Batch

LINK_METHOD = '/lacewing.Peer/Link'
