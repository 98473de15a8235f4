"""Prove to a process that knows the root operators who rolled a bundle.

Operators' keys are part of the bundle, and a bundle is signed with keys of the
one in force before. A cold process has not seen those earlier bundles, so the
proof carries each trust part since the first, with the signatures that put it
in force; nothing else of the earlier bundles.
"""

import msgspec

from lacewing_common.bundles._parts import bundle_digest
from lacewing_common.bundles._parts import contents_of
from lacewing_common.bundles._parts import read_trust
from lacewing_common.bundles._parts import rest_digest
from lacewing_common.bundles._parts import TrustPart
from lacewing_common.bundles._sign_off import check_roll
from lacewing_common.bundles._sign_off import check_sign_offs
from lacewing_common.bundles._sign_off import Roll
from lacewing_common.bundles._sign_off import SignOff
from lacewing_common.document import DocumentHead
from lacewing_common.document import part_digest
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal


class TrustLink(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one roll that changed the trust, with what proves it.

    ``trust`` is the trust part; ``rest`` the digest over the other parts.
    """

    trust: bytes
    rest: str
    sign_offs: tuple[SignOff, ...]
    roll: Roll

    @property
    def digest(self) -> str:
        """Return the digest of the bundle that was rolled."""
        return bundle_digest(part_digest(self.trust), self.rest)


class Proof(msgspec.Struct, frozen=True, kw_only=True):
    """Prove a head: earlier changes of trust, sign-offs and the roll."""

    links: tuple[TrustLink, ...]
    sign_offs: tuple[SignOff, ...]
    roll: Roll


def encode_proof(proof: Proof) -> bytes:
    """Encode for ``DocumentHead.proof``."""
    return msgspec.json.encode(proof)


def read_proof(head: DocumentHead) -> Proof | Refusal:
    """Read the proof of a head, without checking it."""
    try:
        return msgspec.json.decode(head.proof, type=Proof)
    except msgspec.DecodeError as error:
        return _invalid(f'proof: {error}')


def links_after(
    head: DocumentHead, trust: bytes, since: int = 0
) -> tuple[TrustLink, ...] | Refusal:
    """Return the links that the next roll after a head carries.

    ``trust`` is the trust part of the head; links of rolls before ``since``
    are dropped, but for the last one.
    """
    proof = read_proof(head)
    if isinstance(proof, Refusal):
        return proof
    contents = contents_of(head.parts)
    if isinstance(contents, Refusal):
        return contents
    links = proof.links
    if links and links[-1].trust == trust:
        return _drop(links, since)
    link = TrustLink(
        trust=trust,
        rest=rest_digest(contents.rest),
        sign_offs=proof.sign_offs,
        roll=proof.roll,
    )
    return _drop((*links, link), since)


def _drop(links: tuple[TrustLink, ...], since: int) -> tuple[TrustLink, ...]:
    kept = [link for link in links[:-1] if link.roll.number >= since]
    return (*kept, links[-1])


def check_proof(head: DocumentHead, root: TrustPart) -> Refusal | None:
    """Check the signatures of a head, back to the root operators.

    The root operators may have signed the first link, or a later one, or
    the roll itself. Were it only the first, settings could never be renewed:
    a process whose root no longer lists who signed the first bundle, say
    because that key was stolen, would refuse every bundle of the fleet.
    """
    proof = read_proof(head)
    if isinstance(proof, Refusal):
        return proof
    first = _first_signed_by(proof.links, root)
    trust = _root_at(first, proof.links, root)
    if isinstance(trust, Refusal):
        return trust
    return _check_from(first, trust, proof, head)


def check_proof_after(head: DocumentHead, held: TrustLink) -> Refusal | None:
    """Check a head against the links of one that is in force here.

    The last link held has to be in the proof: else the holder of a key that
    it withdrew could go on signing. What comes before it was checked before,
    and operators may have dropped it.
    """
    proof = read_proof(head)
    if isinstance(proof, Refusal):
        return proof
    if proof.roll.number != head.version:
        return _wrong_number(proof, head)
    if held not in proof.links:
        return not_run(
            Reason.BUNDLE_NOT_SIGNED,
            'bundle: its proof leaves out a change of operators that is in'
            ' force here',
        )
    trust = read_trust(held.trust)
    if isinstance(trust, Refusal):
        return trust
    return _check_from(proof.links.index(held) + 1, trust, proof, head)


def _first_signed_by(links: tuple[TrustLink, ...], root: TrustPart) -> int:
    """Return the first link that the root operators signed.

    Past the last one if there is none: then the roll itself is to be theirs.
    All that follows has to hold from there on. To try each link in turn until
    one leads to the end would let a root key sign that the fleet has
    withdrawn, but not yet the settings.
    """
    for index, link in enumerate(links):
        trust = _root_at(index, links, root)
        if isinstance(trust, Refusal):
            continue
        if _check(link.sign_offs, link.roll, link.digest, trust) is None:
            return index
    return len(links)


def _check_from(
    first: int, trust: TrustPart, proof: Proof, head: DocumentHead
) -> Refusal | None:
    """Follow the links from one on, signed by whom ``trust`` lists."""
    contents = contents_of(head.parts)
    if isinstance(contents, Refusal):
        return contents
    if proof.roll.number != head.version:
        return _wrong_number(proof, head)
    number = proof.links[first - 1].roll.number if first else 0
    for link in proof.links[first:]:
        refusal = _check(link.sign_offs, link.roll, link.digest, trust)
        if refusal is not None:
            return refusal
        if link.roll.number <= number:
            return _invalid('the changes of operators are not in order')
        number = link.roll.number
        read = read_trust(link.trust)
        if isinstance(read, Refusal):
            return read
        trust = read
    if proof.roll.number <= number:
        return _invalid('a change of operators is newer than the roll itself')
    return _check(proof.sign_offs, proof.roll, contents.digest, trust)


def _root_at(
    index: int, links: tuple[TrustLink, ...], root: TrustPart
) -> TrustPart | Refusal:
    """Return the root operators under the policies in force at a link."""
    if index == 0:
        return root
    trust = read_trust(links[index - 1].trust)
    if isinstance(trust, Refusal):
        return trust
    return TrustPart(root.operators, trust.policies)


def _check(
    sign_offs: tuple[SignOff, ...], roll: Roll, digest: str, trust: TrustPart
) -> Refusal | None:
    refusal = check_sign_offs(sign_offs, digest, trust)
    if refusal is not None:
        return refusal
    return check_roll(roll, digest, trust)


def _wrong_number(proof: Proof, head: DocumentHead) -> Refusal:
    return _invalid(
        f'the signed number is {proof.roll.number}, the head says'
        f' {head.version}'
    )


def _invalid(message: str) -> Refusal:
    return not_run(Reason.BUNDLE_INVALID, f'bundle: {message}')
