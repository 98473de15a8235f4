"""Read the bundle of a roll."""

from lacewing_common.bundle import RolledBundle
from lacewing_common.bundles import assemble
from lacewing_common.rolls import RollError
from lacewing_common.rolls import RollFault
from lacewing_common.verdict import Refusal

from lacewing_ctl._session import Session


async def fetch_bundle(
    session: Session, number: int
) -> RolledBundle | RollError:
    """Read the bundle of a roll, 0 for the active one; verify its signatures.

    The contents are not validated, so that operators can repair a bundle.
    """
    history = session.bundle_history
    stored = await (history.head_at(number) if number else history.head())
    if isinstance(stored, RollError):
        return stored
    document = await history.signed_document(stored)
    if isinstance(document, RollError):
        return document
    rolled = assemble(document)
    if isinstance(rolled, Refusal):
        return RollError(RollFault.REFUSED, rolled.message)
    return rolled
