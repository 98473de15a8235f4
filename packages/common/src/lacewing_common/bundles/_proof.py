"""Verify who rolled a bundle, starting from the root operators.

A bundle lists the operators' public keys and is signed with keys that the
previously active bundle lists. A newly started process has not seen earlier
bundles, so the proof contains each earlier trust part with the signatures that
activated it, and nothing else of those bundles.
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
from lacewing_common.decode_errors import DECODE_ERRORS
from lacewing_common.document import DocumentHead
from lacewing_common.document import part_digest
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal


class TrustLink(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one roll that changed the trust part, with its signatures.

    ``trust`` is the trust part, ``rest`` the digest over the other parts.
    """

    trust: bytes
    rest: str
    sign_offs: tuple[SignOff, ...]
    roll: Roll

    @property
    def digest(self) -> str:
        """Return the digest of the rolled bundle."""
        return bundle_digest(part_digest(self.trust), self.rest)


class Proof(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the earlier trust changes, the sign-offs and the roll of a head."""

    links: tuple[TrustLink, ...]
    sign_offs: tuple[SignOff, ...]
    roll: Roll


def encode_proof(proof: Proof) -> bytes:
    """Encode a proof for ``DocumentHead.proof``."""
    return msgspec.json.encode(proof)


def read_proof(head: DocumentHead) -> Proof | Refusal:
    """Decode the proof of a head without verifying it."""
    try:
        return msgspec.json.decode(head.proof, type=Proof)
    except DECODE_ERRORS as error:
        return _invalid(f'proof: {error}')


def links_after(
    head: DocumentHead, trust: bytes, since: int = 0
) -> tuple[TrustLink, ...] | Refusal:
    """Return the trust links for the proof of the roll after a head.

    ``trust`` is the trust part of the head. Links of rolls before ``since``
    are dropped, except for the last link.
    """
    proof = read_proof(head)
    if isinstance(proof, Refusal):
        return proof
    contents = contents_of(head.parts)
    if isinstance(contents, Refusal):
        return contents
    links = proof.links
    if links and links[-1].trust == trust:
        return _drop_links_before(links, since)
    link = TrustLink(
        trust=trust,
        rest=rest_digest(contents.rest),
        sign_offs=proof.sign_offs,
        roll=proof.roll,
    )
    return _drop_links_before((*links, link), since)


def _drop_links_before(
    links: tuple[TrustLink, ...], since: int
) -> tuple[TrustLink, ...]:
    kept = [link for link in links[:-1] if link.roll.number >= since]
    return (*kept, links[-1])


def check_proof(head: DocumentHead, root: TrustPart) -> Refusal | None:
    """Verify the signatures of a head back to the root operators.

    The root operators may have signed any link, or the roll itself. If only
    the first link counted, the root operators in the settings could never be
    replaced: a process whose settings no longer list the signer of the first
    bundle, for example because that key was stolen, would refuse every
    bundle of the fleet.
    """
    proof = read_proof(head)
    if isinstance(proof, Refusal):
        return proof
    first = _first_link_signed_by(proof.links, root)
    trust = _root_trust_at(first, proof.links, root)
    if isinstance(trust, Refusal):
        return trust
    return _check_links_from(first, trust, proof, head)


def check_proof_after(
    head: DocumentHead, last_link: TrustLink
) -> Refusal | None:
    """Verify a head against the last trust link of the active bundle.

    The proof must contain that link: otherwise the holder of a key that the
    link revoked could continue to sign. Earlier links were verified before,
    and operators may have dropped them.
    """
    proof = read_proof(head)
    if isinstance(proof, Refusal):
        return proof
    if proof.roll.number != head.version:
        return _wrong_number(proof, head)
    if last_link not in proof.links:
        return not_run(
            Reason.BUNDLE_NOT_SIGNED,
            'bundle: its proof leaves out a change of operators that is in'
            ' force here',
        )
    trust = read_trust(last_link.trust)
    if isinstance(trust, Refusal):
        return trust
    return _check_links_from(
        proof.links.index(last_link) + 1, trust, proof, head
    )


def _first_link_signed_by(
    links: tuple[TrustLink, ...], root: TrustPart
) -> int:
    """Return the index of the first link that the root operators signed.

    Returns the number of links if there is none: then they must have signed
    the roll itself. Everything after the returned link must be valid. Trying
    later links as well would accept signatures of a root key that the fleet
    has revoked but the settings still list.
    """
    for index, link in enumerate(links):
        trust = _root_trust_at(index, links, root)
        if isinstance(trust, Refusal):
            continue
        if (
            _check_signatures(link.sign_offs, link.roll, link.digest, trust)
            is None
        ):
            return index
    return len(links)


def _check_links_from(
    first: int, trust: TrustPart, proof: Proof, head: DocumentHead
) -> Refusal | None:
    """Verify the links from ``first`` on, the first against ``trust``."""
    contents = contents_of(head.parts)
    if isinstance(contents, Refusal):
        return contents
    if proof.roll.number != head.version:
        return _wrong_number(proof, head)
    number = proof.links[first - 1].roll.number if first else 0
    for link in proof.links[first:]:
        refusal = _check_signatures(
            link.sign_offs, link.roll, link.digest, trust
        )
        if refusal is not None:
            return refusal
        if link.roll.number <= number:
            return _invalid('the changes of operators are not in order')
        number = link.roll.number
        next_trust = read_trust(link.trust)
        if isinstance(next_trust, Refusal):
            return next_trust
        trust = next_trust
    if proof.roll.number <= number:
        return _invalid('a change of operators is newer than the roll itself')
    return _check_signatures(
        proof.sign_offs, proof.roll, contents.digest, trust
    )


def _root_trust_at(
    index: int, links: tuple[TrustLink, ...], root: TrustPart
) -> TrustPart | Refusal:
    """Return the root operators with the policies active at a link."""
    if index == 0:
        return root
    trust = read_trust(links[index - 1].trust)
    if isinstance(trust, Refusal):
        return trust
    return TrustPart(root.operators, trust.policies)


def _check_signatures(
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
