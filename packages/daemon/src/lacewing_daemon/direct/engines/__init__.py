"""Estimate the speed of each engine of contended services."""

from lacewing_daemon.direct.engines._model import EngineEstimate
from lacewing_daemon.direct.engines._model import EngineModels
from lacewing_daemon.direct.engines._model import FirstEvent
from lacewing_daemon.direct.engines._reporter import SpeedReporter
from lacewing_daemon.direct.engines._section import EngineSpeeds

__all__ = [
    'EngineEstimate',
    'EngineModels',
    'EngineSpeeds',
    'FirstEvent',
    'SpeedReporter',
]
