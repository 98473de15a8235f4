"""Weigh further upstream crashes against wrongly blocked requests."""

from lacewing_bench.crash_errors._model import Load
from lacewing_bench.crash_errors._model import Outcome
from lacewing_bench.crash_errors._model import play
from lacewing_bench.crash_errors._rules import COUNTED_2
from lacewing_bench.crash_errors._rules import COUNTED_3
from lacewing_bench.crash_errors._rules import EXPLAINED_2
from lacewing_bench.crash_errors._rules import EXPLAINED_4
from lacewing_bench.crash_errors._rules import NO_BLOCKING
from lacewing_bench.crash_errors._rules import USED

__all__ = [
    'COUNTED_2',
    'COUNTED_3',
    'EXPLAINED_2',
    'EXPLAINED_4',
    'Load',
    'NO_BLOCKING',
    'Outcome',
    'USED',
    'play',
]
