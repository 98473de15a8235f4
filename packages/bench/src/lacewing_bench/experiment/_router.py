"""Run the product's decisions of one router on the model's time."""

from collections.abc import Callable
from dataclasses import dataclass

from lacewing_daemon.direct import CallerRequest
from lacewing_daemon.direct import Engine as EngineLimits
from lacewing_daemon.direct import KvStore
from lacewing_daemon.direct import Limits
from lacewing_daemon.direct import Prompt
from lacewing_daemon.direct import ReleasedWeights
from lacewing_daemon.direct import Route
from lacewing_daemon.direct import RoutingConfig
from lacewing_daemon.direct import Service
from lacewing_daemon.direct import TrafficShare
from lacewing_daemon.direct import Upstream
from lacewing_daemon.direct import UpstreamLoad
from lacewing_daemon.direct._admission import Admitted
from lacewing_daemon.direct._choice import NoCapacity
from lacewing_daemon.direct._cluster_state import ClusterState
from lacewing_daemon.direct._first_event import record_first_event
from lacewing_daemon.direct._placing import Placer
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct._settings import Bounds
from lacewing_daemon.direct._silence_detector import SilenceDetector
from lacewing_daemon.direct._target import Target
from lacewing_daemon.direct._upstream_state import OpenRequest
from tornado.httputil import HTTPHeaders

from lacewing_bench.experiment._engine import Engine
from lacewing_bench.experiment._site import Deployment
from lacewing_bench.experiment._site import Kind

MODEL = 'model'
SERVICE = 'engines'
_MS = 1000.0
_BOUNDS = Bounds(
    drain_s=8.0,
    revoke_s=5.0,
    lease_s=3.0,
    weights_s=8.0,
    repeat_ratio=0.2,
    repeat_slack=54.0,
    repeat_window_s=10.0,
)
_LINK_BYTES_PER_S = 4.5e10
_TOKEN_BYTES = 192_512.0


@dataclass(frozen=True)
class Sent:
    """Hold a request that was sent and what must be undone at its end."""

    target: Target
    ticket: OpenRequest
    prompt: Prompt
    sent_ms: float


class Router:
    """Hold one router's knowledge.

    ``learning`` off leaves lateness out, ``estimating`` off what engines show
    of their speed.
    """

    def __init__(
        self,
        site: Deployment,
        zone: int,
        policy: LoadPolicy,
        learning: bool,
        estimating: bool,
    ) -> None:
        self._learning = learning
        self._estimating = estimating
        self._now_ms = 0.0
        self._limits = EngineLimits(
            site.engine.slots,
            site.engine.kv_tokens,
            _TOKEN_BYTES,
            _LINK_BYTES_PER_S,
            (MODEL,),
        )
        service = Service(SERVICE, 0, self._limits)
        kept = KvStore('kept', 'zone-0', 1_000_000, _LINK_BYTES_PER_S)
        self._routes = {kind.name: _route(kind) for kind in site.kinds}
        self._service = service
        self.knowledge = ClusterState(_BOUNDS, policy, self._clock_s)
        self.knowledge.update_routing_config(
            RoutingConfig(
                1,
                tuple(self._routes.values()),
                {SERVICE: service, 'kept': Service('kept', 0, None, kept)},
                None,
                Limits(1_000_000, 15.0),
            )
        )
        for number in range(site.engines):
            name = engine_name(number)
            self.knowledge.update_upstream(
                name,
                Upstream(
                    name,
                    SERVICE,
                    f'127.0.0.1:{number + 1}',
                    f'zone-{number % site.zones}',
                    site.engine.slots,
                    False,
                    {MODEL: 1},
                ),
            )
        self._silence = SilenceDetector(policy.mute_ms / _MS)
        self._placer = Placer(self.knowledge, f'zone-{zone % site.zones}')
        self.name_weights(1, True)

    def place_time(self, now_ms: float) -> None:
        """Set the time that the router's clock shows."""
        self._now_ms = now_ms

    def name_weights(self, version: int, before: bool) -> None:
        """Learn that a version was named."""
        unsure_s = float('inf') if before else 0.0
        self.knowledge.record_release(
            ReleasedWeights(MODEL, version), unsure_s
        )

    def place(
        self,
        kind: Kind,
        prompt: Prompt,
        excluded: frozenset[str],
        left_ms: float,
        now_ms: float,
    ) -> Target | NoCapacity:
        """Decide on a request."""
        self._now_ms = now_ms
        return self._placer.place(
            _request(prompt, now_ms),
            Admitted(self._routes[kind.name], self._service, None),
            excluded,
            left_ms,
            now_ms / _MS,
        )

    def send(self, target: Target, prompt: Prompt, now_ms: float) -> Sent:
        """Count a request as sent."""
        now_s = now_ms / _MS
        self._placer.cached_parts.record_sent(
            target, prompt, self._limits, now_s
        )
        ticket = target.state.open_request(
            target.prefill_ms, target.urgency, now_s
        )
        return Sent(target, ticket, prompt, now_ms)

    def refused(self, sent: Sent, engine: Engine, now_ms: float) -> None:
        """Learn that an engine loads; it is left alone for a moment."""
        sent.target.state.mark_started(sent.ticket)
        sent.target.state.close_request()
        sent.target.state.exclude_for(now_ms / _MS, _PAUSE_S)
        self._learn(sent.target, engine)

    def watch(
        self,
        sent: Sent,
        kind: Kind,
        cut: Callable[[], None],
        may_leave: Callable[[int], bool],
    ) -> None:
        """Watch a stream that has begun.

        In the product those that must not begin again have copies; here
        there are none, so they tell of their engine, and are never left.
        """
        route = self._routes[kind.name]
        self._silence.stream_opened(
            sent.target.state,
            cut,
            route.can_retry,
            route.max_event_gap_s,
            route.abandon_after_s,
            may_leave if route.can_retry else _never,
        )

    def heard(self, sent: Sent, now_ms: float) -> None:
        """Note an event of a stream."""
        self._silence.data_received(sent.target.state, now_ms / _MS)

    def look(self, now_ms: float) -> None:
        """Break off the streams of engines taken for lost."""
        self._silence.check(now_ms / _MS)

    def began(self, sent: Sent, engine: Engine, now_ms: float) -> None:
        """Learn from a first event."""
        now_s = now_ms / _MS
        state = sent.target.state
        state.mark_started(sent.ticket)
        load = UpstreamLoad(
            len(engine.running), len(engine.waiting), engine.model.slots
        )
        state.update_load(load, now_s)
        self._learn(sent.target, engine)
        self._placer.cached_parts.record_prefilled(
            sent.target, sent.prompt, now_s
        )
        counted_ms = sent.target.first_event_ms - sent.target.lateness_ms
        took_ms = now_ms - sent.sent_ms
        if self._learning:
            state.record_lateness(took_ms - counted_ms, now_s)
        if self._estimating:
            record_first_event(
                self.knowledge.estimates(SERVICE),
                sent.target,
                sent.prompt,
                took_ms,
                now_s,
            )

    def ended(self, sent: Sent, cut: Callable[[], None]) -> None:
        """Count a request as ended."""
        self._silence.stream_closed(sent.target.state, cut)
        sent.target.state.close_request()

    def _learn(self, target: Target, engine: Engine) -> None:
        self.knowledge.update_weights(target.state, MODEL, engine.weights)

    def _clock_s(self) -> float:
        return self._now_ms / _MS


def _never(_others: int) -> bool:
    return False


# As in the product, after a refusal.
_PAUSE_S = 0.15


def engine_name(number: int) -> str:
    """Return the id of an engine."""
    return f'engine-{number}'


def _route(kind: Kind) -> Route:
    return Route(
        kind.name,
        'host',
        f'/{kind.name}/',
        False,
        True,
        kind.rank > 0,
        15.0,
        kind.target_ms / _MS,
        kind.rank,
        2,
        True,
        (TrafficShare(SERVICE, 1.0),),
        kind.pause_ms / _MS,
    )


def _request(prompt: Prompt, now_ms: float) -> CallerRequest:
    return CallerRequest(
        'POST',
        '/',
        'host',
        '',
        HTTPHeaders(),
        b'',
        now_ms / _MS,
        15.0,
        '',
        prompt,
        None,
    )
