"""Know what of a prompt is kept where, and what reading the rest takes."""

from lacewing_daemon.direct._call import Prompt
from lacewing_daemon.direct._candidates import prompt_key
from lacewing_daemon.direct._cluster_state import ClusterState
from lacewing_daemon.direct._routing_config import Engine
from lacewing_daemon.direct._routing_config import KvStore
from lacewing_daemon.direct._target import Target
from lacewing_daemon.direct._upstream_state import UpstreamState
from lacewing_daemon.rendezvous import highest_ranked

_MS = 1000.0


class CachedParts:
    """Judge by what this router has sent; nothing is asked."""

    def __init__(self, cluster_state: ClusterState) -> None:
        self._knowledge = cluster_state

    def record_sent(
        self, target: Target, prompt: Prompt, engine: Engine, now_s: float
    ) -> None:
        """Remember which parts an upstream holds from now on."""
        if target.cache_salt is not None:
            target.state.record_parts(target.cache_salt, prompt, engine, now_s)

    def record_prefilled(
        self, target: Target, prompt: Prompt, now_s: float
    ) -> None:
        """Remember that the KV store gets the parts that were read.

        Not when they are sent: until they are read there is nothing to
        fetch, and prompts elsewhere would count on it.
        """
        if target.cache_salt is None or target.save_to is None:
            return
        for part in prompt.shared:
            self._knowledge.mark_saved(target.cache_salt, part.part_id, now_s)

    def kv_store_for(self, prompt: Prompt) -> KvStore | None:
        """Return the store for a prompt, the same at all routers.

        Several stores share the prompts out by their longest shared part;
        with all in one, its link and its memory would bound them all.
        """
        directory = self._knowledge.routing_config
        stores = () if directory is None else directory.kv_stores
        if not stores or not prompt.shared:
            return None
        if len(stores) == 1:
            return stores[0]
        addresses = tuple(sorted(store.address for store in stores))
        chosen = highest_ranked(prompt_key(prompt), addresses)
        for store in stores:
            if store.address == chosen:
                return store
        return None

    def prefill_ms(
        self,
        state: UpstreamState,
        cache_salt: str,
        prompt: Prompt,
        engine: Engine,
        kv_store: KvStore | None,
        now_s: float,
        speed: float,
    ) -> float:
        """Return how long an engine reads a prompt, fetching included."""
        missing = state.missing_tokens(cache_salt, prompt, now_s)
        fetched = 0
        if kv_store is not None:
            fetched = self._fetchable(cache_salt, prompt, missing, now_s)
        read_ms = (missing - fetched) / speed
        if fetched and kv_store is not None:
            link = min(engine.link_bytes_per_s, kv_store.link_bytes_per_s)
            read_ms += fetched * engine.kv_token_bytes / link * _MS
        return read_ms

    def save_address(
        self,
        kv_store: KvStore | None,
        cache_salt: str,
        prompt: Prompt,
        now_s: float,
    ) -> str | None:
        """Return where parts that are not kept yet are to be sent."""
        if kv_store is None:
            return None
        for part in prompt.shared:
            if not self._knowledge.is_saved(cache_salt, part.part_id, now_s):
                return kv_store.address
        return None

    def _fetchable(
        self, wall: str, prompt: Prompt, missing: int, now_s: float
    ) -> int:
        """Return how many of the missing tokens the KV store holds."""
        held = prompt.tokens - missing
        stored = 0
        for part in prompt.shared:
            if not self._knowledge.is_saved(wall, part.part_id, now_s):
                break
            stored += part.tokens
        return max(0, stored - held)
