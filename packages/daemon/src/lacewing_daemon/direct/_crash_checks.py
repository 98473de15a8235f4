"""Keep a request that may crash upstreams from being sent."""

import asyncio

from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal

from lacewing_daemon.direct.crashes._detector import COLLECT_WINDOW_S
from lacewing_daemon.direct.crashes._fingerprint import RequestSubjects
from lacewing_daemon.direct.crashes._guard import CrashGuard

# A crash is detected once a connection is refused, some ms after the
# interrupted runs of the upstream were collected.
CRASH_DETECTION_S = 2 * COLLECT_WINDOW_S


class CrashChecks:
    """Ask the guard about the subjects of one request."""

    def __init__(self, guard: CrashGuard, subjects: RequestSubjects) -> None:
        self._guard = guard
        self._subjects = subjects

    @property
    def is_blocked(self) -> bool:
        """Return whether requests like this one are blocked."""
        return self._guard.is_blocked(self._subjects)

    def may_send(self, has_sent: bool) -> bool:
        """Return whether it may be sent, as a probe if it is blocked.

        A retry is never a probe: the request may have caused the newest
        crash on an earlier send.
        """
        if not self.is_blocked:
            return True
        return not has_sent and self._guard.admits_probe(self._subjects)

    def refusal(self) -> Refusal:
        """Return the refusal of a blocked request."""
        return not_run(
            Reason.WORKERS_CRASHED,
            self._guard.describe_block(self._subjects),
            self._guard.retry_after_s(self._subjects),
        )

    async def await_detection(self) -> None:
        """Wait until a further crash of an upstream would be detected.

        Retried immediately, a request that has crashed one upstream before
        could crash a third one while this router is still checking the
        second.
        """
        if self._guard.is_suspected(self._subjects):
            await asyncio.sleep(CRASH_DETECTION_S)
