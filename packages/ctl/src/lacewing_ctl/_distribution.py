"""Send a roll to a few processes, in case the platform goes down."""

import random

import msgspec
from lacewing_common.document import Document

from lacewing_ctl._fleet_file import FleetFile
from lacewing_ctl._operators_client import OperatorsClient
from lacewing_ctl._operators_client import Unanswered

_RECEIVER_COUNT = 3
_PATH = '/documents'


async def distribute(fleet: FleetFile, document: Document) -> int:
    """Send a document to three processes; return how many accepted it.

    If the platform goes down just after it accepted a roll, the processes
    that watch it may not receive the roll, which would then be active
    nowhere until the platform is back. Receivers pass it on to their peers.
    """
    client = OperatorsClient(fleet.tls)
    body = msgspec.msgpack.encode(document)
    remaining = list(fleet.operators)
    random.shuffle(remaining)
    accepted_count = 0
    try:
        while remaining and accepted_count < _RECEIVER_COUNT:
            answer = await client.post(remaining.pop(), _PATH, body)
            if not isinstance(answer, Unanswered):
                accepted_count += 1
    finally:
        client.close()
    return accepted_count
