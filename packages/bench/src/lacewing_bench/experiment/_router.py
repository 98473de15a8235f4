"""Run the decisions of one product router in virtual time."""

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
from lacewing_daemon.direct._open_request import OpenRequest
from lacewing_daemon.direct._placing import Placer
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct._settings import Bounds
from lacewing_daemon.direct._silence_detector import SilenceDetector
from lacewing_daemon.direct._target import Target
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
    """Hold a sent request and the state to release when it ends."""

    target: Target
    ticket: OpenRequest
    prompt: Prompt
    sent_ms: float


class Router:
    """Hold the cluster state of one router and decide on requests.

    ``learn_lateness`` off ignores the lateness of first events;
    ``learn_speed`` off ignores the measured speed of engines.
    """

    def __init__(
        self,
        site: Deployment,
        zone: int,
        policy: LoadPolicy,
        learn_lateness: bool,
        learn_speed: bool,
    ) -> None:
        self._learn_lateness = learn_lateness
        self._learn_speed = learn_speed
        self._now_ms = 0.0
        self._limits = EngineLimits(
            site.engine.slots,
            site.engine.kv_tokens,
            _TOKEN_BYTES,
            _LINK_BYTES_PER_S,
            (MODEL,),
        )
        service = Service(SERVICE, 0, self._limits)
        kv_store = KvStore('kept', 'zone-0', 1_000_000, _LINK_BYTES_PER_S)
        self._routes = {kind.name: _route(kind) for kind in site.kinds}
        self._service = service
        self.cluster_state = ClusterState(_BOUNDS, policy, self._clock_s)
        self.cluster_state.update_routing_config(
            RoutingConfig(
                1,
                tuple(self._routes.values()),
                {SERVICE: service, 'kept': Service('kept', 0, None, kv_store)},
                None,
                Limits(1_000_000, 15.0),
            )
        )
        for number in range(site.engines):
            name = engine_name(number)
            self.cluster_state.update_upstream(
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
        self._placer = Placer(self.cluster_state, f'zone-{zone % site.zones}')
        self.record_release(1, True)

    def set_time(self, now_ms: float) -> None:
        """Set the router's clock."""
        self._now_ms = now_ms

    def record_release(self, version: int, initial: bool) -> None:
        """Record the release of a version, at start or now."""
        max_age_s = float('inf') if initial else 0.0
        self.cluster_state.record_release(
            ReleasedWeights(MODEL, version), max_age_s
        )

    def place(
        self,
        kind: Kind,
        prompt: Prompt,
        excluded: frozenset[str],
        left_ms: float,
        now_ms: float,
    ) -> Target | NoCapacity:
        """Choose the target of a request."""
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

    def handle_refusal(
        self, sent: Sent, engine: Engine, now_ms: float
    ) -> None:
        """Exclude a loading engine for a moment and update its weights."""
        sent.target.state.mark_started(sent.ticket)
        sent.target.state.close_request()
        sent.target.state.exclude_for(now_ms / _MS, _REFUSAL_PAUSE_S)
        self._update_weights(sent.target, engine)

    def watch(
        self,
        sent: Sent,
        kind: Kind,
        abort: Callable[[], None],
        can_continue: Callable[[int], bool],
    ) -> None:
        """Watch a stream that has started.

        In the product, streams that cannot be retried have KV cache copies.
        The model has no copies, so such streams only show whether their
        engine is silent and are never moved.
        """
        route = self._routes[kind.name]
        self._silence.stream_opened(
            sent.target.state,
            abort,
            route.can_retry,
            route.max_event_gap_s,
            route.abandon_after_s,
            can_continue if route.can_retry else _cannot_continue,
        )

    def record_event(self, sent: Sent, now_ms: float) -> None:
        """Record an event of a stream."""
        self._silence.data_received(sent.target.state, now_ms / _MS)

    def check_silence(self, now_ms: float) -> None:
        """Abort the streams of engines that are considered lost."""
        self._silence.check(now_ms / _MS)

    def handle_first_event(
        self, sent: Sent, engine: Engine, load: UpstreamLoad, now_ms: float
    ) -> None:
        """Update the estimates from a first event and the reported load."""
        now_s = now_ms / _MS
        state = sent.target.state
        state.mark_started(sent.ticket)
        state.update_load(load, now_s)
        self._update_weights(sent.target, engine)
        self._placer.cached_parts.record_prefilled(
            sent.target, sent.prompt, now_s
        )
        counted_ms = sent.target.first_event_ms - sent.target.lateness_ms
        took_ms = now_ms - sent.sent_ms
        if self._learn_lateness:
            state.record_lateness(took_ms - counted_ms, now_s)
        if self._learn_speed:
            record_first_event(
                self.cluster_state.estimates(SERVICE),
                sent.target,
                sent.prompt,
                took_ms,
                now_s,
            )

    def finish(self, sent: Sent, abort: Callable[[], None]) -> None:
        """Count a request as ended."""
        self._silence.stream_closed(sent.target.state, abort)
        sent.target.state.close_request()

    def _update_weights(self, target: Target, engine: Engine) -> None:
        self.cluster_state.update_weights(target.state, MODEL, engine.weights)

    def _clock_s(self) -> float:
        return self._now_ms / _MS


def _cannot_continue(_others: int) -> bool:
    return False


# Exclusion after a refusal, as in the product.
_REFUSAL_PAUSE_S = 0.15


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
        kind.priority > 0,
        15.0,
        kind.target_ms / _MS,
        kind.priority,
        2,
        True,
        (TrafficShare(SERVICE, 1.0),),
        kind.max_event_gap_ms / _MS,
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
