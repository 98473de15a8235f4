"""Keep the bundle that an operator works on, beside its sign-offs."""

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

_SUFFIX = '.signoff'
_INDENT = 2
_OWNER_ONLY = 0o600


class Signing(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Hold what belongs to a draft but not into the bundle.

    ``base`` is the roll it was edited from, 0 for none. ``nonce`` and ``at``
    are those of the last try to roll the digest ``tried``; they are written
    before the try, so that one cut off by a crash is found again. ``done`` is
    the number under which it took effect, 0 before.
    """

    base: int = 0
    sign_offs: tuple[SignOff, ...] = ()
    tried: str = ''
    nonce: str = ''
    at: str = ''
    done: int = 0


class Draft:
    """Hold the paths of a draft and read and write its files."""

    def __init__(self, file: str) -> None:
        self._path = Path(str(file))
        self._signing_path = self._path.with_name(self._path.name + _SUFFIX)

    @property
    def path(self) -> Path:
        """Return the path of the bundle."""
        return self._path

    def text(self) -> bytes:
        """Return the JSON text; end when there is none."""
        try:
            return self._path.read_bytes()
        except OSError as error:
            exit_with(Exit.USAGE, f'bundle {self._path}: {error}')

    def check(self) -> Bundle | tuple[Problem, ...]:
        """Read the bundle and check all of it."""
        return read_bundle_text(self.text())

    def bundle(self) -> Bundle:
        """Read the bundle; end with its problems if it has any."""
        checked = self.check()
        if isinstance(checked, Bundle):
            return checked
        lines = '\n  '.join(str(problem) for problem in checked)
        exit_with(Exit.INVALID, f'{self._path}:\n  {lines}')

    def signing(self) -> Signing:
        """Read base and sign-offs; end when they are malformed."""
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
        """Write the bundle for people to edit."""
        text = msgspec.json.format(msgspec.json.encode(bundle), indent=_INDENT)
        _replace(self._path, text + b'\n')

    def write_raw(self, raw: object) -> None:
        """Write edited JSON, valid or not."""
        text = msgspec.json.format(msgspec.json.encode(raw), indent=_INDENT)
        _replace(self._path, text + b'\n')

    def write_signing(self, signing: Signing) -> None:
        """Write base and sign-offs."""
        text = msgspec.json.format(
            msgspec.json.encode(signing), indent=_INDENT
        )
        _replace(self._signing_path, text + b'\n')


def digest_of(bundle: Bundle) -> str:
    """Return the digest of a bundle."""
    return contents_of_parts(split(bundle)).digest


def order_of(
    bundle: Bundle, signing: Signing, above: int, trust_since: int
) -> RollOrder:
    """Make the order of a draft that is about to be tried."""
    return RollOrder(
        parts=split(bundle),
        sign_offs=signing.sign_offs,
        at=signing.at,
        nonce=signing.nonce,
        above=above,
        trust_since=trust_since,
    )


def _replace(path: Path, text: bytes) -> None:
    """Write a file whole or not at all, for its owner alone.

    A draft holds the prefix secret.
    """
    fresh = path.with_name(path.name + '.new')
    fresh.unlink(missing_ok=True)
    fresh.touch(mode=_OWNER_ONLY)
    fresh.write_bytes(text)
    fresh.replace(path)
