"""Tell other routers of the load at engines, and hear of theirs."""

from lacewing_daemon.direct.exchange._load_exchange import LoadExchange
from lacewing_daemon.direct.exchange._messages import Section
from lacewing_daemon.direct.exchange._peer_loads import OtherLoad
from lacewing_daemon.direct.exchange._peer_loads import PeerLoads

__all__ = ['LoadExchange', 'OtherLoad', 'PeerLoads', 'Section']
