"""Compare ways in which requests wait, on a model of engines."""

from lacewing_bench.queueing._load import BURST
from lacewing_bench.queueing._load import FLOOD
from lacewing_bench.queueing._load import Load
from lacewing_bench.queueing._load import STARVING
from lacewing_bench.queueing._simulation import Outcome
from lacewing_bench.queueing._simulation import play
from lacewing_bench.queueing._simulation import Rule

__all__ = [
    'BURST',
    'FLOOD',
    'Load',
    'Outcome',
    'Rule',
    'STARVING',
    'play',
]
