"""Offer stand-ins of the workers that the system routes to."""

from lacewing_bench.standins._blocks import BLOCK_TOKENS
from lacewing_bench.standins._engine import Engine
from lacewing_bench.standins._faults import Crash
from lacewing_bench.standins._faults import CrossedAnswers
from lacewing_bench.standins._faults import CutStream
from lacewing_bench.standins._faults import Faults
from lacewing_bench.standins._faults import LateAnswers
from lacewing_bench.standins._faults import LoseEvents
from lacewing_bench.standins._host import StandinsHost
from lacewing_bench.standins._kv import KvStore
from lacewing_bench.standins._plain import PlainService
from lacewing_bench.standins._settings import ConfigError
from lacewing_bench.standins._settings import EngineConfig
from lacewing_bench.standins._settings import EngineCosts
from lacewing_bench.standins._settings import KvConfig
from lacewing_bench.standins._settings import LoadedAdapter
from lacewing_bench.standins._settings import LoadedModel
from lacewing_bench.standins._settings import parse_config
from lacewing_bench.standins._settings import PlainConfig
from lacewing_bench.standins._settings import read_config
from lacewing_bench.standins._settings import StandinsConfig

__all__ = [
    'BLOCK_TOKENS',
    'ConfigError',
    'Crash',
    'CrossedAnswers',
    'CutStream',
    'Engine',
    'EngineConfig',
    'EngineCosts',
    'Faults',
    'KvConfig',
    'KvStore',
    'LateAnswers',
    'LoadedAdapter',
    'LoadedModel',
    'LoseEvents',
    'PlainConfig',
    'PlainService',
    'StandinsConfig',
    'StandinsHost',
    'parse_config',
    'read_config',
]
