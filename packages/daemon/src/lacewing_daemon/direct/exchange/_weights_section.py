"""Tell other routers which weights engines have loaded.

This module does no I/O; times are given by the caller.
"""

from collections.abc import Mapping
from itertools import islice

import msgspec

from lacewing_daemon.direct._cluster_state import ClusterState

# A message may be lost, and a receiver may not know of the release yet.
REPEATS = 3
# Bounds what a peer may add to a message; the rest follows with the next one.
MAX_ENGINES = 64


class _Loaded(msgspec.Struct, frozen=True, array_like=True):
    """Hold the versions of one incarnation of an engine by model."""

    started_ms: int
    versions: dict[str, int]


_decoder = msgspec.msgpack.Decoder(dict[str, _Loaded])


class WeightsSection:
    """Tell of loads that have ended, and learn of them from others.

    Load pattern: new weights at all engines within seconds. A router that
    does not know of a load asks for the old version and is refused, once for
    each engine; with many routers this uses up the retry budget.
    """

    def __init__(self, cluster_state: ClusterState) -> None:
        self._cluster_state = cluster_state
        self._told: dict[str, _Loaded] = {}
        self._pending: dict[str, int] = {}

    @property
    def name(self) -> str:
        """Return the name of the section."""
        return 'weights'

    def collect(self, now_s: float, full: bool) -> object | None:
        """Return the engines whose weights changed lately."""
        loaded = self._loaded()
        for upstream_id in self._told.keys() - loaded.keys():
            del self._told[upstream_id]
            self._pending.pop(upstream_id, None)
        for upstream_id, versions in loaded.items():
            if self._told.get(upstream_id) != versions:
                self._told[upstream_id] = versions
                self._pending[upstream_id] = REPEATS
        news = {}
        for upstream_id in tuple(islice(self._pending, MAX_ENGINES)):
            news[upstream_id] = loaded[upstream_id]
            self._pending[upstream_id] -= 1
            if not self._pending[upstream_id]:
                del self._pending[upstream_id]
        return news or None

    def apply(self, sender: str, data: bytes, now_s: float) -> None:
        """Apply versions that were released; raises ``DecodeError``.

        Others are ignored: an engine whose version is wrong here refuses
        all requests until its entry in the store changes.
        """
        for upstream_id, loaded in _decoder.decode(data).items():
            state = self._cluster_state.upstream(upstream_id)
            if state is None or state.replaced:
                continue
            if state.upstream.started_ms != loaded.started_ms:
                continue
            self._apply_versions(upstream_id, loaded.versions)

    def forget(self, sender: str) -> None:
        """Keep what a lost router has told: loads don't end with it."""

    def _apply_versions(
        self, upstream_id: str, versions: Mapping[str, int]
    ) -> None:
        state = self._cluster_state.upstream(upstream_id)
        assert state is not None
        for model, version in versions.items():
            if state.weights(model) is None:
                continue
            released = self._cluster_state.current_release(model).version
            if version <= released:
                self._cluster_state.update_weights(state, model, version)

    def _loaded(self) -> dict[str, _Loaded]:
        loaded = {}
        for upstream_id, state in self._cluster_state.upstreams.items():
            upstream = state.upstream
            if not self._cluster_state.is_contended(upstream.service):
                continue
            versions = {}
            for model in self._cluster_state.models(upstream):
                version = state.weights(model)
                if version is not None:
                    versions[model] = version
            if versions:
                loaded[upstream_id] = _Loaded(upstream.started_ms, versions)
        return loaded
