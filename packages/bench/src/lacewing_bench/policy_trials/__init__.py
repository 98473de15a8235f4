"""Compare revisions and settings of the product on days of deployments."""

from lacewing_bench.policy_trials._plan import Arm
from lacewing_bench.policy_trials._plan import Play
from lacewing_bench.policy_trials._plan import read_arms
from lacewing_bench.policy_trials._plan import read_plays
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
    'read_arms',
    'read_plays',
    'report',
    'Result',
    'Results',
]
