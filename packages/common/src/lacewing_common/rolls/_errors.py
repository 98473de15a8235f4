"""Say why a bundle was not read or not rolled."""

from dataclasses import dataclass
from enum import Enum

from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault


class RollFault(Enum):
    """Tell what became of a call.

    UNKNOWN: the roll may have taken effect; rolling the same order again
    finds out and never rolls twice. All others: surely without effect.
    """

    CONFLICT = 'conflict'
    REFUSED = 'refused'
    NOT_FOUND = 'not-found'
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'


@dataclass(frozen=True)
class RollError:
    """Report a failed call to its operator."""

    fault: RollFault
    message: str


def roll_error_from(error: StoreError, what: str) -> RollError:
    """Report a read or an ineffective write that the platform failed."""
    fault = RollFault.UNAVAILABLE
    if error.fault is StoreFault.NOT_FOUND:
        fault = RollFault.NOT_FOUND
    return RollError(fault, f'{what}: {error.message}')
