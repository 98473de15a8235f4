"""Estimate which parts of a prompt are cached and the prefill of the rest."""

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
    """Infer cached parts from what this router has sent, without queries."""

    def __init__(self, cluster_state: ClusterState) -> None:
        self._cluster_state = cluster_state

    def record_sent(
        self, target: Target, prompt: Prompt, engine: Engine, now_s: float
    ) -> None:
        """Record the parts that an upstream caches from now on."""
        if target.cache_salt is not None:
            target.state.record_parts(target.cache_salt, prompt, engine, now_s)

    def record_prefilled(
        self, target: Target, prompt: Prompt, now_s: float
    ) -> None:
        """Record that the KV store gets the prefilled parts.

        Not recorded when the prompt is sent: until prefill is done there is
        nothing to fetch, and prompts at other engines would rely on it.
        """
        if target.cache_salt is None or target.save_to is None:
            return
        for part in prompt.shared:
            self._cluster_state.mark_saved(
                target.cache_salt, part.part_id, now_s
            )

    def kv_store_for(self, prompt: Prompt) -> KvStore | None:
        """Return the KV store for a prompt, the same at all routers.

        Prompts are distributed over several stores by their longest shared
        part; with all of them in one store, its link and its memory would be
        the bottleneck.
        """
        routing_config = self._cluster_state.routing_config
        stores = () if routing_config is None else routing_config.kv_stores
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
        tokens_per_ms: float,
    ) -> float:
        """Return how long prefill takes, including KV fetches."""
        missing = state.missing_tokens(cache_salt, prompt, now_s)
        fetched = 0
        if kv_store is not None:
            fetched = self._fetchable(cache_salt, prompt, missing, now_s)
        prefill_ms = (missing - fetched) / tokens_per_ms
        if fetched and kv_store is not None:
            link = min(engine.link_bytes_per_s, kv_store.link_bytes_per_s)
            prefill_ms += fetched * engine.kv_token_bytes / link * _MS
        return prefill_ms

    def save_address(
        self,
        kv_store: KvStore | None,
        cache_salt: str,
        prompt: Prompt,
        now_s: float,
    ) -> str | None:
        """Return the KV store to save parts to, None if all are saved."""
        if kv_store is None:
            return None
        for part in prompt.shared:
            if not self._cluster_state.is_saved(
                cache_salt, part.part_id, now_s
            ):
                return kv_store.address
        return None

    def _fetchable(
        self, cache_salt: str, prompt: Prompt, missing: int, now_s: float
    ) -> int:
        """Return how many of the missing tokens the KV store has."""
        cached = prompt.tokens - missing
        stored = 0
        for part in prompt.shared:
            if not self._cluster_state.is_saved(
                cache_salt, part.part_id, now_s
            ):
                break
            stored += part.tokens
        return max(0, stored - cached)
