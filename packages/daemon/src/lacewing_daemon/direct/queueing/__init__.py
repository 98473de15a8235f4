"""Let requests of contended services wait at the router, in fair shares."""

from lacewing_daemon.direct.queueing._order import order
from lacewing_daemon.direct.queueing._order import RESERVED_SHARE
from lacewing_daemon.direct.queueing._queue import QueueStay
from lacewing_daemon.direct.queueing._queue import RequestQueue
from lacewing_daemon.direct.queueing._queue import RequestQueues
from lacewing_daemon.direct.queueing._request import Offer
from lacewing_daemon.direct.queueing._request import QueuedRequest
from lacewing_daemon.direct.queueing._request import service_tokens
from lacewing_daemon.direct.queueing._request import Unavailable
from lacewing_daemon.direct.queueing._shares import TeamShares
from lacewing_daemon.direct.queueing._turn import QueueTurn
from lacewing_daemon.direct.queueing._verdict import Cause
from lacewing_daemon.direct.queueing._verdict import Place
from lacewing_daemon.direct.queueing._verdict import Refuse
from lacewing_daemon.direct.queueing._verdict import verdict
from lacewing_daemon.direct.queueing._verdict import Wait
from lacewing_daemon.direct.queueing._verdict import wait_limit_s
from lacewing_daemon.direct.queueing._waiting import WaitingRequests

__all__ = [
    'Cause',
    'Offer',
    'Place',
    'QueueStay',
    'QueueTurn',
    'QueuedRequest',
    'RESERVED_SHARE',
    'Refuse',
    'RequestQueue',
    'RequestQueues',
    'TeamShares',
    'Unavailable',
    'Wait',
    'WaitingRequests',
    'order',
    'service_tokens',
    'verdict',
    'wait_limit_s',
]
