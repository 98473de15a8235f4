"""Define the metrics of the exchanges between peers."""

from prometheus_client import Counter
from prometheus_client import Gauge

EXCHANGES = Counter(
    'lacewing_peer_exchanges_total',
    'Exchanges begun with peers, by result',
    ['result'],
)
MESSAGE_BYTES = Counter(
    'lacewing_peer_message_bytes_total',
    'Bytes of the messages of calls to peers, as encoded',
    ['direction'],
)
MEMBERS = Gauge(
    'lacewing_members', 'Members known, by what is thought of them', ['state']
)
