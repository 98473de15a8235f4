"""Provide operators, a bundle and a validator for the steps."""

from hashlib import sha256
from random import Random

import msgspec
from lacewing_common.bundle import Adapter
from lacewing_common.bundle import Bundle
from lacewing_common.bundle import Model
from lacewing_common.bundle import Policies
from lacewing_common.bundle import Service
from lacewing_common.bundle import ServiceKind
from lacewing_common.bundle import Team
from lacewing_common.bundles import BUNDLE
from lacewing_common.bundles import BundleValidator
from lacewing_common.bundles import contents_of_parts
from lacewing_common.bundles import make_successor
from lacewing_common.bundles import new_key
from lacewing_common.bundles import OperatorKey
from lacewing_common.bundles import Predecessor
from lacewing_common.bundles import RollOrder
from lacewing_common.bundles import sign_off
from lacewing_common.bundles import SignOff
from lacewing_common.bundles import SignOffRole
from lacewing_common.bundles import split
from lacewing_common.document import Document
from lacewing_common.document import DocumentHead
from lacewing_common.document import part_digest
from lacewing_common.verdict import Refusal
from lacewing_ctl._edit import set_value

AT = '2026-01-01T00:00:00+00:00'
_SERVICES = ('diagnostic', 'registry')


def make_team(name: str, share: float = 1.0) -> Team:
    """Create a team that may call both services."""
    return Team(
        name=name,
        key_hashes=(sha256(name.encode()).hexdigest(),),
        services=_SERVICES,
        share=share,
    )


def make_bundle(teams: int = 2) -> Bundle:
    """Create a bundle that is valid except for its missing operators."""
    adapter = Adapter(name='recall', version='a1', adapter_gb=1.0)
    model = Model(
        name='motor', weights='w1', adapters=(adapter,), weights_gb=14.0
    )
    return Bundle(
        teams=tuple(make_team(f'team-{n}') for n in range(teams)),
        services=(
            Service(
                name='diagnostic',
                kind=ServiceKind.MODEL,
                models=('motor',),
                worker_memory_gb=16.0,
            ),
            Service(name='registry', kind=ServiceKind.PLAIN),
        ),
        models=(model,),
        prefix_secret='ab' * 16,
    )


class BundleBench:
    """Sign and validate bundles without a platform."""

    def __init__(self) -> None:
        self.keys: dict[str, OperatorKey] = {}
        self.bundle = make_bundle()
        self.sign_offs: list[SignOff] = []
        self.trust_since = 0
        self.active: Document | None = None
        self.refusal: Refusal | None = None
        self.validator = BundleValidator(())
        self._edited_json: object = None

    def key(self, operator: str) -> OperatorKey:
        """Return the key of an operator; create it on first use."""
        if operator not in self.keys:
            self.keys[operator] = new_key(operator)
        return self.keys[operator]

    def validator_with_root(self, names: list[str]) -> BundleValidator:
        """Return the validator of a process with these root operators."""
        return BundleValidator(tuple(self.key(name).public for name in names))

    def list_operators(self, names: list[str]) -> None:
        """Replace the operators of the bundle."""
        operators = tuple(self.key(name).public for name in names)
        self.bundle = msgspec.structs.replace(self.bundle, operators=operators)

    def separate_approver(self) -> None:
        """Require an approver who is not the author."""
        self.bundle = msgspec.structs.replace(
            self.bundle, policies=Policies(separate_approver=True)
        )

    def set_share(self, share: float) -> None:
        """Change the share of the first team."""
        teams = list(self.bundle.teams)
        teams[0] = msgspec.structs.replace(teams[0], share=share)
        self.bundle = msgspec.structs.replace(self.bundle, teams=tuple(teams))

    @property
    def text(self) -> bytes:
        """Return the JSON text with the edits made by ``edit_text``."""
        if self._edited_json is None:
            return msgspec.json.encode(self.bundle)
        return msgspec.json.encode(self._edited_json)

    def edit_text(self, assignment: str) -> None:
        """Apply an assignment ``path=JSON`` to the text."""
        if self._edited_json is None:
            self._edited_json = msgspec.json.decode(
                msgspec.json.encode(self.bundle)
            )
        set_value(self._edited_json, assignment)

    def sign(self, operator: str, role: SignOffRole) -> None:
        """Sign the current bundle."""
        digest = contents_of_parts(split(self.bundle)).digest
        self.sign_offs.append(sign_off(digest, role, AT, self.key(operator)))

    def document(self, operator: str) -> Document:
        """Create the document of a roll by an operator."""
        order = RollOrder(
            parts=split(self.bundle),
            sign_offs=tuple(self.sign_offs),
            at=AT,
            nonce=f'{operator}-{len(self.sign_offs)}',
            trust_since=self.trust_since,
        )
        base = self.active
        previous = None
        if base is not None:
            previous = Predecessor(base.head, base.parts[0])
        successor = make_successor(previous, order, self.key(operator))
        assert isinstance(successor, Document), successor
        return successor

    def offer(self, document: Document) -> None:
        """Validate a document, and activate it if it is accepted."""
        self.refusal = self.validator(document)
        if self.refusal is not None:
            return
        self.validator.record_trust(document)
        self.active = document
        self.sign_offs = []


class RandomEdits:
    """Make valid and invalid random edits, reproducible by the seed."""

    def __init__(self, bundle: Bundle, seed: int) -> None:
        self._bundle = bundle
        self._random = Random(seed)

    def next(self) -> Document:
        """Return the document of a bundle one edit away from a valid one."""
        edits = (
            self._edit_share,
            self._edit_share,
            self._copy_key,
            self._use_unknown_service,
            self._drop_service,
            self._duplicate_name,
        )
        parts = split(self._random.choice(edits)())
        digests = tuple(part_digest(part) for part in parts)
        return Document(DocumentHead(BUNDLE, 1, digests), parts)

    def _edit_share(self) -> Bundle:
        share = self._random.choice((0.0, 1.0, 2.0, 3.0))
        edited = self._with_team(share=share)
        if share > 0:
            self._bundle = edited
        return edited

    def _copy_key(self) -> Bundle:
        other = self._random.choice(self._bundle.teams)
        return self._with_team(key_hashes=other.key_hashes)

    def _use_unknown_service(self) -> Bundle:
        return self._with_team(services=('registri',))

    def _drop_service(self) -> Bundle:
        services = self._bundle.services[:1]
        return msgspec.structs.replace(self._bundle, services=services)

    def _duplicate_name(self) -> Bundle:
        other = self._random.choice(self._bundle.teams)
        return self._with_team(name=other.name)

    def _with_team(self, **changes: object) -> Bundle:
        teams = list(self._bundle.teams)
        index = self._random.randrange(len(teams))
        teams[index] = msgspec.structs.replace(teams[index], **changes)
        return msgspec.structs.replace(self._bundle, teams=tuple(teams))


def change_parts(parts: tuple[bytes, ...], how: str) -> tuple[bytes, ...]:
    """Encode parts differently, with equal or almost equal contents."""
    last = parts[-1]
    changed = {
        'spaced': (*parts[:-1], last.replace(b'":', b'": ', 1)),
        'swapped': (*parts[:-2], last, parts[-2]),
        'repeated': (*parts, last),
        'in wrong bucket': (*parts[:-1], _change_bucket(last)),
        'emptied': (*parts, b'{"part":"teams","bucket":99,"teams":[]}'),
        'cut short': parts[:3],
    }
    return changed[how]


def _change_bucket(part: bytes) -> bytes:
    bucket = msgspec.json.decode(part)['bucket']
    old = f'"bucket":{bucket}'.encode()
    assert old in part, part
    return part.replace(old, f'"bucket":{bucket + 1}'.encode(), 1)
