"""Print status lines and exit with the code of an error."""

import sys
from typing import NoReturn

from lacewing_common.exits import Exit
from lacewing_common.rolls import RollError
from lacewing_common.rolls import RollFault

_EXIT_CODES = {
    RollFault.CONFLICT: Exit.CONFLICT,
    RollFault.REFUSED: Exit.REFUSED,
    RollFault.NOT_FOUND: Exit.FAILED,
    RollFault.UNAVAILABLE: Exit.FAILED,
    RollFault.UNKNOWN: Exit.UNKNOWN,
}


def exit_with(code: Exit, message: str) -> NoReturn:
    """Print a line to standard error and exit."""
    print(f'lacewingctl: {message}', file=sys.stderr)
    sys.exit(code)


def exit_with_error(error: RollError) -> NoReturn:
    """Exit with the code of the fault."""
    exit_with(_EXIT_CODES[error.fault], error.message)


def print_status(message: str) -> None:
    """Print a line to standard error."""
    print(f'lacewingctl: {message}', file=sys.stderr)
