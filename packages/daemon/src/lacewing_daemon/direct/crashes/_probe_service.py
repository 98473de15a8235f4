"""Carry requests for probes between routers."""

from grpclib.const import Handler

from lacewing_daemon.direct._peer_link import PeerLink
from lacewing_daemon.direct._peer_link import unary
from lacewing_daemon.direct.crashes._messages import PROBE_METHOD
from lacewing_daemon.direct.crashes._messages import ProbeReply
from lacewing_daemon.direct.crashes._messages import ProbeRequest
from lacewing_daemon.direct.crashes._probe_grants import ProbeGrants
from lacewing_daemon.direct.crashes._probes import ProbeSchedule
from lacewing_daemon.peers import PeerCallFailed


class ProbeService:
    """Grant the probes that this router schedules, and ask for others."""

    def __init__(self, link: PeerLink, schedule: ProbeSchedule) -> None:
        self._link = link
        self._schedule = schedule

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by method, for grpclib."""
        return {PROBE_METHOD: unary(self._on_probe, ProbeRequest, ProbeReply)}

    async def ask(
        self, address: str, subject: str, timeout_s: float
    ) -> bool | None:
        """Return whether a probe was granted, None without an answer."""
        reply = await self._link.call(
            address, PROBE_METHOD, ProbeRequest(subject), ProbeReply, timeout_s
        )
        return None if isinstance(reply, PeerCallFailed) else reply.granted

    def _on_probe(self, request: ProbeRequest) -> ProbeReply:
        return ProbeReply(self._schedule.admit(request.subject))


def connect_probes(
    grants: ProbeGrants, schedule: ProbeSchedule, link: PeerLink
) -> None:
    """Ask other routers for probes, and answer them, from now on."""
    service = ProbeService(link, schedule)
    link.add_service(service)
    grants.connect(link.address, service)
