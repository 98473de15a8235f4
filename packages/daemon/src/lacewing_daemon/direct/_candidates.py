"""Select and order the candidate upstreams of a request."""

from collections.abc import Sequence
from hashlib import blake2b

from lacewing_daemon.direct._call import Prompt
from lacewing_daemon.direct._upstream_state import UpstreamState
from lacewing_daemon.rendezvous import rank_weighted
from lacewing_daemon.rendezvous import rank_workers

_KEY_BYTES = 8


def prompt_key(prompt: Prompt) -> bytes:
    """Return the rendezvous key of a prompt's longest shared part."""
    parts = prompt.parts[-1:] if not prompt.shared else prompt.shared[-1:]
    text = ''.join(part.part_id for part in parts)
    return blake2b(text.encode(), digest_size=_KEY_BYTES).digest()


def by_preference(
    prompt: Prompt,
    states: list[UpstreamState],
    shares: Sequence[float] | None = None,
) -> list[UpstreamState]:
    """Order engines by rendezvous hashing, so that all routers agree.

    ``shares``: the engines' relative shares of all subjects, None for equal
    ones. Slow engines that are first for as many subjects as fast ones have
    long queues, and their subjects move on to engines without them.

    Where several engines cost the same, all routers then send one subject
    to the same engine and different subjects to different engines. In the
    order of the list they would all choose the first idle engine.
    """
    ids = tuple(state.upstream.upstream_id for state in states)
    if len(ids) < 2:
        return states
    rank = {}
    key = prompt_key(prompt)
    if shares is None:
        ranked = rank_workers(key, ids, len(ids))
    else:
        ranked = rank_weighted(key, ids, shares)
    for position, upstream_id in enumerate(ranked):
        rank[upstream_id] = position
    return sorted(states, key=lambda state: rank[state.upstream.upstream_id])


def responsive_upstreams(
    states: list[UpstreamState], now_s: float
) -> list[UpstreamState]:
    """Return the upstreams that are not silent, or all if every one is."""
    responsive = [state for state in states if not state.is_silent(now_s)]
    return responsive or states
