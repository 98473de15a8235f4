"""Sign bundles off and roll them, each under an operator's name."""

from enum import Enum

import msgspec

from lacewing_common.bundle import Operator
from lacewing_common.bundle import Policies
from lacewing_common.bundles._parts import TrustPart
from lacewing_common.bundles._signatures import is_signed
from lacewing_common.bundles._signatures import OperatorKey
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal

_SIGN_OFF = b'lacewing sign-off\n'
_ROLL = b'lacewing roll\n'
_SHOWN = 12


class SignOffRole(Enum):
    """Tell why an operator signs."""

    AUTHOR = 'author'
    APPROVER = 'approver'


class SignOff(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one operator's signature over the digest of a bundle.

    ``at`` is the time in ISO 8601, as the operator's machine told it.
    """

    digest: str
    operator: str
    role: SignOffRole
    at: str
    signature: str = ''

    @property
    def message(self) -> bytes:
        """Return the bytes that the signature covers."""
        unsigned = msgspec.structs.replace(self, signature='')
        return _SIGN_OFF + msgspec.json.encode(unsigned)


class Roll(msgspec.Struct, frozen=True, kw_only=True):
    """Say who put which bundle in force; signed by that operator.

    ``previous`` is the digest of the head that this roll replaces, '' for
    the first. ``nonce`` tells this roll from any other of the same bundle.
    ``again`` is the number of the earlier roll that a rollback repeats.
    """

    number: int
    digest: str
    previous: str
    previous_bundle: str
    operator: str
    at: str
    nonce: str
    again: int = 0
    signature: str = ''

    @property
    def message(self) -> bytes:
        """Return the bytes that the signature covers."""
        unsigned = msgspec.structs.replace(self, signature='')
        return _ROLL + msgspec.json.encode(unsigned)


def sign_off(
    digest: str, role: SignOffRole, at: str, key: OperatorKey
) -> SignOff:
    """Sign the digest of a bundle."""
    unsigned = SignOff(digest=digest, operator=key.operator, role=role, at=at)
    signature = key.sign(unsigned.message)
    return msgspec.structs.replace(unsigned, signature=signature)


def sign_roll(roll: Roll, key: OperatorKey) -> Roll:
    """Sign a roll that names the key's operator."""
    return msgspec.structs.replace(roll, signature=key.sign(roll.message))


def root_trust(operators: tuple[Operator, ...]) -> TrustPart:
    """Return the trust that stands before the first bundle."""
    return TrustPart(operators, Policies())


def check_sign_offs(
    sign_offs: tuple[SignOff, ...], digest: str, trust: TrustPart
) -> Refusal | None:
    """Check that a bundle is signed off as the trust in force asks."""
    if not sign_offs:
        return _not_signed('nobody signed it off')
    for each in sign_offs:
        refusal = _check_sign_off(each, digest, trust)
        if refusal is not None:
            return refusal
    if not trust.policies.separate_approver:
        return None
    return _check_approver(sign_offs, trust)


def check_roll(roll: Roll, digest: str, trust: TrustPart) -> Refusal | None:
    """Check that an operator in force rolled this bundle."""
    if roll.digest != digest:
        return _not_signed(
            f'the roll by {roll.operator!r} is of {roll.digest[:_SHOWN]},'
            f' not of {digest[:_SHOWN]}'
        )
    operator = _find(trust, roll.operator)
    if operator is None:
        return _unknown(f'rolled by {roll.operator!r}', trust)
    if not is_signed(operator, roll.message, roll.signature):
        return _not_signed(
            f'the signature of the roll by {roll.operator!r} is wrong'
        )
    return None


def _check_sign_off(
    signed: SignOff, digest: str, trust: TrustPart
) -> Refusal | None:
    if signed.digest != digest:
        return _not_signed(
            f'the sign-off by {signed.operator!r} covers'
            f' {signed.digest[:_SHOWN]}, but the bundle is'
            f' {digest[:_SHOWN]} by now; sign it again'
        )
    operator = _find(trust, signed.operator)
    if operator is None:
        return _unknown(f'signed off by {signed.operator!r}', trust)
    if not is_signed(operator, signed.message, signed.signature):
        return _not_signed(
            f'the signature by {signed.operator!r} was not made with the key'
            ' that is listed under this name'
        )
    return None


def _check_approver(
    sign_offs: tuple[SignOff, ...], trust: TrustPart
) -> Refusal | None:
    """Ask for two persons and two keys.

    One person listed under two names could approve her own bundle; the
    names differ then, the keys do not.
    """
    authors: set[str] = set()
    approvers: set[str] = set()
    for signed in sign_offs:
        operator = _find(trust, signed.operator)
        if operator is None:
            continue
        if signed.role is SignOffRole.AUTHOR:
            authors.add(operator.public_key)
            continue
        approvers.add(operator.public_key)
    if not authors:
        return _not_signed('the policy asks for the sign-off of an author')
    if not approvers - authors:
        return _not_signed(
            'the policy asks for an approver who is not the author'
        )
    return None


def _find(trust: TrustPart, name: str) -> Operator | None:
    for operator in trust.operators:
        if operator.name == name:
            return operator
    return None


def _unknown(what: str, trust: TrustPart) -> Refusal:
    names = ', '.join(operator.name for operator in trust.operators)
    return _not_signed(f'{what}; the operators in force are: {names}')


def _not_signed(message: str) -> Refusal:
    return not_run(Reason.BUNDLE_NOT_SIGNED, f'bundle: {message}')
