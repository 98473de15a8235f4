"""Define the messages between routers and agents.

A router keeps one stream open to an agent and sends ``RouterFrame``s; the
agent answers with ``AgentFrame``s. Many attempts share the stream. The
messages are msgspec structs, the kin of frozen dataclasses that can be told
apart by a tag on the wire.
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

# An agent sends at most so many bytes of an answer beyond the last Ack.
# Without a bound a caller that reads slowly would fill the router's memory.
ANSWER_WINDOW_BYTES = 256 * 1024


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Mark a struct as a wire message."""


class AttemptId(msgspec.Struct, frozen=True, array_like=True):
    """Name one attempt to run a request on one agent.

    ``router`` is the router's name with its incarnation; ``sequence`` grows
    by one with each attempt of that incarnation; ``agent_incarnation`` is
    the run of the agent that the attempt was meant for.
    """

    router: str
    sequence: int
    agent_incarnation: int

    def __str__(self) -> str:
        return f'{self.router}-{self.sequence}-{self.agent_incarnation:x}'


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Report a worker's load as its agent sees it.

    ``queued`` and ``running`` count requests; ``backlog_ms`` is the expected
    milliseconds before a new request starts; ``age_ms`` is the age of the
    engine's own figures when the report was made. ``slots`` is how many
    requests run at once (0: not known), ``turn_ms`` the expected
    milliseconds from one slot coming free to the next.
    """

    queued: int = 0
    running: int = 0
    backlog_ms: float = 0.0
    age_ms: float = 0.0
    slots: int = 0
    turn_ms: float = 0.0


class CacheReport(msgspec.Struct, frozen=True, array_like=True):
    """Report what an engine truly reused for one request.

    ``epoch`` names the engine's run, ``hit_blocks`` the blocks reused out of
    ``prompt_blocks``; ``width`` is the number of workers over which the
    agent asks routers to spread the outermost level (1: keep it here).
    ``kept_blocks`` leading blocks are in the store of kept KV cache, from
    which an import takes ``import_ms`` milliseconds a block.
    """

    epoch: str = ''
    hit_blocks: int = 0
    prompt_blocks: int = 0
    width: int = 1
    kept_blocks: int = 0
    import_ms: float = 0.0


class Hello(Message, frozen=True, tag='hello'):
    """Open a link from a router.

    ``knowledge_bytes_s`` is what the router can take on this link of
    ``Knowledge`` in bytes a second; 0: none.
    """

    name: ProcessName
    place: Place
    bundle_number: int
    knowledge_bytes_s: float = 0.0


class Start(Message, frozen=True, tag='start'):
    """Ask an agent to run a request on its worker.

    A router sends the Start of an attempt once; in doubt it asks. On that
    rests an agent's "not run" to a Start meant for its earlier run.

    ``budget_ms``: milliseconds left until the first token is due.
    ``blocks``: the prompt's block hashes, 8 bytes each, joined.
    ``levels``: block counts at which a nested level ends.
    ``oldest_open``: the router's lowest sequence that it may still ask about.
    ``width``: the number of workers over which the router spreads the
    prompt's outermost level. ``use_kept``: import what the store of kept
    KV cache holds, keep there what comes again, and wait for a prefix that
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
    """Ask what became of an attempt; resume its answer from ``offset``.

    An agent that never saw the attempt closes its id for ever before it
    replies, so that a late ``Start`` cannot run it. One that runs or ran it
    replies Accepted, then Head, Data from ``offset`` on and End, as far as
    there are any; an Ask on a link that was never broken does the same.
    """

    attempt: AttemptId
    offset: int


class Cancel(Message, frozen=True, tag='cancel'):
    """Stop an attempt whose caller has gone; there is no reply.

    One never seen is closed for ever. A call that is not idempotent and has
    reached the worker goes on, and its outcome is kept.
    """

    attempt: AttemptId


class Ack(Message, frozen=True, tag='ack'):
    """Confirm the answer's bytes up to ``offset`` for flow control.

    The last one, at the length that End gave, lets the agent forget the
    answer.
    """

    attempt: AttemptId
    offset: int


class Welcome(Message, frozen=True, tag='welcome'):
    """Answer a Hello with the agent and its worker.

    ``models``: ``model:weights`` or, for each adapter of it,
    ``model:weights:adapter@version``, as now loaded.
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
    """Refuse or fail an attempt with a verdict; the attempt has ended."""

    attempt: AttemptId
    verdict: Verdict
    reason: Reason
    text: str
    retry_after_s: float | None
    load: LoadReport
    epoch: str = ''

    @property
    def refusal(self) -> Refusal:
        """Return the refusal that this message carries."""
        return Refusal(
            self.verdict, self.reason, self.text, self.retry_after_s
        )


class Head(Message, frozen=True, tag='head'):
    """Start the answer: HTTP status and content type of the worker.

    ``replayed``: the answer was kept from an earlier attempt of the call.
    """

    attempt: AttemptId
    status: int
    content_type: str
    replayed: bool = False


class Data(Message, frozen=True, tag='data'):
    """Carry answer bytes; ``offset`` counts bytes before this payload.

    A payload of a stream ends at the end of a server-sent event.
    """

    attempt: AttemptId
    offset: int
    payload: bytes


class End(Message, frozen=True, tag='end'):
    """End a whole answer of ``length`` bytes."""

    attempt: AttemptId
    length: int
    prompt_tokens: int
    output_tokens: int
    cache: CacheReport
    load: LoadReport


class WorkerChanged(Message, frozen=True, tag='worker'):
    """Tell routers of a worker's new epoch, models or leaving state.

    An empty ``epoch``, here or in Welcome, says that the worker does not
    answer its agent.
    """

    epoch: str
    models: tuple[str, ...]
    load: LoadReport
    leaving: bool


class Knowledge(Message, frozen=True, tag='knowledge'):
    """Tell a router, unasked, of load and cache, within its allowance.

    ``stored`` and ``evicted`` are joined hashes, 8 bytes each, of the last
    blocks of levels that several requests shared.
    """

    load: LoadReport
    epoch: str
    stored: bytes = b''
    evicted: bytes = b''


class Demands(Message, frozen=True, tag='demands'):
    """Report teams' demand to the agent that shares out their limits."""

    teams: tuple[TeamDemand, ...]


class Allotments(Message, frozen=True, tag='allotments'):
    """Answer Demands with this router's part; ``routers`` counts all."""

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
    """Carry the frames that waited together for one link, in order.

    An engine's step brings a token to each of its streams at once; one
    message for all of them spares most of the cost of a message.
    """

    frames: tuple[AgentFrame, ...]


AgentMessage: TypeAlias = AgentFrame | Batch

LINK_METHOD = '/lacewing.Peer/Link'
