"""Define the placement plan of a service: which worker holds what."""

import zlib

import msgspec

from lacewing_common.decode_errors import DECODE_ERRORS
from lacewing_common.document import Document
from lacewing_common.document import DocumentHead
from lacewing_common.document import DocumentKind
from lacewing_common.document import DocumentName
from lacewing_common.document import part_digest
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal

# Maximum uncompressed size; a plan of 148 workers has about 20 KB.
_MAX_BYTES = 4 * 1024 * 1024


class HeldAdapter(msgspec.Struct, frozen=True, order=True):
    """Identify a loaded or planned adapter by name and version."""

    name: str
    version: str


class HeldModel(msgspec.Struct, frozen=True):
    """Hold a loaded or planned model, its weights version and adapters."""

    model: str
    weights: str
    adapters: tuple[HeldAdapter, ...] = ()


class WorkerPlan(msgspec.Struct, frozen=True):
    """Hold the models planned for a worker, named by its agent's id."""

    worker: str
    availability_zone: str
    models: tuple[HeldModel, ...]


class ModelNote(msgspec.Struct, frozen=True):
    """Explain the number of copies of a model.

    ``busy`` is the mean number of concurrent requests; ``below_since_s`` is
    the time, in seconds since 1970, since when fewer copies would suffice, 0
    if they would not. ``late_copies`` copies were too few at ``late_at_s``:
    new requests had to wait.
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
    """Hold the placement plan of a service.

    ``fence`` is the version of the planner's lease. ``planner_address`` is
    the ``ip:port`` to which agents report their demand.
    """

    service: str
    fence: int
    planner: str
    planner_address: str
    made_at_s: float
    workers: tuple[WorkerPlan, ...]
    models: tuple[ModelNote, ...] = ()

    def worker(self, process_id: str) -> WorkerPlan | None:
        """Return the plan of one worker; None if it is not in the plan."""
        for worker in self.workers:
            if worker.worker == process_id:
                return worker
        return None


def plan_name(service: str) -> DocumentName:
    """Return the name of the document of a service's plan."""
    return DocumentName(DocumentKind.PLAN, service)


def plan_document(plan: Plan) -> Document:
    """Create the document of a plan: one part, versioned by the fence."""
    part = zlib.compress(msgspec.json.encode(plan))
    head = DocumentHead(
        plan_name(plan.service), plan.fence, (part_digest(part),)
    )
    return Document(head, (part,))


def read_plan(document: Document) -> Plan | Refusal:
    """Decode the plan of a document whose digests are already verified."""
    head = document.head
    if len(document.parts) != 1:
        return _reject(head, f'expected 1 part, got {len(document.parts)}')
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(document.parts[0], _MAX_BYTES)
        plan = msgspec.json.decode(text, type=Plan)
    except (zlib.error, *DECODE_ERRORS) as error:
        return _reject(head, str(error))
    if plan_name(plan.service) != head.document:
        return _reject(head, f'it is for service {plan.service!r}')
    if plan.fence != head.version:
        return _reject(head, f'its fencing number is {plan.fence}')
    workers = {worker.worker for worker in plan.workers}
    if len(workers) != len(plan.workers):
        return _reject(head, 'it contains a worker twice')
    return plan


def validate_plan(document: Document) -> Refusal | None:
    """Validate a plan; replicas ensure that versions increase."""
    plan = read_plan(document)
    return plan if isinstance(plan, Refusal) else None


def _reject(head: DocumentHead, problem: str) -> Refusal:
    return not_run(
        Reason.BAD_REQUEST,
        f'plan {head.document.name} version {head.version}: {problem}',
    )
