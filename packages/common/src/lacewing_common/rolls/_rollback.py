"""Make the order that puts an earlier bundle in force again."""

from lacewing_common.bundles import read_trust
from lacewing_common.bundles import RollOrder
from lacewing_common.rolls._errors import RollError
from lacewing_common.rolls._errors import RollFault
from lacewing_common.rolls._reads import BundleHistory
from lacewing_common.rolls._reads import StoredHead
from lacewing_common.verdict import Refusal


async def make_rollback(
    reads: BundleHistory, now: StoredHead, number: int, at: str, nonce: str
) -> RollOrder | RollError:
    """Make the order of a rollback from the roll in force to ``number``.

    A rollback must not bring back a key that operators have withdrawn since:
    they would look at teams and models, and a stolen key could sign again.
    """
    earlier = await reads.head_at(number)
    if isinstance(earlier, RollError):
        return earlier
    if earlier.proof.roll.digest == now.proof.roll.digest:
        return RollError(
            RollFault.CONFLICT,
            f'roll {now.head.version} already has the bundle of roll {number}',
        )
    before = await reads.document(earlier)
    if isinstance(before, RollError):
        return before
    trust = await reads.trust(now)
    if isinstance(trust, RollError):
        return trust
    returning = _returning_operators(before.parts[0], trust)
    if returning:
        return RollError(
            RollFault.REFUSED,
            f'roll {number} lists keys that were withdrawn since:'
            f' {", ".join(returning)}; take its contents with "bundle show'
            f' --number {number}", keep the operators of now and sign',
        )
    return RollOrder(
        parts=before.parts,
        sign_offs=earlier.proof.sign_offs,
        at=at,
        nonce=nonce,
        again=number,
    )


def _returning_operators(before: bytes, present: bytes) -> tuple[str, ...]:
    old = read_trust(before)
    new = read_trust(present)
    if isinstance(old, Refusal) or isinstance(new, Refusal):
        return ()
    valid = {operator.public_key for operator in new.operators}
    names: list[str] = []
    for operator in old.operators:
        if operator.public_key not in valid:
            names.append(operator.name)
    return tuple(names)
