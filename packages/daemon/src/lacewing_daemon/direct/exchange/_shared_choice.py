"""Choose among engines by the load of all routers.

Pure functions on snapshots: no clock, no input or output.
"""

from collections.abc import Mapping
from collections.abc import Sequence
from math import inf
from random import Random

from lacewing_daemon.direct._choice import EngineView
from lacewing_daemon.direct._choice import NoCapacity
from lacewing_daemon.direct._choice import place_prompt
from lacewing_daemon.direct._choice import Placement
from lacewing_daemon.direct._choice import SendBounds
from lacewing_daemon.direct._policy import LoadPolicy

# An engine is chosen among this many at a time. The load of others is some
# hundred ms old: if all engines were compared, all routers would send to the
# one that was free then.
CANDIDATES = 4
# Of the first candidates, those that all routers prefer for the subject of
# the prompt; the others are random.
PREFERRED = 2

_NO_BOUNDS = SendBounds(inf, inf)


def spread(engines: Sequence[EngineView], random: Random) -> list[EngineView]:
    """Move a random engine next to the first two in order of preference.

    Several routers that see the same free engine compare it with different
    others, and most of them not at all.
    """
    order = list(engines)
    if len(order) > CANDIDATES:
        drawn = order.pop(random.randrange(PREFERRED, len(order)))
        order.insert(PREFERRED, drawn)
    return order


def place_shared(
    engines: Sequence[EngineView],
    left_ms: float,
    policy: LoadPolicy,
    answer_tokens: int = 0,
    margin_ms: float = 0.0,
    candidates: int = CANDIDATES,
) -> Placement | NoCapacity:
    """Place a prompt at the best of the first engines where one fits.

    Load pattern: many routers that know each other's load with a delay
    ("power of two choices" with stale information). Where no engine of the
    first few is expected to answer within ``left_ms``, the next ones are
    compared. Of many engines, the one that seems free is likely one of which
    news are missing, so there the first event must be expected ``margin_ms``
    sooner: the time in which others may have sent unknown prompts. The bounds
    on one router's requests don't apply.
    """
    missing = NoCapacity(inf)
    limit_ms = left_ms
    for start in range(0, max(1, len(engines)), candidates):
        placed = place_prompt(
            engines[start : start + candidates],
            limit_ms,
            policy,
            answer_tokens,
            _NO_BOUNDS,
        )
        if isinstance(placed, Placement):
            return placed
        if placed.retry_after_ms < missing.retry_after_ms:
            missing = placed
        limit_ms = left_ms - margin_ms
    return missing


def queued_tokens(
    own: Mapping[int, float],
    others: Mapping[int, float],
    urgency: int,
    chunk_tokens: int,
) -> float:
    """Return the tokens that precede a prompt of a given urgency.

    Of less urgent prompts only the chunk that is being prefilled counts, and
    half of it is done on average.
    """
    before = after = 0.0
    for waiting in (own, others):
        for other_urgency, tokens in waiting.items():
            if other_urgency <= urgency:
                before += tokens
            else:
                after += tokens
    return before + min(after, chunk_tokens / 2)


def has_room(
    in_flight: int, slots: int, used_tokens: int, tokens: int, kv_tokens: int
) -> bool:
    """Return whether an engine has a slot and memory for a prompt.

    ``in_flight`` and ``used_tokens`` are those of all routers, ``tokens``
    what the prompt and its answer take. A limit of 0 is unknown. An engine
    without requests takes any prompt; it answers if that is too long.
    """
    if in_flight <= 0:
        return True
    if slots and in_flight >= slots:
        return False
    return not kv_tokens or used_tokens + tokens <= kv_tokens
