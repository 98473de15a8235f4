"""Define the exit codes of both executables."""

from enum import IntEnum

SIGNAL_BASE = 128


class Exit(IntEnum):
    """List the exit codes; 128 + n: terminated immediately by signal n."""

    OK = 0
    FAILED = 1
    USAGE = 2
    ADDRESS_IN_USE = 3
    DRAIN_INCOMPLETE = 4
    INVALID = 5
    REFUSED = 6
    CONFLICT = 7
    UNKNOWN = 8
    UNCONFIRMED = 9
    TAMPERED = 10
