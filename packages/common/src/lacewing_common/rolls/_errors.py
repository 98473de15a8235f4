"""Describe why a bundle could not be read or rolled."""

from dataclasses import dataclass
from enum import Enum

from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault


class RollFault(Enum):
    """Classify the outcome of a failed call.

    UNKNOWN: the roll may have taken effect; repeating the same order resolves
    this and never rolls twice. With all others, the call had no effect.
    """

    CONFLICT = 'conflict'
    REFUSED = 'refused'
    NOT_FOUND = 'not-found'
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'


@dataclass(frozen=True)
class RollError:
    """Describe a failed call to the operator."""

    fault: RollFault
    message: str


def roll_error_from(error: StoreError, what: str) -> RollError:
    """Convert the error of a read or of a write without effect."""
    fault = RollFault.UNAVAILABLE
    if error.fault is StoreFault.NOT_FOUND:
        fault = RollFault.NOT_FOUND
    return RollError(fault, f'{what}: {error.message}')
