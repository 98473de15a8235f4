"""End a command with an exit code and a line for its reader."""

import sys
from typing import NoReturn

from lacewing_common.exits import Exit
from lacewing_common.rolls import RollError
from lacewing_common.rolls import RollFault

_CODES = {
    RollFault.CONFLICT: Exit.CONFLICT,
    RollFault.REFUSED: Exit.REFUSED,
    RollFault.NOT_FOUND: Exit.FAILED,
    RollFault.UNAVAILABLE: Exit.FAILED,
    RollFault.UNKNOWN: Exit.UNKNOWN,
}


def exit_with(code: Exit, message: str) -> NoReturn:
    """Print a line to standard error and end."""
    print(f'lacewingctl: {message}', file=sys.stderr)
    sys.exit(code)


def exit_with_error(error: RollError) -> NoReturn:
    """End with the code that fits the fault."""
    exit_with(_CODES[error.fault], error.message)


def print_status(message: str) -> None:
    """Print a line to standard error and go on."""
    print(f'lacewingctl: {message}', file=sys.stderr)
