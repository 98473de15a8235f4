"""Track what one router knows of one upstream beyond its entry."""

from dataclasses import replace
from math import exp

from lacewing_daemon.direct._call import Prompt
from lacewing_daemon.direct._open_request import OpenRequest
from lacewing_daemon.direct._routing_config import Engine
from lacewing_daemon.direct._sent_parts import SentParts
from lacewing_daemon.direct._silence_history import SilenceHistory
from lacewing_daemon.direct._site import UpstreamLoad
from lacewing_daemon.direct._upstream import Presence
from lacewing_daemon.direct._upstream import Software
from lacewing_daemon.direct._upstream import UnknownSoftware
from lacewing_daemon.direct._upstream import Upstream
from lacewing_daemon.direct.exchange._own_load import OwnLoad

_MS = 1000.0
# Reported loads are some hundred ms old when they are used; older ones
# mislead.
LOAD_TTL_S = 0.6
# Smoothing weight of the latest lateness, its decay time, and the maximum
# that one first event counts for, so that a single one excludes no engine.
LATENESS_WEIGHT = 0.5
LATENESS_DECAY_S = 1.0
MAX_LATENESS_MS = 300.0
# Consecutive failures after which an upstream is excluded for a while.
FAILURES_TO_EXCLUDE = 3
# The median time to a first event is 0.03 to 0.15 s, and a loaded engine
# sends data all the time; a single request with a long prompt may be silent
# for longer. The limit is twice the longest silence observed.
MIN_SILENCE_S = 0.35
SILENCE_FACTOR = 2.0
# However slow engines are, one that lost power gets no more requests after
# this: its connections show the loss after 1.5 s.
MAX_SILENCE_S = 0.9
EXCLUDE_BASE_S = 0.5
EXCLUDE_MAX_S = 4.0


# An engine prefills prompts in chunks of this many tokens; the current chunk
# is half done on average.
CHUNK_TOKENS = 4096


class UpstreamState:
    """Track one incarnation of an upstream.

    ``silence_history`` is shared by all upstreams of its service.
    """

    def __init__(
        self, upstream: Upstream, silence_history: SilenceHistory | None = None
    ) -> None:
        self._upstream = upstream
        self._silence_history = (
            SilenceHistory() if silence_history is None else silence_history
        )
        self._presence = Presence.LISTED
        self._in_flight = 0
        self._sent_s = 0.0
        self._last_data_s = 0.0
        self._waiting: set[OpenRequest] = set()
        self._own_load = OwnLoad()
        self._weights = dict(upstream.weights)
        self._load: UpstreamLoad | None = None
        self._load_s = 0.0
        self._own_at_load = 0
        self._copy_tokens = 0
        self._speed_factor = 1.0
        self._lateness_ms = 0.0
        self._lateness_s = 0.0
        self._failures = 0
        self._excluded_until_s = 0.0
        self._rests_until_s = 0.0
        self._limited_until_s = 0.0
        self._sent_parts = SentParts()
        self._doubted_since_s: float | None = None
        self._confirmed_s = float('-inf')
        self._last_doubt_s = float('-inf')

    @property
    def upstream(self) -> Upstream:
        """Return the upstream's entry."""
        return self._upstream

    @property
    def replaced(self) -> bool:
        """Return whether a later incarnation has replaced this one."""
        return self._presence is Presence.REPLACED

    @property
    def removed(self) -> bool:
        """Return whether its entry is gone and it was not replaced."""
        return self._presence is Presence.REMOVED

    @property
    def is_listed(self) -> bool:
        """Return whether it was neither removed nor replaced."""
        return self._presence is Presence.LISTED

    @property
    def takes_requests(self) -> bool:
        """Return whether requests may be sent there at all.

        Decided only here, and asked again right before each send: a request
        may have waited since its upstream was chosen.
        """
        return self.is_listed and not self._upstream.leaving

    @property
    def is_software_doubted(self) -> bool:
        """Return whether a later start may have taken its place."""
        return self._doubted_since_s is not None

    def is_confirmed(self, opened_s: float) -> bool:
        """Return whether this start accepted a connection for certain.

        ``opened_s`` is when it was opened, on the boot clock.
        """
        return opened_s <= self._confirmed_s

    def software_at(self, opened_s: float) -> Software:
        """Return the software of the start that accepted a connection.

        ``opened_s`` is when it was opened, on the boot clock.
        """
        if not self.is_confirmed(opened_s):
            return UnknownSoftware.DOUBTED
        return self._upstream.software

    def has_same_software(self, software: Software) -> bool:
        """Return whether a stream of a software version may go on here."""
        if self.is_software_doubted:
            return False
        return self._upstream.has_same_software(software)

    def doubt_software(self, now_s: float) -> None:
        """Record that from now on a later start may be in its place."""
        self._last_doubt_s = max(self._last_doubt_s, now_s)
        if self._doubted_since_s is None:
            self._doubted_since_s = now_s

    def confirm_software(self, asked_s: float) -> None:
        """Record that this start answered a call that was made then."""
        self._confirmed_s = max(self._confirmed_s, asked_s)
        if self._doubted_since_s is None:
            return
        self._doubted_since_s = max(self._doubted_since_s, asked_s)
        if asked_s >= self._last_doubt_s:
            self._doubted_since_s = None

    @property
    def silence_history(self) -> SilenceHistory:
        """Return the silence history of its service's upstreams."""
        return self._silence_history

    @property
    def speed_factor(self) -> float:
        """Return the ratio of its times to the usual ones of its service."""
        return self._speed_factor

    @property
    def in_flight(self) -> int:
        """Return the number of this router's open requests there."""
        return self._in_flight

    @property
    def own_load(self) -> OwnLoad:
        """Return what other routers are told of it."""
        return self._own_load

    def idle_s(self, now_s: float) -> float:
        """Return the time since the last request was sent there."""
        return now_s - self._sent_s

    def waiting_count(self, urgency: int) -> int:
        """Count queued requests that precede one of a given urgency."""
        count = 0
        for request in self._waiting:
            if request.urgency <= urgency:
                count += 1
        return count

    def queued_prefill_ms(self, urgency: int, tokens_per_ms: float) -> float:
        """Return the prefill that precedes a request of a given urgency.

        Of less urgent requests, only the current chunk counts.
        """
        before_ms = 0.0
        after_ms = 0.0
        for request in self._waiting:
            if request.urgency <= urgency:
                before_ms += request.prefill_ms
            else:
                after_ms += request.prefill_ms
        return before_ms + min(after_ms, CHUNK_TOKENS / 2 / tokens_per_ms)

    def update(self, upstream: Upstream) -> None:
        """Apply a new entry; an upstream that is leaving stays so.

        One whose entry was removed is listed again.

        Entries are read in the order in which they were written. A lower
        version than in the previous entry means that the engine went back to
        it, as by a late order. If it were ignored as stale, requests would
        ask for weights that the engine refuses forever, and no load would be
        ordered.
        """
        if self.removed:
            self._presence = Presence.LISTED
        if self._upstream.leaving and not upstream.leaving:
            return
        known = self._upstream.software
        if known not in (upstream.software, UnknownSoftware.NO_ENTRY):
            upstream = replace(upstream, software=UnknownSoftware.DISPUTED)
        previous = self._upstream.weights
        self._upstream = upstream
        for model, version in upstream.weights.items():
            if version < previous.get(model, 0):
                self._weights[model] = version
                continue
            self.update_weights(model, version)

    def mark_leaving(self) -> None:
        """Mark this incarnation as leaving, before its entry says so."""
        self._upstream = replace(self._upstream, leaving=True)

    def mark_removed(self) -> None:
        """Mark this incarnation as without an entry, until it has one."""
        if self.is_listed:
            self._presence = Presence.REMOVED

    def mark_replaced(self) -> None:
        """Mark this incarnation as replaced by a later one.

        Its open requests still count here; nothing recorded here applies to
        the later incarnation, which has a state of its own.
        """
        self._presence = Presence.REPLACED

    def is_usable(self, now_s: float) -> bool:
        """Return whether requests may be sent there now."""
        return self.usable_in_s(now_s) <= 0

    def usable_in_s(self, now_s: float) -> float:
        """Return the time until it is usable, infinite if never again."""
        excluded_s = max(0.0, self._excluded_until_s - now_s)
        return max(excluded_s, self.wanted_in_s(now_s))

    def wanted_in_s(self, now_s: float) -> float:
        """Return the time until it takes requests, by what it has said."""
        if not self.takes_requests:
            return float('inf')
        until_s = max(self._rests_until_s, self._limited_until_s)
        return max(0.0, until_s - now_s)

    def is_resting(self, now_s: float) -> bool:
        """Return whether it has asked this router for rest until later."""
        return now_s < self._rests_until_s

    def is_silent(self, now_s: float) -> bool:
        """Return whether requests wait there and no data is received.

        An upstream that lost power answers nothing, and a request that can't
        be retried is lost with it. Connections show the loss after 1.5 s; by
        then each router has sent it many more requests. A busy upstream
        still sends data of its other answers. One that prefills a single
        long prompt sends nothing until that is done.
        """
        if not self._waiting:
            return False
        oldest_s = min(
            request.sent_s + request.prefill_ms / _MS
            for request in self._waiting
        )
        silent_s = now_s - max(oldest_s, self._last_data_s)
        if silent_s <= MIN_SILENCE_S:
            return False
        limit_s = SILENCE_FACTOR * self._silence_history.usual_silence_s(
            now_s, self._speed_factor
        )
        return silent_s > min(limit_s, MAX_SILENCE_S)

    @property
    def last_data_s(self) -> float | None:
        """Return when data was last received from it, None if never."""
        return self._last_data_s or None

    def since_last_data_s(self, now_s: float) -> float:
        """Return the time since data was last received from it."""
        return now_s - self._last_data_s

    def last_report(self, now_s: float) -> tuple[UpstreamLoad, float] | None:
        """Return its recent load report and when it arrived."""
        if self._load is None or not self.has_recent_load(now_s):
            return None
        return self._load, self._load_s

    def data_received(self, now_s: float) -> None:
        """Record that data was received from the upstream."""
        self._last_data_s = now_s

    def weights(self, model: str) -> int | None:
        """Return the version of a model's weights there."""
        return self._weights.get(model)

    def update_weights(self, model: str, version: int) -> None:
        """Apply a version that the upstream reported; versions only grow."""
        if version > self._weights.get(model, 0):
            self._weights[model] = version

    def update_load(self, load: UpstreamLoad, now_s: float) -> None:
        """Apply the load reported with an answer."""
        self._load = load
        self._load_s = now_s
        self._own_at_load = self._in_flight

    def lateness_ms(self, now_s: float) -> float:
        """Return the recent delay of first events beyond the estimate.

        The requests of other routers are known only once an answer reports
        them, and an engine under load prefills more slowly. Both delay this
        router's own first events. The value decays within a second or two,
        so that an engine without requests is tried again.
        """
        age_s = max(0.0, now_s - self._lateness_s)
        return self._lateness_ms * exp(-age_s / LATENESS_DECAY_S)

    def record_lateness(self, late_ms: float, now_s: float) -> None:
        """Record the delay of a first event beyond the estimate."""
        sample_ms = min(MAX_LATENESS_MS, max(0.0, late_ms))
        previous_ms = self.lateness_ms(now_s)
        self._lateness_ms = (
            previous_ms + (sample_ms - previous_ms) * LATENESS_WEIGHT
        )
        self._lateness_s = now_s

    def update_speed_factor(self, factor: float) -> None:
        """Apply the estimate of its speed."""
        self._speed_factor = factor

    def has_recent_load(self, now_s: float) -> bool:
        """Return whether its last report is recent enough to use."""
        return self._load is not None and now_s - self._load_s <= LOAD_TTL_S

    def other_requests(self, now_s: float) -> int:
        """Return the open requests of other routers by its last report."""
        if self._load is None or now_s - self._load_s > LOAD_TTL_S:
            return 0
        reported = self._load.running + self._load.waiting
        return max(0, reported - self._own_at_load)

    def other_waiting(self, now_s: float) -> int:
        """Return the queued requests of other routers."""
        if self._load is None or now_s - self._load_s > LOAD_TTL_S:
            return 0
        return max(0, self._load.waiting - len(self._waiting))

    def open_request(
        self,
        prefill_ms: float,
        urgency: int,
        now_s: float,
        prefill_tokens: float = 0.0,
        kv_tokens: int = 0,
    ) -> OpenRequest:
        """Count a request that is sent there."""
        self._in_flight += 1
        self._sent_s = now_s
        request = OpenRequest(
            prefill_ms, urgency, now_s, prefill_tokens, kv_tokens
        )
        self._waiting.add(request)
        self._own_load.opened(urgency, prefill_tokens, kv_tokens)
        return request

    def mark_started(self, request: OpenRequest) -> None:
        """Record that a request got its first event or its answer."""
        if request in self._waiting:
            self._waiting.remove(request)
            self._own_load.started(request.urgency, request.prefill_tokens)

    def close_request(self, request: OpenRequest | None = None) -> None:
        """Stop counting a request."""
        self._in_flight -= 1
        if request is not None:
            self._own_load.closed(request.kv_tokens)

    @property
    def copy_tokens(self) -> int:
        """Return the tokens of this router's runs whose copies are here."""
        return self._copy_tokens

    def open_copy(self, tokens: int) -> None:
        """Count a copy that is kept here."""
        self._copy_tokens += tokens

    def close_copy(self, tokens: int) -> None:
        """Stop counting the copy of a run that has ended."""
        self._copy_tokens -= tokens

    def record_success(self) -> None:
        """Reset the failure count: the upstream answers."""
        self._failures = 0

    def record_failure(self, now_s: float) -> None:
        """Count a failure; several in a row exclude the upstream."""
        self._failures += 1
        excess = self._failures - FAILURES_TO_EXCLUDE
        if excess >= 0:
            pause_s = min(EXCLUDE_MAX_S, EXCLUDE_BASE_S * 2**excess)
            self.exclude_for(now_s, pause_s)

    def record_refused_connection(self, now_s: float) -> None:
        """Count a failure and exclude the upstream: it has terminated.

        Its entry is removed only after its heartbeats have been missing for
        some seconds. If three failures were awaited, each router would send
        as many requests to each crashed engine.
        """
        self.record_failure(now_s)
        self._own_load.connection_failed(now_s)
        self.exclude_for(now_s, EXCLUDE_BASE_S)

    def record_unreachable(self, now_s: float) -> None:
        """Count a failure to connect that is not a refusal."""
        self.record_failure(now_s)
        self._own_load.connection_failed(now_s)

    def rest_for(self, now_s: float, duration_s: float) -> None:
        """Send no requests there for as long as it has asked for."""
        until_s = now_s + duration_s
        self._rests_until_s = max(self._rests_until_s, until_s)

    def limit_for(self, now_s: float, duration_s: float) -> None:
        """Send no requests there until its limit allows another one."""
        self._limited_until_s = now_s + duration_s

    def exclude_for(self, now_s: float, pause_s: float) -> None:
        """Send no requests there for a while."""
        until_s = now_s + pause_s
        self._excluded_until_s = max(self._excluded_until_s, until_s)

    def record_parts(
        self, cache_salt: str, prompt: Prompt, engine: Engine, now_s: float
    ) -> None:
        """Record the parts of a prompt as cached there."""
        self._sent_parts.record(cache_salt, prompt, engine, now_s)

    def missing_tokens(
        self, cache_salt: str, prompt: Prompt, now_s: float
    ) -> int:
        """Return the tokens of a prompt from its first uncached part on."""
        return self._sent_parts.missing_tokens(cache_salt, prompt, now_s)

    def has_part(self, cache_salt: str, part_id: str, now_s: float) -> bool:
        """Return whether a part was sent there lately."""
        return self._sent_parts.has(cache_salt, part_id, now_s)
