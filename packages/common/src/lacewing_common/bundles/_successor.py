"""Create the document that replaces the active one."""

from dataclasses import dataclass

from lacewing_common.bundles._parts import contents_of_parts
from lacewing_common.bundles._proof import encode_proof
from lacewing_common.bundles._proof import links_after
from lacewing_common.bundles._proof import Proof
from lacewing_common.bundles._proof import read_proof
from lacewing_common.bundles._proof import TrustLink
from lacewing_common.bundles._sign_off import Roll
from lacewing_common.bundles._sign_off import sign_roll
from lacewing_common.bundles._sign_off import SignOff
from lacewing_common.bundles._signatures import OperatorKey
from lacewing_common.bundles._validator import BUNDLE
from lacewing_common.document import Document
from lacewing_common.document import DocumentHead
from lacewing_common.document import part_digest
from lacewing_common.document_objects import encode_head
from lacewing_common.verdict import Refusal


@dataclass(frozen=True)
class RollOrder:
    """Hold the bundle that an operator wants to activate.

    ``nonce`` is unique for each order and stored with it, to recognize a
    repeated order. ``at`` is the time in ISO 8601. ``again`` is the number
    of the roll that a rollback repeats, else 0. ``above`` is a number that
    is active in the fleet while the platform, restored from an older
    snapshot, has an earlier one; the roll gets a higher number than both.
    ``trust_since`` drops operator changes before that roll from the proof;
    the root operators of all settings must have signed a later change.
    """

    parts: tuple[bytes, ...]
    sign_offs: tuple[SignOff, ...]
    at: str
    nonce: str
    again: int = 0
    above: int = 0
    trust_since: int = 0

    @property
    def digest(self) -> str:
        """Return the digest of the bundle."""
        return contents_of_parts(self.parts).digest


@dataclass(frozen=True)
class Predecessor:
    """Hold the head and the trust part of the active roll."""

    head: DocumentHead
    trust: bytes


def make_successor(
    previous: Predecessor | None, order: RollOrder, key: OperatorKey
) -> Document | Refusal:
    """Create the signed document of an order, with a higher number."""
    links: tuple[TrustLink, ...] = ()
    number = order.above + 1
    previous_head = ''
    previous_bundle = ''
    if previous is not None:
        next_links = links_after(
            previous.head, previous.trust, order.trust_since
        )
        if isinstance(next_links, Refusal):
            return next_links
        proof = read_proof(previous.head)
        if isinstance(proof, Refusal):
            return proof
        links = next_links
        number = max(previous.head.version, order.above) + 1
        previous_head = head_digest(previous.head)
        previous_bundle = proof.roll.digest
    roll = Roll(
        number=number,
        digest=order.digest,
        previous=previous_head,
        previous_bundle=previous_bundle,
        operator=key.operator,
        at=order.at,
        nonce=order.nonce,
        again=order.again,
    )
    proof = Proof(
        links=links, sign_offs=order.sign_offs, roll=sign_roll(roll, key)
    )
    head = DocumentHead(
        document=BUNDLE,
        version=number,
        parts=tuple(part_digest(part) for part in order.parts),
        proof=encode_proof(proof),
    )
    return Document(head, order.parts)


def head_digest(head: DocumentHead) -> str:
    """Return the digest that identifies a head in the history."""
    return part_digest(encode_head(head))
