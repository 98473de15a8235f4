"""Describe the plan that says which worker of a service holds what."""

import zlib

import msgspec

from lacewing_common.document import Document
from lacewing_common.document import DocumentHead
from lacewing_common.document import DocumentKind
from lacewing_common.document import DocumentName
from lacewing_common.document import part_digest
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal

# Uncompressed; a plan of 148 workers takes some 20 KB.
_MOST_BYTES = 4 * 1024 * 1024


class HeldAdapter(msgspec.Struct, frozen=True, order=True):
    """Name an adapter and its version, as loaded or wanted."""

    name: str
    version: str


class HeldModel(msgspec.Struct, frozen=True):
    """Name a model, its weights version and adapters, loaded or wanted."""

    model: str
    weights: str
    adapters: tuple[HeldAdapter, ...] = ()


class WorkerPlan(msgspec.Struct, frozen=True):
    """Say what one worker, named by its agent's process id, has to hold."""

    worker: str
    availability_zone: str
    models: tuple[HeldModel, ...]


class ModelNote(msgspec.Struct, frozen=True):
    """Say why a model has as many copies as it has.

    ``busy`` is the mean number of requests at once; ``below_since_s`` the
    time, in seconds since 1970, since when fewer copies would do, 0 if not.
    ``late_copies`` were too few at ``late_at_s``: new requests waited.
    """

    model: str
    copies: int
    needed: int
    busy: float
    utilisation: float
    below_since_s: float = 0.0
    late_copies: int = 0
    late_at_s: float = 0.0


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """Say what each worker of a service has to hold.

    ``fence`` is the version of the planner's lease. ``planner_address`` is
    the ``ip:port`` where agents report their demand.
    """

    service: str
    fence: int
    planner: str
    planner_address: str
    made_at_s: float
    workers: tuple[WorkerPlan, ...]
    models: tuple[ModelNote, ...] = ()

    def worker(self, process_id: str) -> WorkerPlan | None:
        """Return what one worker has to hold; None: not planned for."""
        for worker in self.workers:
            if worker.worker == process_id:
                return worker
        return None


def plan_name(service: str) -> DocumentName:
    """Return the name of the document that holds a service's plan."""
    return DocumentName(DocumentKind.PLAN, service)


def plan_document(plan: Plan) -> Document:
    """Make the document of a plan: one part, the fence its version."""
    part = zlib.compress(msgspec.json.encode(plan))
    head = DocumentHead(
        plan_name(plan.service), plan.fence, (part_digest(part),)
    )
    return Document(head, (part,))


def read_plan(document: Document) -> Plan | Refusal:
    """Read the plan of a document whose digests were compared before."""
    head = document.head
    if len(document.parts) != 1:
        return _refuse(head, f'expected 1 part, got {len(document.parts)}')
    unpacking = zlib.decompressobj()
    try:
        text = unpacking.decompress(document.parts[0], _MOST_BYTES)
        plan = msgspec.json.decode(text, type=Plan)
    except (zlib.error, msgspec.DecodeError) as error:
        return _refuse(head, str(error))
    if plan_name(plan.service) != head.document:
        return _refuse(head, f'it is of the service {plan.service!r}')
    if plan.fence != head.version:
        return _refuse(head, f'its fencing number is {plan.fence}')
    workers = {worker.worker for worker in plan.workers}
    if len(workers) != len(plan.workers):
        return _refuse(head, 'it names a worker twice')
    return plan


def validate_plan(document: Document) -> Refusal | None:
    """Check a plan's document; replicas see to it that versions grow."""
    plan = read_plan(document)
    return plan if isinstance(plan, Refusal) else None


def _refuse(head: DocumentHead, problem: str) -> Refusal:
    return not_run(
        Reason.BAD_REQUEST,
        f'plan {head.document.name} version {head.version}: {problem}',
    )
