"""Apply what other routers tell to the placement of requests."""

import time
from collections.abc import Callable
from random import Random

from lacewing_daemon.direct._admission import Admitted
from lacewing_daemon.direct._choice import EngineView
from lacewing_daemon.direct._cluster_state import ClusterState
from lacewing_daemon.direct._upstream_state import CHUNK_TOKENS
from lacewing_daemon.direct._upstream_state import UpstreamState
from lacewing_daemon.direct.exchange._peer_loads import KNOWN_AGE_S
from lacewing_daemon.direct.exchange._peer_loads import PeerLoads
from lacewing_daemon.direct.exchange._shared_choice import has_room
from lacewing_daemon.direct.exchange._shared_choice import queued_tokens
from lacewing_daemon.direct.exchange._shared_choice import spread

_MS = 1000.0


class SharedLoads:
    """Answer what placement needs to know of other routers.

    ``unix_clock`` numbers the seconds in which one router probes an
    unreachable engine; clocks that differ cause a probe more or less.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        loads: PeerLoads,
        random: Random,
        unix_clock: Callable[[], float] = time.time,
    ) -> None:
        self._cluster_state = cluster_state
        self._loads = loads
        self._random = random
        self._unix_clock = unix_clock

    def is_known(self, service: str, now_s: float) -> bool:
        """Return whether decisions on a service use the load of others."""
        if not self._cluster_state.is_contended(service):
            return False
        return self._loads.age_s(now_s) <= KNOWN_AGE_S

    def reachable(
        self, admitted: Admitted, states: list[UpstreamState], now_s: float
    ) -> list[UpstreamState]:
        """Return the upstreams that are not unreachable, or all if all are.

        One router at a time may probe an unreachable one.
        """
        if not self._cluster_state.is_contended(admitted.service.name):
            return states
        slot = int(self._unix_clock())
        found = []
        for state in states:
            incarnation = state.upstream.incarnation
            if self._loads.is_unreachable(incarnation, now_s):
                can_retry = admitted.route.can_retry
                if not self._loads.may_probe(incarnation, can_retry, slot):
                    continue
            found.append(state)
        return found or states

    def record_placed(self, state: UpstreamState, now_s: float) -> None:
        """Record a probe, if a request is sent to an unreachable upstream."""
        incarnation = state.upstream.incarnation
        if self._loads.is_unreachable(incarnation, now_s):
            slot = int(self._unix_clock())
            self._loads.record_probe(incarnation, slot)

    def wait_ms(
        self,
        state: UpstreamState,
        urgency: int,
        tokens_per_ms: float,
        now_s: float,
    ) -> float:
        """Return the prefill of all routers that precedes a request."""
        others = self._loads.others(state.upstream.incarnation, now_s)
        tokens = queued_tokens(
            state.own_load.waiting_tokens,
            others.waiting_tokens,
            urgency,
            CHUNK_TOKENS,
        )
        return tokens / tokens_per_ms

    def has_room(
        self,
        state: UpstreamState,
        tokens: int,
        kv_tokens: int,
        now_s: float,
    ) -> bool:
        """Return whether an engine has a slot and memory for a prompt."""
        others = self._loads.others(state.upstream.incarnation, now_s)
        return has_room(
            state.in_flight + others.in_flight,
            state.upstream.slots,
            state.own_load.kv_tokens + others.tokens_in_flight,
            tokens,
            kv_tokens,
        )

    def unseen_ms(
        self, state: UpstreamState, tokens_per_ms: float, now_s: float
    ) -> float:
        """Return the expected prefill that others did not tell yet."""
        others = self._loads.others(state.upstream.incarnation, now_s)
        return others.unseen_tokens / tokens_per_ms

    def margin_ms(self, now_s: float) -> float:
        """Return for how long the latest prompts of others are unknown."""
        return self._loads.unseen_s(now_s) * _MS

    def spread(self, views: list[EngineView]) -> list[EngineView]:
        """Order engines so that routers compare different ones."""
        return spread(views, self._random)
