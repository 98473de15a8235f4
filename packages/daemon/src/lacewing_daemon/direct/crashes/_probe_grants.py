"""Let one router decide who probes a blocked subject."""

from collections.abc import Callable
from collections.abc import Sequence
from collections.abc import Set
from typing import Protocol

from lacewing_common.log import get_log
from lacewing_common.log import Part

from lacewing_daemon.background import TaskSet
from lacewing_daemon.direct._clock import boot_s
from lacewing_daemon.direct.crashes._probes import ProbeSchedule
from lacewing_daemon.direct.limits._keepers import Keepers

# A router with blocked requests of a subject asks for a probe this often.
ASK_INTERVAL_S = 1.0
# A grant that no request uses within this time lapses.
GRANT_TTL_S = 3.0
CALL_TIMEOUT_S = 0.5

_log = get_log(Part.LINK)


class GrantCaller(Protocol):
    """Ask other routers for probes."""

    async def ask(
        self, address: str, subject: str, timeout_s: float
    ) -> bool | None:
        """Return whether a probe was granted, None without an answer."""


class ProbeGrants:
    """Use probes that one router, the keeper of a subject, schedules.

    If each router scheduled its own probes, a subject that crashes upstreams
    would crash as many as there are routers. A request is never delayed: a
    grant is requested in the background and used by a later request.
    """

    def __init__(
        self,
        schedule: ProbeSchedule,
        peer_addresses: Callable[[], Sequence[str]],
        clock: Callable[[], float] = boot_s,
    ) -> None:
        self._schedule = schedule
        self._peer_addresses = peer_addresses
        self._clock = clock
        self._keepers = Keepers()
        self._own_address = ''
        self._caller: GrantCaller | None = None
        self._granted_until_s: dict[str, float] = {}
        self._asked_s: dict[str, float] = {}
        self._tasks = TaskSet('probe grant')

    def connect(self, own_address: str, caller: GrantCaller) -> None:
        """Ask other routers from now on."""
        self._own_address = own_address
        self._caller = caller

    def retain(self, blocked: Set[str]) -> None:
        """Forget the grants of subjects that are no longer blocked."""
        for subject in self._asked_s.keys() - blocked:
            del self._asked_s[subject]
            self._granted_until_s.pop(subject, None)

    def admit(self, subject: str) -> bool:
        """Return whether a request may probe a subject now."""
        now_s = self._clock()
        addresses = tuple(self._peer_addresses())
        if self._caller is None or not addresses:
            return self._schedule.admit(subject)
        keeper = self._keepers.keeper(
            subject, (*addresses, self._own_address), now_s
        )
        if keeper == self._own_address:
            return self._schedule.admit(subject)
        if now_s < self._granted_until_s.pop(subject, 0.0):
            return True
        if keeper is not None:
            self._request_grant(keeper, subject, now_s)
        return False

    def close(self) -> None:
        """Cancel the calls under way."""
        self._tasks.cancel()

    def _request_grant(self, keeper: str, subject: str, now_s: float) -> None:
        asked_s = self._asked_s.get(subject)
        if asked_s is not None and now_s < asked_s + ASK_INTERVAL_S:
            return
        self._asked_s[subject] = now_s
        self._tasks.start(self._ask(keeper, subject))

    async def _ask(self, keeper: str, subject: str) -> None:
        assert self._caller is not None
        granted = await self._caller.ask(keeper, subject, CALL_TIMEOUT_S)
        now_s = self._clock()
        if granted is None:
            self._keepers.suspect(keeper, now_s)
            return
        self._keepers.trust(keeper)
        if granted:
            self._granted_until_s[subject] = now_s + GRANT_TTL_S
            _log.info('May probe a blocked subject.', same=subject)
