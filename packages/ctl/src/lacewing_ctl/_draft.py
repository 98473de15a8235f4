"""Read and write the draft of a bundle and its sign-offs."""

from pathlib import Path

import msgspec
from lacewing_common.bundle import Bundle
from lacewing_common.bundles import contents_of_parts
from lacewing_common.bundles import Problem
from lacewing_common.bundles import read_bundle_text
from lacewing_common.bundles import RollOrder
from lacewing_common.bundles import SignOff
from lacewing_common.bundles import split
from lacewing_common.exits import Exit

from lacewing_ctl._exit import exit_with

_SIGNING_SUFFIX = '.signoff'
_INDENT = 2
_OWNER_ONLY_MODE = 0o600


class Signing(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Hold the state of a draft that is not part of the bundle.

    ``base`` is the roll that the draft was edited from, 0 for none. ``nonce``
    and ``at`` belong to the last attempt to roll the digest ``tried``. They
    are written before the attempt, so that one interrupted by a crash can be
    found again. ``done`` is the number of the roll that took effect, 0 before.
    """

    base: int = 0
    sign_offs: tuple[SignOff, ...] = ()
    tried: str = ''
    nonce: str = ''
    at: str = ''
    done: int = 0


class Draft:
    """Read and write the files of a draft."""

    def __init__(self, file: str) -> None:
        self._path = Path(str(file))
        self._signing_path = self._path.with_name(
            self._path.name + _SIGNING_SUFFIX
        )

    @property
    def path(self) -> Path:
        """Return the path of the bundle."""
        return self._path

    def text(self) -> bytes:
        """Return the JSON text, or exit if it can't be read."""
        try:
            return self._path.read_bytes()
        except OSError as error:
            exit_with(Exit.USAGE, f'bundle {self._path}: {error}')

    def check(self) -> Bundle | tuple[Problem, ...]:
        """Read and validate the bundle."""
        return read_bundle_text(self.text())

    def bundle(self) -> Bundle:
        """Read the bundle; print its problems and exit if it has any."""
        checked = self.check()
        if isinstance(checked, Bundle):
            return checked
        lines = '\n  '.join(str(problem) for problem in checked)
        exit_with(Exit.INVALID, f'{self._path}:\n  {lines}')

    def signing(self) -> Signing:
        """Read the signing state, or exit if it is malformed."""
        try:
            text = self._signing_path.read_bytes()
        except FileNotFoundError:
            return Signing()
        except OSError as error:
            exit_with(Exit.USAGE, f'sign-offs {self._signing_path}: {error}')
        try:
            return msgspec.json.decode(text, type=Signing)
        except msgspec.DecodeError as error:
            exit_with(Exit.USAGE, f'sign-offs {self._signing_path}: {error}')

    def write(self, bundle: Bundle) -> None:
        """Write the bundle as indented JSON."""
        text = msgspec.json.format(msgspec.json.encode(bundle), indent=_INDENT)
        _write_atomically(self._path, text + b'\n')

    def write_raw(self, raw: object) -> None:
        """Write edited JSON without validating it."""
        text = msgspec.json.format(msgspec.json.encode(raw), indent=_INDENT)
        _write_atomically(self._path, text + b'\n')

    def write_signing(self, signing: Signing) -> None:
        """Write the signing state."""
        text = msgspec.json.format(
            msgspec.json.encode(signing), indent=_INDENT
        )
        _write_atomically(self._signing_path, text + b'\n')


def digest_of(bundle: Bundle) -> str:
    """Return the digest of a bundle."""
    return contents_of_parts(split(bundle)).digest


def make_roll_order(
    bundle: Bundle, signing: Signing, above: int, trust_since: int
) -> RollOrder:
    """Make the order to roll a draft."""
    return RollOrder(
        parts=split(bundle),
        sign_offs=signing.sign_offs,
        at=signing.at,
        nonce=signing.nonce,
        above=above,
        trust_since=trust_since,
    )


def _write_atomically(path: Path, text: bytes) -> None:
    """Replace a file atomically, readable only by its owner.

    A draft contains the prefix secret.
    """
    temporary = path.with_name(path.name + '.new')
    temporary.unlink(missing_ok=True)
    temporary.touch(mode=_OWNER_ONLY_MODE)
    temporary.write_bytes(text)
    temporary.replace(path)
