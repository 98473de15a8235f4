"""Compare revisions and policy settings on simulated deployment days."""

from lacewing_bench.policy_trials._plan import Arm
from lacewing_bench.policy_trials._plan import parse_arms
from lacewing_bench.policy_trials._plan import parse_plays
from lacewing_bench.policy_trials._plan import Play
from lacewing_bench.policy_trials._report import report
from lacewing_bench.policy_trials._results import Result
from lacewing_bench.policy_trials._results import Results
from lacewing_bench.policy_trials._statistics import compare
from lacewing_bench.policy_trials._statistics import Difference

__all__ = [
    'Arm',
    'compare',
    'Difference',
    'Play',
    'parse_arms',
    'parse_plays',
    'report',
    'Result',
    'Results',
]
