"""Roll bundles at the platform and read the roll history."""

from lacewing_common.rolls._diff import diff_bundles
from lacewing_common.rolls._diff import Difference
from lacewing_common.rolls._errors import RollError
from lacewing_common.rolls._errors import RollFault
from lacewing_common.rolls._reads import BundleHistory
from lacewing_common.rolls._reads import HistoryEntry
from lacewing_common.rolls._reads import StoredHead
from lacewing_common.rolls._rollback import make_rollback
from lacewing_common.rolls._writes import BundleRoller
from lacewing_common.rolls._writes import RollResult

__all__ = [
    'BundleHistory',
    'BundleRoller',
    'Difference',
    'HistoryEntry',
    'RollError',
    'RollFault',
    'RollResult',
    'StoredHead',
    'diff_bundles',
    'make_rollback',
]
