"""Order the upstreams that a request may go to."""

from hashlib import blake2b

from lacewing_daemon.direct._call import Prompt
from lacewing_daemon.direct._upstream_state import UpstreamState
from lacewing_daemon.rendezvous import rank_workers

_KEY_BYTES = 8


def prompt_key(prompt: Prompt) -> bytes:
    """Return the key of a prompt's longest shared part."""
    part = prompt.parts[-1:] if not prompt.shared else prompt.shared[-1:]
    text = ''.join(one.part_id for one in part)
    return blake2b(text.encode(), digest_size=_KEY_BYTES).digest()


def by_preference(
    prompt: Prompt, states: list[UpstreamState]
) -> list[UpstreamState]:
    """Order engines for a prompt alike at all routers.

    Where several cost the same, routers then send one subject to one engine
    and different subjects to different ones. In the order of the list all
    of them would meet at the first idle engine.
    """
    ids = tuple(state.upstream.upstream_id for state in states)
    if len(ids) < 2:
        return states
    rank = {}
    key = prompt_key(prompt)
    for position, name in enumerate(rank_workers(key, ids, len(ids))):
        rank[name] = position
    return sorted(states, key=lambda one: rank[one.upstream.upstream_id])


def responsive_upstreams(
    states: list[UpstreamState], now_s: float
) -> list[UpstreamState]:
    """Leave out upstreams that have fallen silent, unless all have."""
    answering = [state for state in states if not state.is_silent(now_s)]
    return answering or states
