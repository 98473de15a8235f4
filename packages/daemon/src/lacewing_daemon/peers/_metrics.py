"""Count the exchanges between peers, for ``/metrics``."""

from prometheus_client import Counter
from prometheus_client import Gauge

EXCHANGES = Counter(
    'lacewing_peer_exchanges_total',
    'Exchanges begun with peers, by result',
    ['result'],
)
MEMBERS = Gauge(
    'lacewing_members', 'Members known, by what is thought of them', ['state']
)
