"""Keep the last report of each agent while this process may plan."""

import time
from collections.abc import Callable

from grpclib.const import Cardinality
from grpclib.const import Handler
from grpclib.server import Stream

from lacewing_daemon.placement._reports import DEMAND_METHOD
from lacewing_daemon.placement._reports import ReportTaken
from lacewing_daemon.placement._reports import WorkerReport

_KEPT_PERIODS = 5.5


class ReportBook:
    """Take reports, from peers or from this process."""

    def __init__(
        self, service: str, report_s: float, planning: Callable[[], bool]
    ) -> None:
        self._service = service
        self._kept_s = report_s * _KEPT_PERIODS
        self._planning = planning
        self._reports: dict[str, WorkerReport] = {}
        self._taken_at_s: dict[str, float] = {}
        self._on_news: Callable[[], None] | None = None

    def __mapping__(self) -> dict[str, Handler]:
        """Map the method for grpclib."""
        return {
            DEMAND_METHOD: Handler(
                self._serve, Cardinality.UNARY_UNARY, WorkerReport, ReportTaken
            )
        }

    def on_news(self, callback: Callable[[], None]) -> None:
        """Call back when what a worker holds has changed."""
        self._on_news = callback

    def take(self, report: WorkerReport) -> bool:
        """Keep a report; tell whether this process plans."""
        if report.service != self._service:
            return False
        before = self._reports.get(report.worker)
        self._reports[report.worker] = report
        self._taken_at_s[report.worker] = time.monotonic()
        changed = before is None or before.models != report.models
        if changed and self._on_news is not None:
            self._on_news()
        return self._planning()

    def fresh(self) -> tuple[WorkerReport, ...]:
        """Return the recent reports; forget the others."""
        after_s = time.monotonic() - self._kept_s
        for worker in list(self._reports):
            if self._taken_at_s[worker] < after_s:
                del self._reports[worker]
                del self._taken_at_s[worker]
        return tuple(self._reports[name] for name in sorted(self._reports))

    async def _serve(self, stream: Stream[WorkerReport, ReportTaken]) -> None:
        report = await stream.recv_message()
        if report is None:
            return
        await stream.send_message(ReportTaken(self.take(report)))
