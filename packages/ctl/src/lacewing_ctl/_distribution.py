"""Hand a roll to a few processes, so that the platform may go down."""

import random

import msgspec
from lacewing_common.document import Document

from lacewing_ctl._fleet_file import FleetFile
from lacewing_ctl._operators_client import OperatorsClient
from lacewing_ctl._operators_client import Unanswered

_RECEIVERS = 3
_PATH = '/documents'


async def distribute(fleet: FleetFile, document: Document) -> int:
    """Give a document to three processes; return how many took it.

    Processes that watch the platform may not hear of a roll if it goes down
    in the moment that it has accepted it: the roll would be in force
    nowhere until it is back. Those that take it pass it on.
    """
    client = OperatorsClient(fleet.tls)
    body = msgspec.msgpack.encode(document)
    waiting = list(fleet.operators)
    random.shuffle(waiting)
    taken = 0
    try:
        while waiting and taken < _RECEIVERS:
            answer = await client.post(waiting.pop(), _PATH, body)
            if not isinstance(answer, Unanswered):
                taken += 1
    finally:
        client.close()
    return taken
