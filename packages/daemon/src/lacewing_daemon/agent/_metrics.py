"""Count what the agent does, for ``/metrics``."""

from prometheus_client import Counter
from prometheus_client import Gauge

ATTEMPTS_ENDED = Counter(
    'lacewing_agent_attempts_ended_total',
    'Attempts ended, by what is known of their execution',
    ['verdict'],
)
ATTEMPTS_OPEN = Gauge(
    'lacewing_agent_attempts_open', 'Attempts queued or at the worker'
)
DUPLICATE_STARTS = Counter(
    'lacewing_agent_duplicate_starts_total',
    'Starts of an attempt already known, attached and not run again',
)
CLOSED_IDS = Counter(
    'lacewing_agent_attempts_closed_total',
    'Attempts closed before they were ever seen',
)
MISMATCHED = Counter(
    'lacewing_agent_mismatched_answers_total',
    'Answers or events of another request, dropped',
    ['part'],
)
RESUMED = Counter(
    'lacewing_agent_resumed_answers_total',
    'Answers fetched again from the worker after a break',
)
PAUSES = Counter(
    'lacewing_agent_worker_pauses_total',
    'Times reading from the worker stopped for a slow reader',
)
KEPT_BYTES = Gauge(
    'lacewing_agent_kept_answer_bytes', 'Answer bytes held for routers'
)
LINKS = Gauge('lacewing_agent_links', 'Open links from routers')
EPOCH_CHANGES = Counter(
    'lacewing_agent_worker_epoch_changes_total',
    'Restarts and losses of the worker that the agent noticed',
)
CACHE_EVENTS = Counter(
    'lacewing_agent_cache_events', 'Cache events taken from the worker'
)
CACHE_SNAPSHOTS = Counter(
    'lacewing_agent_cache_snapshots',
    'Whole caches fetched, at a connection or after a gap',
)
CACHED_BLOCKS = Gauge(
    'lacewing_agent_cached_blocks', 'Cached blocks known of the worker'
)
KV_IMPORTED = Counter(
    'lacewing_agent_kv_imported_blocks',
    'Blocks imported from the store of kept KV cache',
)
KV_EXPORTED = Counter(
    'lacewing_agent_kv_exported_blocks',
    'Blocks exported to the store of kept KV cache',
)
