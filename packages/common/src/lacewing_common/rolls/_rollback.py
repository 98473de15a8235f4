"""Create the order that activates an earlier bundle again."""

from lacewing_common.bundles import read_trust
from lacewing_common.bundles import RollOrder
from lacewing_common.rolls._errors import RollError
from lacewing_common.rolls._errors import RollFault
from lacewing_common.rolls._reads import BundleHistory
from lacewing_common.rolls._reads import StoredHead
from lacewing_common.verdict import Refusal


async def make_rollback(
    history: BundleHistory,
    current: StoredHead,
    number: int,
    at: str,
    nonce: str,
) -> RollOrder | RollError:
    """Create the order of a rollback from the active roll to ``number``.

    A rollback must not restore a key that was revoked since: operators would
    look at teams and models only, and a stolen key could sign again.
    """
    earlier = await history.head_at(number)
    if isinstance(earlier, RollError):
        return earlier
    if earlier.proof.roll.digest == current.proof.roll.digest:
        return RollError(
            RollFault.CONFLICT,
            f'roll {current.head.version} already has the bundle of roll'
            f' {number}',
        )
    earlier_document = await history.document(earlier)
    if isinstance(earlier_document, RollError):
        return earlier_document
    trust = await history.trust(current)
    if isinstance(trust, RollError):
        return trust
    revoked = _revoked_operators(earlier_document.parts[0], trust)
    if revoked:
        return RollError(
            RollFault.REFUSED,
            f'roll {number} lists keys that were withdrawn since:'
            f' {", ".join(revoked)}; take its contents with "bundle show'
            f' --number {number}", keep the operators of now and sign',
        )
    return RollOrder(
        parts=earlier_document.parts,
        sign_offs=earlier.proof.sign_offs,
        at=at,
        nonce=nonce,
        again=number,
    )


def _revoked_operators(
    earlier_part: bytes, current_part: bytes
) -> tuple[str, ...]:
    earlier_trust = read_trust(earlier_part)
    current_trust = read_trust(current_part)
    if isinstance(earlier_trust, Refusal) or isinstance(
        current_trust, Refusal
    ):
        return ()
    valid = {operator.public_key for operator in current_trust.operators}
    names: list[str] = []
    for operator in earlier_trust.operators:
        if operator.public_key not in valid:
            names.append(operator.name)
    return tuple(names)
