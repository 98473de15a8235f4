"""Compare estimates of the speed of engines on a model of their load."""

from lacewing_bench.engine_speeds._outcome import mean_errors
from lacewing_bench.engine_speeds._outcome import outcome_of
from lacewing_bench.engine_speeds._routers import EngineRouter
from lacewing_bench.engine_speeds._simulation import Load
from lacewing_bench.engine_speeds._simulation import Observation
from lacewing_bench.engine_speeds._simulation import play
from lacewing_bench.engine_speeds._simulation import SpeedChange

__all__ = [
    'EngineRouter',
    'Load',
    'Observation',
    'SpeedChange',
    'mean_errors',
    'outcome_of',
    'play',
]
