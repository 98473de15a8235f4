"""Tell other routers the load at engines of contended services."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from weakref import WeakKeyDictionary

import msgspec
from lacewing_common.log import get_log
from lacewing_common.log import Part

from lacewing_daemon.direct._cluster_state import ClusterState
from lacewing_daemon.direct._metrics import OTHER_LOAD_AGE_SECONDS
from lacewing_daemon.direct._metrics import UNREACHABLE_UPSTREAMS
from lacewing_daemon.direct._upstream_state import UpstreamState
from lacewing_daemon.direct.exchange._interval import MAX_INTERVAL_S
from lacewing_daemon.direct.exchange._interval import MIN_INTERVAL_S
from lacewing_daemon.direct.exchange._interval import peers_to_tell
from lacewing_daemon.direct.exchange._load_entries import decode_entry
from lacewing_daemon.direct.exchange._load_entries import encode_entry
from lacewing_daemon.direct.exchange._load_entries import engine_key
from lacewing_daemon.direct.exchange._load_entries import EngineLoad
from lacewing_daemon.direct.exchange._load_entries import LoadUpdate
from lacewing_daemon.direct.exchange._load_entries import Report
from lacewing_daemon.direct.exchange._peer_loads import MIN_COVERAGE
from lacewing_daemon.direct.exchange._peer_loads import PeerLoads

# Prompts that were sent are told with the next message, requests that got
# their first event or ended at most this much later: others drain the queue
# of an engine by its speed meanwhile.
ENDS_DELAY_S = 0.6
# Engines that have ended are remembered for late messages.
ENGINE_TTL_S = 10.0
# The section is sent at least this often, as its arrival tells that nothing
# has changed.
MIN_TOLD_INTERVAL_S = 0.9

_log = get_log(Part.PLACEMENT)


@dataclass(frozen=True)
class _Told:
    """Hold what was last told of an engine."""

    waiting: int
    in_flight: int
    data_s: float | None
    refused_s: float | None
    silent_s: float | None
    at_s: float


_NOTHING = _Told(0, 0, None, None, None, float('-inf'))


def prefill_speed(
    cluster_state: ClusterState, state: UpstreamState, now_s: float
) -> float:
    """Return the tokens that an engine prefills in a millisecond."""
    policy = cluster_state.policy_for(state.upstream.service)
    return cluster_state.engine_estimate(state, policy, now_s).tokens_per_ms


class LoadSection:
    """Collect this router's load, and apply that of others."""

    def __init__(
        self,
        address: str,
        cluster_state: ClusterState,
        peer_addresses: Callable[[], tuple[str, ...]],
    ) -> None:
        self._address = address
        self._cluster_state = cluster_state
        self._peer_addresses = peer_addresses
        self._addresses: tuple[str, ...] = ()
        self._loads = PeerLoads(
            address, lambda: len(self._addresses), self._tokens_per_ms
        )
        self._states: dict[int, UpstreamState] = {}
        self._keys: WeakKeyDictionary[UpstreamState, int] = WeakKeyDictionary()
        self._told: dict[int, _Told] = {}
        self._unreachable: set[int] = set()
        self._told_s = float('-inf')
        self._stepped_s = float('-inf')

    @property
    def name(self) -> str:
        """Return the name in messages."""
        return 'load'

    @property
    def loads(self) -> PeerLoads:
        """Return the load of the other routers."""
        return self._loads

    def collect(self, now_s: float, full: bool) -> object | None:
        """Return the entries of engines with news, None if there are none."""
        entries = []
        self._addresses = self._peer_addresses()
        interval_s = max(MIN_INTERVAL_S, now_s - self._stepped_s)
        self._loads.set_interval(min(interval_s, MAX_INTERVAL_S))
        self._stepped_s = now_s
        tells_load = self._tells_load()
        states = {}
        failed = self._loads.reachability.failed_engines
        for state in self._contended_states():
            key = self._key(state)
            states[key] = state
            if self._has_no_news(key, state) and key not in failed:
                continue
            load = self._own_load(key, state, now_s)
            if not tells_load:
                if _has_failure_news(load, self._told.get(key, _NOTHING)):
                    entries.append(self._entry(key, load, now_s))
                continue
            if self._has_news(key, state, load, full, now_s):
                load = self._with_sent(state, load, now_s)
                entries.append(self._entry(key, load, now_s))
        self._states = states
        self._loads.reachability.observes(self._address, states.keys())
        self._forget_ended(now_s)
        self._update_unreachable(now_s)
        age_s = self._loads.age_s(now_s)
        OTHER_LOAD_AGE_SECONDS.set(-1 if age_s == float('inf') else age_s)
        is_due = now_s - self._told_s >= MIN_TOLD_INTERVAL_S
        if not entries and not full and not is_due:
            return None
        self._told_s = now_s
        return [full and tells_load, entries]

    def apply(self, sender: str, data: bytes, now_s: float) -> None:
        """Apply what a sender tells; raises ``msgspec.DecodeError``."""
        update = msgspec.msgpack.decode(data, type=LoadUpdate)
        self._loads.heard(sender, now_s)
        told = set()
        for entry in update.entries:
            told.add(entry.engine)
            load = decode_entry(entry, now_s)
            self._loads.apply(sender, entry.engine, load, now_s)
        if update.full:
            self._loads.clear_missing(sender, frozenset(told))

    def forget(self, sender: str) -> None:
        """Remove the load of a sender."""
        self._loads.forget(sender)

    def _tells_load(self) -> bool:
        """Return whether enough routers are told for them to use it.

        Failures are told in any case: a single report is of use.
        """
        told = len(peers_to_tell(self._address, self._addresses))
        return told >= MIN_COVERAGE * len(self._addresses)

    def _key(self, state: UpstreamState) -> int:
        """Return the key of an engine; computed once, there may be 890."""
        key = self._keys.get(state)
        if key is None:
            key = engine_key(state.upstream.incarnation)
            self._keys[state] = key
        return key

    def _has_no_news(self, key: int, state: UpstreamState) -> bool:
        """Return whether an engine needs no closer look."""
        if state.in_flight or not state.own_load.is_idle:
            return False
        told = self._told.get(key, _NOTHING)
        return not told.waiting and not told.in_flight

    def _contended_states(self) -> list[UpstreamState]:
        states: list[UpstreamState] = []
        for service in self._cluster_state.services:
            if self._cluster_state.is_contended(service):
                states += self._cluster_state.upstreams_of(service)
        return states

    def _own_load(
        self, key: int, state: UpstreamState, now_s: float
    ) -> EngineLoad:
        own = state.own_load
        if state.is_silent(now_s):
            own.fell_silent(now_s)
        reachability = self._loads.reachability
        data_s = state.last_data_s
        reachability.record(
            self._address, key, data_s, own.refused_s, own.silent_s
        )
        # Data is told once after each failure that some router has told.
        failed_s = reachability.last_failure_s(key, now_s)
        told_s = self._told.get(key, _NOTHING).data_s
        if failed_s is None or data_s is None or data_s <= failed_s:
            data_s = None
        elif told_s is not None and told_s > failed_s:
            data_s = None
        return EngineLoad(
            own.waiting_tokens,
            {},
            own.waiting,
            state.in_flight,
            own.kv_tokens,
            data_s,
            own.refused_s,
            own.silent_s,
        )

    def _has_news(
        self,
        key: int,
        state: UpstreamState,
        load: EngineLoad,
        full: bool,
        now_s: float,
    ) -> bool:
        told = self._told.get(key, _NOTHING)
        if full and (load.in_flight or load.waiting):
            return True
        if _has_failure_news(load, told):
            return True
        if state.own_load.has_sent:
            return True
        if (load.waiting, load.in_flight) == (told.waiting, told.in_flight):
            return False
        return now_s - told.at_s >= ENDS_DELAY_S

    def _with_sent(
        self, state: UpstreamState, load: EngineLoad, now_s: float
    ) -> EngineLoad:
        report = None
        recent = state.last_report(now_s)
        if recent is not None:
            stated, at_s = recent
            report = Report(stated.running, stated.waiting, stated.slots, at_s)
        sent = state.own_load.take_sent()
        return replace(load, sent_tokens=sent, report=report)

    def _entry(self, key: int, load: EngineLoad, now_s: float) -> list[object]:
        told = self._told.get(key, _NOTHING)
        self._told[key] = _Told(
            load.waiting,
            load.in_flight,
            told.data_s if load.data_s is None else load.data_s,
            load.refused_s,
            load.silent_s,
            now_s,
        )
        return encode_entry(key, load, now_s)

    def _tokens_per_ms(self, key: int) -> float:
        state = self._states.get(key)
        if state is None:
            return self._cluster_state.policy.prefill_tokens_per_ms
        return prefill_speed(self._cluster_state, state, self._stepped_s)

    def _forget_ended(self, now_s: float) -> None:
        known = frozenset(self._states)
        self._loads.forget_engines(known, now_s - ENGINE_TTL_S)
        for key in self._told.keys() - known:
            del self._told[key]

    def _update_unreachable(self, now_s: float) -> None:
        """Log which engines no router reaches, or some do again."""
        unreachable = set()
        reachability = self._loads.reachability
        for key in reachability.failed_engines & self._states.keys():
            if reachability.is_unreachable(key, now_s):
                unreachable.add(key)
        for key in unreachable - self._unreachable:
            _log.warning(
                'No router reaches an upstream.',
                upstream=self._states[key].upstream.upstream_id,
            )
        for key in self._unreachable - unreachable:
            if key in self._states:
                _log.info(
                    'An upstream is reached again.',
                    upstream=self._states[key].upstream.upstream_id,
                )
        self._unreachable = unreachable
        UNREACHABLE_UPSTREAMS.set(len(unreachable))


def _has_failure_news(load: EngineLoad, told: _Told) -> bool:
    """Return whether a failure, or data after one, was not told yet."""
    if load.refused_s != told.refused_s or load.silent_s != told.silent_s:
        return True
    return load.data_s is not None
