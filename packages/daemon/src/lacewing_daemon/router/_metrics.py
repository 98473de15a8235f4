"""Count what the router does, for operators."""

from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram

_SECONDS = (0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.2, 1.7, 2.5, 5.0, 10.0, 30.0)

REQUESTS = Counter(
    'lacewing_router_requests',
    'Requests ended, by service, HTTP status and verdict',
    ['service', 'status', 'verdict'],
)
OPEN_REQUESTS = Gauge(
    'lacewing_router_open_requests', 'Requests that have not yet ended'
)
ATTEMPTS = Counter(
    'lacewing_router_attempts',
    'Attempts ended, by service and outcome',
    ['service', 'outcome'],
)
RETRIES = Counter(
    'lacewing_router_retries',
    'Attempts after the first of a request, by service and cause',
    ['service', 'cause'],
)
RETRIES_DENIED = Counter(
    'lacewing_router_retries_denied',
    'Retries that the retry budget did not allow, by service',
    ['service'],
)
CONTINUED_STREAMS = Counter(
    'lacewing_router_continued_streams',
    'Cut streams continued on another worker',
)
REATTACHED = Counter(
    'lacewing_router_reattached_attempts',
    'Attempts asked about after a broken link',
)
DROPPED_FRAMES = Counter(
    'lacewing_router_dropped_frames',
    'Frames from agents that were dropped, by cause',
    ['cause'],
)
LINKS_UP = Gauge('lacewing_router_links_up', 'Links to agents that are up')
LINK_BREAKS = Counter(
    'lacewing_router_link_breaks', 'Links to agents that broke'
)
FIRST_TOKEN_SECONDS = Histogram(
    'lacewing_router_first_token_seconds',
    'Seconds from a request to its first answer byte, by service',
    ['service'],
    buckets=_SECONDS,
)
HIT_BLOCKS = Counter(
    'lacewing_router_hit_blocks',
    'Prompt blocks that engines reused, by service',
    ['service'],
)
PROMPT_BLOCKS = Counter(
    'lacewing_router_prompt_blocks',
    'Prompt blocks sent to engines, by service',
    ['service'],
)
RELAYED_BYTES = Counter(
    'lacewing_router_relayed_bytes', 'Answer bytes sent to callers'
)
