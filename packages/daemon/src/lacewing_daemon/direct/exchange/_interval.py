"""Determine how often a router tells others its load, and how many of them.

Pure functions: no clock, no input or output.
"""

from collections.abc import Sequence
from math import ceil

import xxhash

# Prompts wait for some hundred ms, so more frequent messages tell little
# more.
MIN_INTERVAL_S = 0.15
# The load of others is used for 1.5 s; with a longer interval a single late
# message would make it unknown.
MAX_INTERVAL_S = 1.0
# The share of a core and the bytes a second that the exchange may take.
CORE_SHARE = 0.016
BYTES_PER_S = 7000.0
# Processor time to send one message and to receive and apply one. A lower
# figure shortens the interval and costs routers on small VMs their share.
MESSAGE_COST_S = 0.0005
# Frame headers of HTTP/2 and of gRPC.
FRAME_BYTES = 14
# Peers to which a router sends, at the most: with more, the processor time
# that the bound allows would be used up at the longest interval.
MAX_PEERS = 32


def interval_s(peers: int, message_bytes: float) -> float:
    """Return the interval between messages of a mean size to some peers."""
    by_core_s = peers * MESSAGE_COST_S / CORE_SHARE
    by_bytes_s = peers * (message_bytes + FRAME_BYTES) / BYTES_PER_S
    wanted_s = max(MIN_INTERVAL_S, by_core_s, by_bytes_s)
    return min(wanted_s, MAX_INTERVAL_S)


def peers_to_tell(own_address: str, addresses: Sequence[str]) -> set[str]:
    """Return the peers that messages are sent to.

    Deterministic subsetting: with more than ``MAX_PEERS`` the routers form
    groups of the same size by a hash of their addresses, which are the same
    at all routers that know each other. Only those of one group exchange
    messages.
    """
    routers = len(addresses) + 1
    groups = ceil(routers / (MAX_PEERS + 1))
    if groups == 1:
        return set(addresses)
    order = sorted({own_address, *addresses}, key=_rank)
    own_group = order.index(own_address) * groups // routers
    members = set()
    for position, address in enumerate(order):
        if position * groups // routers == own_group:
            members.add(address)
    return members - {own_address}


def _rank(address: str) -> int:
    return xxhash.xxh64_intdigest(address.encode())
