"""Create and verify signatures with operators' Ed25519 keys."""

from pathlib import Path

import msgspec
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey

from lacewing_common.bundle import Operator
from lacewing_common.settings import SettingsError

_OWNER_ONLY_MODE = 0o600


class OperatorKey(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Hold an operator's name and hex private key, as in the key file."""

    operator: str
    private_key: str

    @property
    def public(self) -> Operator:
        """Return the operator entry for a bundle or the settings."""
        key = self._private.public_key()
        return Operator(name=self.operator, public_key=key_hex(key))

    def sign(self, message: bytes) -> str:
        """Return the signature in hex."""
        return self._private.sign(message).hex()

    @property
    def _private(self) -> Ed25519PrivateKey:
        return Ed25519PrivateKey.from_private_bytes(
            bytes.fromhex(self.private_key)
        )


def new_key(operator: str) -> OperatorKey:
    """Generate a key for an operator."""
    private = Ed25519PrivateKey.generate()
    return OperatorKey(
        operator=operator, private_key=private.private_bytes_raw().hex()
    )


def key_hex(key: Ed25519PublicKey) -> str:
    """Return a public key in hex."""
    return key.public_bytes_raw().hex()


def write_key(path: Path, key: OperatorKey) -> None:
    """Write a key file readable by its owner only; never overwrite one."""
    path.touch(mode=_OWNER_ONLY_MODE, exist_ok=False)
    path.write_bytes(msgspec.json.encode(key) + b'\n')


def read_key(path: Path) -> OperatorKey:
    """Read a key file; raise SettingsError if it is invalid."""
    try:
        key = msgspec.json.decode(path.read_bytes(), type=OperatorKey)
        _ = key.public
    except (OSError, ValueError) as error:
        raise SettingsError(f'key file {path}: {error}') from error
    return key


def is_signed(operator: Operator, message: bytes, signature: str) -> bool:
    """Return whether a hex signature was made with an operator's key."""
    try:
        key = Ed25519PublicKey.from_public_bytes(
            bytes.fromhex(operator.public_key)
        )
        key.verify(bytes.fromhex(signature), message)
    except (ValueError, InvalidSignature):
        return False
    return True
