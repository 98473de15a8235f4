"""Create operators' keys."""

from pathlib import Path

import msgspec
from lacewing_common.bundles import new_key
from lacewing_common.bundles import write_key
from lacewing_common.exits import Exit

from lacewing_ctl._exit import exit_with


def new(operator: str, out: str) -> None:
    """Make a key and print the row for the bundle's operators.

    Args:
        operator: the name of the person who will sign with it.
        out: the key file to write; it must not exist.
    """
    key = new_key(str(operator))
    try:
        write_key(Path(str(out)), key)
    except FileExistsError:
        exit_with(Exit.USAGE, f'{out} exists; a key is never overwritten')
    except OSError as error:
        exit_with(Exit.FAILED, f'key file {out}: {error}')
    print(msgspec.json.encode(key.public).decode())
