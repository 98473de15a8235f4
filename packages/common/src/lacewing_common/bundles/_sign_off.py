"""Create and verify the signatures of sign-offs and rolls."""

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

_SIGN_OFF_PREFIX = b'lacewing sign-off\n'
_ROLL_PREFIX = b'lacewing roll\n'
_SHOWN_DIGEST_CHARS = 12


class SignOffRole(Enum):
    """Name the role in which an operator signs."""

    AUTHOR = 'author'
    APPROVER = 'approver'


class SignOff(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one operator's signature over the digest of a bundle.

    ``at`` is the ISO 8601 time of the operator's machine.
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
        return _SIGN_OFF_PREFIX + msgspec.json.encode(unsigned)


class Roll(msgspec.Struct, frozen=True, kw_only=True):
    """Record which operator activated which bundle, with a signature.

    ``previous`` is the digest of the head that this roll replaces, '' for
    the first roll. ``nonce`` distinguishes this roll from other rolls of the
    same bundle. ``again`` is the number of the earlier roll that a rollback
    repeats, else 0.
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
        return _ROLL_PREFIX + msgspec.json.encode(unsigned)


def sign_off(
    digest: str, role: SignOffRole, at: str, key: OperatorKey
) -> SignOff:
    """Sign the digest of a bundle."""
    unsigned = SignOff(digest=digest, operator=key.operator, role=role, at=at)
    signature = key.sign(unsigned.message)
    return msgspec.structs.replace(unsigned, signature=signature)


def sign_roll(roll: Roll, key: OperatorKey) -> Roll:
    """Sign a roll whose operator is the owner of the key."""
    return msgspec.structs.replace(roll, signature=key.sign(roll.message))


def root_trust(operators: tuple[Operator, ...]) -> TrustPart:
    """Return the trust that applies before the first bundle."""
    return TrustPart(operators, Policies())


def check_sign_offs(
    sign_offs: tuple[SignOff, ...], digest: str, trust: TrustPart
) -> Refusal | None:
    """Verify that the sign-offs satisfy the active trust."""
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
    """Verify that an operator of the active bundle rolled this one."""
    if roll.digest != digest:
        return _not_signed(
            f'the roll by {roll.operator!r} is of'
            f' {roll.digest[:_SHOWN_DIGEST_CHARS]},'
            f' not of {digest[:_SHOWN_DIGEST_CHARS]}'
        )
    operator = _find_operator(trust, roll.operator)
    if operator is None:
        return _unknown_operator(f'rolled by {roll.operator!r}', trust)
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
            f' {signed.digest[:_SHOWN_DIGEST_CHARS]}, but the bundle is'
            f' {digest[:_SHOWN_DIGEST_CHARS]} by now; sign it again'
        )
    operator = _find_operator(trust, signed.operator)
    if operator is None:
        return _unknown_operator(f'signed off by {signed.operator!r}', trust)
    if not is_signed(operator, signed.message, signed.signature):
        return _not_signed(
            f'the signature by {signed.operator!r} was not made with the key'
            ' that is listed under this name'
        )
    return None


def _check_approver(
    sign_offs: tuple[SignOff, ...], trust: TrustPart
) -> Refusal | None:
    """Require an author, and an approver with a different key.

    Keys are compared because one person listed under two names could
    otherwise approve their own bundle.
    """
    authors: set[str] = set()
    approvers: set[str] = set()
    for signed in sign_offs:
        operator = _find_operator(trust, signed.operator)
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


def _find_operator(trust: TrustPart, name: str) -> Operator | None:
    for operator in trust.operators:
        if operator.name == name:
            return operator
    return None


def _unknown_operator(what: str, trust: TrustPart) -> Refusal:
    names = ', '.join(operator.name for operator in trust.operators)
    return _not_signed(f'{what}; the operators in force are: {names}')


def _not_signed(message: str) -> Refusal:
    return not_run(Reason.BUNDLE_NOT_SIGNED, f'bundle: {message}')
