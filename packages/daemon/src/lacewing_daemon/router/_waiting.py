"""Wait for a worker that may run a call."""

import time

from lacewing_common.verdict import Refusal

from lacewing_daemon.router._call import Call
from lacewing_daemon.router._call import renewed
from lacewing_daemon.router._serving import Serving


async def until_eligible(
    serving: Serving, call: Call, until_s: float, renewing: bool
) -> Call | Refusal:
    """Return the call once some worker is eligible for it.

    ``until_s`` is a reading of ``time.monotonic``, at which the call is
    refused; it is refused at once when no known agent may come to serve
    it. ``renewing`` follows the bundle while it waits: a call that kept to
    the weights of an earlier one would wait in vain through a roll.
    """
    links = serving.links
    while True:
        if renewing:
            current = renewed(call, serving.catalog)
            if isinstance(current, Refusal):
                return current
            call = current
        service = call.service.name
        if links.eligible(service, call.needs).ids:
            return call
        left_s = until_s - time.monotonic()
        if left_s <= 0 or not links.may_come(service):
            return links.no_worker(service, call.needs)
        await links.wait_for_change(left_s)
