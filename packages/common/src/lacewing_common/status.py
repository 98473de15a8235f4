"""Define the response of a process to ``/status``."""

import msgspec

from lacewing_common.identity import Place
from lacewing_common.identity import Role


class Addresses(msgspec.Struct, frozen=True):
    """Hold the ``ip:port`` of each listener; '' if there is none."""

    peers: str = ''
    callers: str = ''
    operators: str = ''


class MemberStatus(msgspec.Struct, frozen=True):
    """Count the known members by state, including the process itself."""

    alive: int = 0
    suspect: int = 0
    dead: int = 0
    leaving: int = 0


class ProcessStatus(msgspec.Struct, frozen=True):
    """Hold the status of one process.

    ``epoch`` identifies the run of an agent's worker, '' on a router.
    ``bundle_number`` is 0 before the first bundle.
    """

    process_id: str
    incarnation: int
    role: Role
    place: Place
    epoch: str
    bundle_number: int
    bundle_digest: str
    ready: bool
    stopping: bool
    open_requests: int
    addresses: Addresses
    members: MemberStatus = MemberStatus()
