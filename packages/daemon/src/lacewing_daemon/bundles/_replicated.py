"""Take the bundle from the documents that peers and platform pass on."""

from collections.abc import Callable

from lacewing_common.bundle import NO_BUNDLE
from lacewing_common.bundle import RolledBundle
from lacewing_common.document import Document
from lacewing_common.document import DocumentKind
from lacewing_common.document import DocumentStore
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.verdict import Refusal

Assemble = Callable[[Document], RolledBundle | Refusal]


class ReplicatedBundles:
    """Give the bundle of the newest document accepted."""

    def __init__(self, documents: DocumentStore, assemble: Assemble) -> None:
        self._assemble = assemble
        self._current = NO_BUNDLE
        self._callbacks: list[Callable[[RolledBundle], None]] = []
        self._log = get_log(Part.BUNDLE)
        documents.on_change(DocumentKind.BUNDLE, self._take)

    @property
    def current(self) -> RolledBundle:
        """Return the bundle in force; number 0 before the first."""
        return self._current

    def on_change(self, callback: Callable[[RolledBundle], None]) -> None:
        """Call back after each change, with the new bundle."""
        self._callbacks.append(callback)

    def _take(self, document: Document) -> None:
        rolled = self._assemble(document)
        if isinstance(rolled, Refusal):
            # The guard lets nothing pass that cannot be put together; were
            # it to, the bundle in force would have to stay.
            self._log.error('Bundle refused.', error=rolled.message)
            return
        self._current = rolled
        self._log.info(
            'In force.', number=rolled.number, digest=rolled.digest[:12]
        )
        for callback in self._callbacks:
            callback(rolled)
