"""Hold what one router knows of one upstream beyond its entry."""

from collections import OrderedDict
from dataclasses import dataclass
from math import exp

from lacewing_daemon.direct._call import Prompt
from lacewing_daemon.direct._routing_config import Engine
from lacewing_daemon.direct._silence_history import SilenceHistory
from lacewing_daemon.direct._site import UpstreamLoad
from lacewing_daemon.direct._upstream import Upstream

_MS = 1000.0
# Told loads are some hundred ms old when they matter; older ones mislead.
TOLD_FRESH_S = 0.6
# Parts are evicted within seconds; what was sent longer ago is not relied on.
HELD_S = 8.0
# How much of the newest lateness is taken, how fast it fades, and the most
# that one first event counts for, so that a single one shuns no engine.
EXCESS_WEIGHT = 0.5
EXCESS_FADES_S = 1.0
MOST_EXCESS_MS = 300.0
# Failures in a row after which an upstream is left alone for a while.
FAILURES_TO_SHUN = 3
# Medians of first events are 0.03 to 0.15 s, and a loaded engine is heard all
# the time; a request alone with a long prompt may be quiet for longer. The
# value itself was chosen, not measured: twice the longest silence seen.
SILENT_S = 0.35
SILENT_TIMES = 2.0
# However slow engines are, one that lost its power gets no more after this:
# its connections show it after 1.5 s.
MOST_SILENT_S = 0.9
SHUN_BASE_S = 0.5
SHUN_CAP_S = 4.0


# An engine reads prompts in pieces of so many tokens; one that is under way
# is half read on average.
PIECE_TOKENS = 4096


@dataclass(frozen=True, eq=False)
class OpenRequest:
    """Hold what one open request adds to an upstream's load."""

    prefill_ms: float
    urgency: int
    sent_s: float


class UpstreamState:
    """Track one incarnation of an upstream.

    ``silence_history`` is that of its service, learnt from all its upstreams.
    """

    def __init__(
        self, upstream: Upstream, silence_history: SilenceHistory | None = None
    ) -> None:
        self._upstream = upstream
        self._pace = (
            SilenceHistory() if silence_history is None else silence_history
        )
        self._ended = False
        self._in_flight = 0
        self._sent_s = 0.0
        self._heard_s = 0.0
        self._waiting: set[OpenRequest] = set()
        self._weights = dict(upstream.weights)
        self._told: UpstreamLoad | None = None
        self._told_s = 0.0
        self._told_own = 0
        self._copy_tokens = 0
        self._excess_ms = 0.0
        self._excess_s = 0.0
        self._failures = 0
        self._shunned_until_s = 0.0
        self._held: OrderedDict[tuple[str, str], float] = OrderedDict()

    @property
    def upstream(self) -> Upstream:
        """Return the upstream's entry."""
        return self._upstream

    @property
    def replaced(self) -> bool:
        """Tell whether the upstream has started again since."""
        return self._ended

    @property
    def silence_history(self) -> SilenceHistory:
        """Return the pace of its service's upstreams."""
        return self._pace

    @property
    def in_flight(self) -> int:
        """Return this router's open requests there."""
        return self._in_flight

    def idle_s(self, now_s: float) -> float:
        """Return the time since a request was sent there."""
        return now_s - self._sent_s

    def waiting_count(self, urgency: int) -> int:
        """Return those without a first event that go before an urgency."""
        count = 0
        for ticket in self._waiting:
            if ticket.urgency <= urgency:
                count += 1
        return count

    def queued_prefill_ms(self, urgency: int, tokens_per_ms: float) -> float:
        """Return the reading that goes before a request of an urgency.

        Of what is less urgent at most the piece that is being read.
        """
        before_ms = 0.0
        after_ms = 0.0
        for ticket in self._waiting:
            if ticket.urgency <= urgency:
                before_ms += ticket.prefill_ms
            else:
                after_ms += ticket.prefill_ms
        return before_ms + min(after_ms, PIECE_TOKENS / 2 / tokens_per_ms)

    def update(self, upstream: Upstream) -> None:
        """Take a new entry; one that is leaving never comes back.

        Entries are read in the order in which they were written. One with a
        lower version than the entry before says that the engine went back,
        as by an order that was late; taken for old news, it would be asked
        for weights that it refuses for ever, and be ordered none.
        """
        if self._upstream.leaving and not upstream.leaving:
            return
        before = self._upstream.weights
        self._upstream = upstream
        for model, version in upstream.weights.items():
            if version < before.get(model, 0):
                self._weights[model] = version
                continue
            self.update_weights(model, version)

    def mark_replaced(self) -> None:
        """Note that the upstream has started again, under another state.

        Requests that are still open there go on counting here, and nothing
        that was learnt here is true of the new start.
        """
        self._ended = True

    def is_usable(self, now_s: float) -> bool:
        """Tell whether requests may be sent there now."""
        if self._ended or self._upstream.leaving:
            return False
        return now_s >= self._shunned_until_s

    def is_silent(self, now_s: float) -> bool:
        """Tell whether requests wait there and nothing at all is heard.

        An upstream that lost its power answers nothing, and a request that
        must not repeat is lost with it. Connections show that after 1.5 s;
        by then each router has sent it many more. A busy upstream is heard:
        its other answers go on. One that reads a long prompt alone gives
        nothing until it has read it.
        """
        if not self._waiting:
            return False
        oldest_s = min(
            ticket.sent_s + ticket.prefill_ms / _MS for ticket in self._waiting
        )
        silent_s = now_s - max(oldest_s, self._heard_s)
        if silent_s <= SILENT_S:
            return False
        usual_s = self._pace.usual_silence_s(now_s) * SILENT_TIMES
        return silent_s > min(usual_s, MOST_SILENT_S)

    def since_last_data_s(self, now_s: float) -> float:
        """Return the time since anything came from the upstream."""
        return now_s - self._heard_s

    def data_received(self, now_s: float) -> None:
        """Note that anything came from the upstream."""
        self._heard_s = now_s

    def weights(self, model: str) -> int | None:
        """Return the version of a model's weights there."""
        return self._weights.get(model)

    def update_weights(self, model: str, version: int) -> None:
        """Take a version that the upstream told; versions only grow."""
        if version > self._weights.get(model, 0):
            self._weights[model] = version

    def update_load(self, load: UpstreamLoad, now_s: float) -> None:
        """Take the load told with an answer."""
        self._told = load
        self._told_s = now_s
        self._told_own = self._in_flight

    def lateness_ms(self, now_s: float) -> float:
        """Return how much later than counted first events come of late.

        What other routers sent there is only known once an answer tells of
        it, and an engine under load reads more slowly. Both show in this
        router's own first events. Fades within a second or two, so that an
        engine that has nothing to answer is tried again.
        """
        age_s = max(0.0, now_s - self._excess_s)
        return self._excess_ms * exp(-age_s / EXCESS_FADES_S)

    def record_lateness(self, late_ms: float, now_s: float) -> None:
        """Take by how much a first event came later than counted."""
        seen_ms = min(MOST_EXCESS_MS, max(0.0, late_ms))
        before_ms = self.lateness_ms(now_s)
        self._excess_ms = before_ms + (seen_ms - before_ms) * EXCESS_WEIGHT
        self._excess_s = now_s

    def other_requests(self, now_s: float) -> int:
        """Return other routers' open requests there, by its last word."""
        if self._told is None or now_s - self._told_s > TOLD_FRESH_S:
            return 0
        told = self._told.running + self._told.waiting
        return max(0, told - self._told_own)

    def other_waiting(self, now_s: float) -> int:
        """Return requests waiting there beyond this router's own."""
        if self._told is None or now_s - self._told_s > TOLD_FRESH_S:
            return 0
        return max(0, self._told.waiting - len(self._waiting))

    def open_request(
        self, prefill_ms: float, urgency: int, now_s: float
    ) -> OpenRequest:
        """Count a request that is sent there."""
        self._in_flight += 1
        self._sent_s = now_s
        ticket = OpenRequest(prefill_ms, urgency, now_s)
        self._waiting.add(ticket)
        return ticket

    def mark_started(self, ticket: OpenRequest) -> None:
        """Count that a request got its first event or its answer."""
        self._waiting.discard(ticket)

    def close_request(self) -> None:
        """Count that a request has ended."""
        self._in_flight -= 1

    @property
    def copy_tokens(self) -> int:
        """Return the memory of runs elsewhere that this router copies here."""
        return self._copy_tokens

    def open_copy(self, tokens: int) -> None:
        """Count a copy that is kept here."""
        self._copy_tokens += tokens

    def close_copy(self, tokens: int) -> None:
        """Count that a run of which a copy was kept here has ended."""
        self._copy_tokens -= tokens

    def record_success(self) -> None:
        """Forget failures: the upstream answers."""
        self._failures = 0

    def record_failure(self, now_s: float) -> None:
        """Count a failure; several in a row shun the upstream."""
        self._failures += 1
        excess = self._failures - FAILURES_TO_SHUN
        if excess >= 0:
            pause_s = min(SHUN_CAP_S, SHUN_BASE_S * 2**excess)
            self.exclude_for(now_s, pause_s)

    def record_refused_connection(self, now_s: float) -> None:
        """Count a failure and leave the upstream alone: it has ended.

        Its entry goes only after its heartbeats have been missed for some
        seconds. Where three failures were awaited, each router sent as many
        requests to each crashed engine.
        """
        self.record_failure(now_s)
        self.exclude_for(now_s, SHUN_BASE_S)

    def exclude_for(self, now_s: float, pause_s: float) -> None:
        """Send nothing there for a while."""
        until_s = now_s + pause_s
        self._shunned_until_s = max(self._shunned_until_s, until_s)

    def record_parts(
        self, cache_salt: str, prompt: Prompt, engine: Engine, now_s: float
    ) -> None:
        """Note the parts of a prompt as held there."""
        for part in prompt.parts:
            key = (cache_salt, part.part_id)
            self._held[key] = now_s
            self._held.move_to_end(key)
        most = max(1, engine.kv_tokens // _TOKENS_A_PART)
        while len(self._held) > most:
            self._held.popitem(last=False)

    def missing_tokens(
        self, cache_salt: str, prompt: Prompt, now_s: float
    ) -> int:
        """Return the tokens of a prompt from its first part not held on."""
        missing = prompt.tokens
        for part in prompt.parts:
            if not self.has_part(cache_salt, part.part_id, now_s):
                break
            missing -= part.tokens
        return max(0, missing)

    def has_part(self, cache_salt: str, part_id: str, now_s: float) -> bool:
        """Tell whether a part was sent there lately."""
        seen_s = self._held.get((cache_salt, part_id))
        return seen_s is not None and now_s - seen_s <= HELD_S


# Parts of prompts here have some thousand tokens; only the number of parts
# that are remembered follows from it.
_TOKENS_A_PART = 2000
