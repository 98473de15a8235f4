"""Share samples of the speed of engines with the other routers."""

from collections.abc import Callable

import msgspec

from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct.engines._model import EngineModels
from lacewing_daemon.direct.engines._sums import ServiceSums
from lacewing_daemon.direct.engines._sums import SpeedsMessage

SECTION_NAME = 'speeds'

_decoder = msgspec.msgpack.Decoder(SpeedsMessage)


class EngineSpeeds:
    """Hold the models of all services; a section of the exchange.

    ``is_engine`` returns whether a service has an upstream of an id. Samples
    of others are dropped, so that senders can't fill the memory.
    """

    def __init__(
        self, policy: LoadPolicy, is_engine: Callable[[str, str], bool]
    ) -> None:
        self._policy = policy
        self._is_engine = is_engine
        self._models: dict[str, EngineModels] = {}

    @property
    def name(self) -> str:
        """Return the name of the section."""
        return SECTION_NAME

    def models(self, service: str) -> EngineModels:
        """Return the models of a service's engines."""
        models = self._models.get(service)
        if models is None:
            models = EngineModels(self._policy)
            self._models[service] = models
        return models

    def forget_engine(self, service: str, upstream_id: str) -> None:
        """Drop the samples of an incarnation that has ended."""
        models = self._models.get(service)
        if models is not None:
            models.forget(upstream_id)

    def collect(self, now_s: float, full: bool) -> object | None:
        """Return this router's samples since the last message.

        The same for full messages: samples that are sent twice would count
        twice, and those of a lost message are soon replaced by newer ones.
        """
        services = {}
        for service, models in self._models.items():
            sums = models.collect()
            if sums is not None:
                services[service] = sums
        return SpeedsMessage(services) if services else None

    def apply(self, sender: str, data: bytes, now_s: float) -> None:
        """Add the samples of another router.

        Raises msgspec.DecodeError if the data is not a message; nothing of
        it is added then.
        """
        message = _decoder.decode(data)
        for service, sums in message.services.items():
            engines = {}
            for upstream_id, engine_sums in sums.engines.items():
                if self._is_engine(service, upstream_id):
                    engines[upstream_id] = engine_sums
            if engines:
                self.models(service).apply(
                    sender, ServiceSums(sums.fit, engines), now_s
                )

    def forget(self, sender: str) -> None:
        """Drop what is kept by sender."""
        for models in self._models.values():
            models.forget_sender(sender)
