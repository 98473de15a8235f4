"""Watch the worker: its epoch, its models and its load."""

import asyncio
import random
from collections.abc import Callable
from typing import TypeVar

import msgspec
from lacewing_common.decode_errors import DECODE_ERRORS
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.wait_event import wait_event

from lacewing_daemon.agent._load import EngineLoad
from lacewing_daemon.agent._load import LoadView
from lacewing_daemon.agent._metrics import EPOCH_CHANGES
from lacewing_daemon.agent._worker import Broken
from lacewing_daemon.agent._worker import Worker

_PERIOD_S = 1.0
_JITTER = 0.2
_SHORTEST_S = 0.05
_MOST_MISSES = 2

_T = TypeVar('_T')

_log = get_log(Part.WORKER)


class LoadedAdapter(msgspec.Struct, frozen=True):
    """Hold an adapter as loaded."""

    name: str
    version: str = ''


class LoadedModel(msgspec.Struct, frozen=True):
    """Hold a model as loaded."""

    id: str
    weights: str = ''
    adapters: tuple[LoadedAdapter, ...] = ()


class ModelList(msgspec.Struct, frozen=True):
    """Hold what ``GET /v1/models`` answers."""

    epoch: str = ''
    data: tuple[LoadedModel, ...] = ()

    def names(self) -> tuple[str, ...]:
        """Return the models as routers know them."""
        names: list[str] = []
        for model in self.data:
            names.append(f'{model.id}:{model.weights}')
            for adapter in model.adapters:
                names.append(
                    f'{model.id}:{model.weights}'
                    f':{adapter.name}@{adapter.version}'
                )
        return tuple(names)


class WorkerWatch:
    """Poll the worker about once a second and tell of changes.

    An empty epoch means that the worker does not answer.
    """

    def __init__(
        self,
        worker: Worker,
        load: LoadView,
        is_engine: Callable[[], bool],
        on_change: Callable[[], None],
    ) -> None:
        self._worker = worker
        self._load = load
        self._is_engine = is_engine
        self._on_change = on_change
        self._epoch = ''
        self._models: tuple[str, ...] = ()
        self._list = ModelList()
        self._listed = False
        self._misses = 0
        self._soon = asyncio.Event()

    @property
    def epoch(self) -> str:
        """Return the worker's present epoch, '' while it is away."""
        return self._epoch

    @property
    def models(self) -> tuple[str, ...]:
        """Return the loaded models, ``model:weights[:adapter@version]``."""
        return self._models

    @property
    def listed(self) -> bool:
        """Tell whether the worker has said what is loaded, if nothing."""
        return self._listed

    @property
    def loaded(self) -> tuple[LoadedModel, ...]:
        """Return the loaded models as the worker listed them."""
        return self._list.data

    def look_soon(self) -> None:
        """Poll at once: an answer showed that something changed."""
        self._soon.set()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            period_s = _PERIOD_S * random.uniform(1 - _JITTER, 1 + _JITTER)
            if not await wait_event(self._soon, period_s):
                continue
            self._soon.clear()
            await asyncio.sleep(_SHORTEST_S)

    async def poll(self) -> None:
        """Read load and models once."""
        answer = await self._worker.get('/load')
        load = _decode(answer, EngineLoad)
        models: ModelList | None = None
        if self._is_engine():
            # To a plain service any path is a call that it would execute.
            found = await self._worker.get('/v1/models')
            models = _decode(found, ModelList)
        if load is None:
            self._missed(answer)
            return
        self._misses = 0
        self._load.hear(load)
        self._listed = models is not None
        self._list = models or ModelList()
        names = self._list.names()
        epoch = load.epoch
        if models is not None and models.epoch:
            # The load report lags: after a restart it may still carry the
            # old epoch, whose cache is gone.
            epoch = models.epoch
        self._set(epoch, names)

    def _missed(self, answer: bytes | Broken) -> None:
        # A worker that is slow for a moment has lost nothing. Called away
        # at once, routers would forget what its cache holds and send the
        # next requests to cold workers; a refused connection is no moment.
        self._misses += 1
        refused = isinstance(answer, Broken) and not answer.reached
        if refused or self._misses >= _MOST_MISSES:
            self._listed = False
            self._list = ModelList()
            self._set('', ())

    def _set(self, epoch: str, models: tuple[str, ...]) -> None:
        if (epoch, models) == (self._epoch, self._models):
            return
        if epoch != self._epoch:
            EPOCH_CHANGES.inc()
            _log.info('epoch changed', before=self._epoch, now=epoch)
        self._epoch = epoch
        self._models = models
        self._on_change()


def _decode(found: bytes | Broken, kind: type[_T]) -> _T | None:
    if isinstance(found, Broken):
        return None
    try:
        return msgspec.json.decode(found, type=kind)
    except DECODE_ERRORS:
        return None
