"""Define the interface to a deployment's platform.

An adapter implements it: it translates names, formats and calls, and makes no
decisions.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Generic
from typing import Protocol
from typing import TypeVar

from lacewing_common.store import SingleObjects
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from tornado.httputil import HTTPHeaders

from lacewing_daemon.direct._call import CallerRequest
from lacewing_daemon.direct._routing_config import RoutingConfig
from lacewing_daemon.direct._upstream import ReleasedWeights
from lacewing_daemon.direct._upstream import Upstream

T = TypeVar('T')
T_co = TypeVar('T_co', covariant=True)


@dataclass(frozen=True)
class Listing(Generic[T]):
    """Hold all entries of a collection as of one revision.

    ``unreadable``: names of entries that exist but cannot be decoded.
    ``size`` and ``took_s``: bytes read and the time in which they arrived.
    ``era`` is the store era of the answer, 0 if it gave none.
    """

    entries: Mapping[str, T]
    revision: int
    unreadable: tuple[str, ...] = ()
    size: int = 0
    took_s: float = 0.0
    era: int = 0


@dataclass(frozen=True)
class Changes(Generic[T]):
    """Hold what changed up to a revision; None for a removed entry.

    ``unreadable``: names of entries whose new values cannot be decoded.
    ``size`` and ``took_s``: bytes read and the time in which they arrived.
    ``era`` is the store era of the answer, 0 if it gave none.
    """

    changed: tuple[tuple[str, T | None], ...]
    revision: int
    unreadable: tuple[str, ...] = ()
    size: int = 0
    took_s: float = 0.0
    era: int = 0


@dataclass(frozen=True)
class HistoryExpired:
    """Report that the change history expired; the collection is reread."""

    message: str
    era: int = 0


class Collection(Protocol[T]):
    """Read and watch one collection of the platform's store."""

    async def read(self) -> Listing[T] | StoreError:
        """Read all entries as they are now."""

    async def changes(
        self, since: int, wait_s: float
    ) -> Changes[T] | HistoryExpired | StoreError:
        """Wait up to ``wait_s`` for changes after a revision."""


class OrderVerdict(Enum):
    """Name the result of an order to load weights.

    OTHER_INCARNATION: nothing was ordered, as the upstream has restarted.
    """

    ACCEPTED = 'taken'
    ALREADY_LOADED = 'held-already'
    BUSY = 'busy'
    FENCED = 'fenced'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    OTHER_INCARNATION = 'other-start'


@dataclass(frozen=True)
class UpstreamReport:
    """Hold the status that an upstream reports.

    ``accepted_orders`` counts the orders it accepted since its start;
    ``busy`` is true while it executes one. ``started_ms`` is the Unix time of
    its start in milliseconds, 0 if not reported. ``queued`` and ``running``
    count requests, ``kv_used`` and ``kv_total`` tokens of KV memory, and
    ``first_queued_tokens`` those of the prompt that is first in the queue.
    Each of these is None if absent or malformed. They are logged only.
    """

    accepted_orders: int
    busy: bool
    weights: Mapping[str, int]
    started_ms: int = 0
    queued: int | None = None
    running: int | None = None
    kv_used: int | None = None
    kv_total: int | None = None
    first_queued_tokens: int | None = None


class SwitchMode(Enum):
    """Name what happens to open runs when weights are loaded.

    WAIT lets them finish first, KEEP continues them with the new weights, CUT
    aborts them.
    """

    WAIT = 'wait'
    KEEP = 'keep'
    CUT = 'cut'


@dataclass(frozen=True)
class LoadOrder:
    """Order an upstream to load a version of a model's weights.

    ``accepted_orders`` must equal the upstream's count when the order is
    executed, so that an order that arrives after later ones is refused.
    """

    model: str
    version: int
    holder: str
    fence: int
    accepted_orders: int
    mode: SwitchMode


class UpstreamControl(Protocol):
    """Request the status of upstreams and send orders to them."""

    async def report(self, upstream: Upstream) -> UpstreamReport | None:
        """Return the upstream's report, None if it sent none."""

    async def load(self, upstream: Upstream, order: LoadOrder) -> OrderVerdict:
        """Order an upstream to load weights."""


class SystemObjects(SingleObjects, Protocol):
    """Keep the system's own objects."""

    async def peek(self, kind: str, name: str) -> StoredObject | StoreError:
        """Read one object at low cost; it may be seconds old."""

    async def peek_all(
        self, kind: str
    ) -> tuple[StoredObject, ...] | StoreError:
        """Read all objects of a kind at low cost; they may be seconds old."""

    async def delete(
        self, kind: str, name: str, expect: int
    ) -> None | StoreError:
        """Delete an object if its version is ``expect``."""


class Site(Protocol):
    """Give access to everything that the platform stores for the system."""

    @property
    def routing_configs(self) -> Collection[RoutingConfig]:
        """Return the configuration; one entry."""

    @property
    def upstreams(self) -> Collection[Upstream]:
        """Return the upstreams that registered themselves."""

    @property
    def weights(self) -> Collection[ReleasedWeights]:
        """Return the versions of weights that operators released."""

    def system_texts(self, kind: str) -> Collection[str]:
        """Return a watchable collection of the system's own objects."""

    @property
    def store(self) -> SystemObjects:
        """Return the object store for the system's own objects."""

    @property
    def control(self) -> UpstreamControl:
        """Return the client for status calls and orders to upstreams."""


@dataclass(frozen=True)
class Dispatch:
    """Hold what is sent to an upstream along with a caller's request.

    ``deadline_s`` is the remaining time of the request. ``cache_salt``
    separates KV caches that must not be shared. ``weights`` is the version
    that the upstream must have. ``fetch_from`` and ``save_to`` are addresses
    of KV caches. ``urgency`` is 0 (most urgent) to 9. ``copy_to`` is the
    address of an upstream that keeps a copy of the run's KV cache as it grows.
    ``continue_from`` is that address when the run continues there, after
    ``after_event``.
    """

    upstream_id: str
    deadline_s: float
    team: str | None = None
    cache_salt: str | None = None
    weights: int | None = None
    fetch_from: str | None = None
    save_to: str | None = None
    urgency: int | None = None
    after_event: str | None = None
    copy_to: str | None = None
    continue_from: str | None = None


@dataclass(frozen=True)
class UpstreamLoad:
    """Hold the load that an upstream reported with an answer.

    ``slowdown``: how long work currently takes on its machine, where 1 is
    the usual time; None where it does not report that.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


class Unstated(Enum):
    """Say why a value is missing from an answer."""

    ABSENT = 'absent'
    MALFORMED = 'malformed'


@dataclass(frozen=True)
class ReplyHead:
    """Hold the head of an upstream's answer.

    ``not_run``: the upstream reports that it did not run the request.
    ``misdirected``: another incarnation answered, and ran nothing.
    ``signature``: the upstream's, None for an answer without one.
    ``responder_id`` is the id of the upstream that answered, '' if not given.
    ``request_limit``: the requests a second that the upstream takes from all
    routers together. ``retry_after_s``: with a 503, for how long the upstream
    wants nothing from this router. ``is_leaving``: the upstream ends soon.
    """

    status: int
    request_id: str
    not_run: bool
    misdirected: bool
    signature: str | None
    will_close: bool
    keep_alive_s: float | None
    load: UpstreamLoad | None
    weights: int | None
    retry_after_s: float | Unstated
    headers: HTTPHeaders
    responder_id: str = ''
    request_limit: float | Unstated = Unstated.ABSENT
    is_leaving: bool = False

    @property
    def is_refusal(self) -> bool:
        """Return whether it states that its request did not run."""
        return self.not_run or self.misdirected

    @property
    def is_signed(self) -> bool:
        """Return whether the answer carries the upstream's signature."""
        return self.signature is not None


class Wire(Protocol):
    """Translate the headers of requests and answers."""

    @property
    def id_header(self) -> str:
        """Return the header in which an answer names its request."""

    def read_request(
        self,
        method: str,
        path: str,
        headers: HTTPHeaders,
        body: bytes,
        received_s: float,
    ) -> CallerRequest:
        """Decode a caller's request."""

    def forward(
        self, request: CallerRequest, dispatch: Dispatch
    ) -> HTTPHeaders:
        """Return the headers for an upstream, without framing."""

    def read_reply(self, status: int, headers: HTTPHeaders) -> ReplyHead:
        """Decode the head of an upstream's answer."""

    def refusal(
        self,
        request_id: str,
        retry_after_s: float | None,
        says_not_run: bool = False,
    ) -> HTTPHeaders:
        """Return the headers of a refusal that the router itself sends."""
