"""Define the metrics of a direct router."""

from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram

_BUCKETS_S = (0.01, 0.03, 0.1, 0.2, 0.3, 0.4, 0.8, 1.5, 3.0, 5.0, 15.0)
_SLOWDOWN_BUCKETS = (0.5, 0.8, 1.0, 1.25, 1.5, 2.0, 3.0, 5.0, 10.0)
_ERROR_BUCKETS_S = (-0.4, -0.2, -0.1, -0.05, 0.0, 0.05, 0.1, 0.2, 0.4, 0.8, 2)

REQUESTS = Counter(
    'lacewing_direct_requests',
    'Requests ended, by service, HTTP status and reason (own answers)',
    ['service', 'status', 'reason'],
)
OPEN_REQUESTS = Gauge(
    'lacewing_direct_open_requests', 'Requests that have not yet ended'
)
ATTEMPTS = Counter(
    'lacewing_direct_attempts',
    'Sends to upstreams, by service and verdict',
    ['service', 'verdict'],
)
BODY_ENDS = Counter(
    'lacewing_direct_body_ends',
    "Bodies of upstreams' answers, by service and how they ended",
    ['service', 'end'],
)
ANSWERS_SKIPPED = Counter(
    'lacewing_direct_answers_skipped',
    'Answers to other requests that came while one waited, by service and'
    ' kind',
    ['service', 'kind'],
)
ANSWERS_UNEXPECTED = Counter(
    'lacewing_direct_answers_unexpected',
    'Answers that came while no request waited, by service and kind',
    ['service', 'kind'],
)
ANSWERS_UNSIGNED = Counter(
    'lacewing_direct_answers_unsigned',
    'Answers without a signature that refuse nothing, by service',
    ['service'],
)
READS_CUT = Counter(
    'lacewing_direct_reads_cut',
    'Answers cut off as they exceeded a bound, by what they answered',
    ['source'],
)
REPEATS_DENIED = Counter(
    'lacewing_direct_repeats_denied',
    'Repeated sends that the retry budget did not allow, by service',
    ['service'],
)
RUNS_CONTINUED = Counter(
    'lacewing_direct_runs_gone_on',
    'Runs continued from copies of their memory, by service and verdict',
    ['service', 'verdict'],
)
CONTINUATIONS_REFUSED = Counter(
    'lacewing_direct_continuations_refused',
    'Sends of the rest of a started stream that upstreams refused, by service',
    ['service'],
)
HANDOVERS = Counter(
    'lacewing_direct_handovers',
    'Started streams that other upstreams were asked for while their run went'
    ' on, by service and end',
    ['service', 'end'],
)
HANDOVER_OVERLAP_SECONDS = Histogram(
    'lacewing_direct_handover_overlap_seconds',
    'Seconds for which a started stream was under way at two upstreams, by'
    ' service',
    ['service'],
    buckets=_BUCKETS_S,
)
STREAMS_TAKEN_UP = Counter(
    'lacewing_direct_streams_taken_up',
    'Requests for the rest of a stream, by service and what is known of it',
    ['service', 'origin'],
)
STARTS_UNCONFIRMED = Counter(
    'lacewing_direct_starts_unconfirmed',
    'Started streams that were not sent to an upstream, as it was not certain'
    ' that it has their software version, by service',
    ['service'],
)
ORIGINS_SENT = Counter(
    'lacewing_direct_stream_origins_sent',
    'Origins of streams sent to other routers, by result',
    ['result'],
)
ORIGIN_RECORDS = Gauge(
    'lacewing_direct_stream_origins',
    'Origins of streams that this router has recorded',
)
SOFTWARE_RECORDS = Counter(
    'lacewing_direct_software_records',
    'Reads and writes of the recorded software versions, by result',
    ['result'],
)
SOFTWARE_OBSERVED_SECONDS = Gauge(
    'lacewing_direct_software_observed_seconds',
    'Seconds for which all software versions of upstreams are known',
)
UPSTREAM_CRASHES = Counter(
    'lacewing_direct_upstream_crashes',
    'Crashes of upstreams that broke runs of this router off, by service',
    ['service'],
)
BLOCKED_REQUESTS = Gauge(
    'lacewing_direct_blocked_requests',
    'Requests and parts of prompts blocked, as upstreams crashed under them',
)
CRASHES_AT_ONE_MOMENT = Gauge(
    'lacewing_direct_crashes_at_one_moment',
    'Recent crashes of upstreams that count as one with others',
)
CRASH_PROBES = Counter(
    'lacewing_direct_crash_probes',
    'Runs of blocked requests, to learn whether they are harmless',
)
CRASH_MESSAGES = Counter(
    'lacewing_direct_crash_news',
    'Calls to other routers about crashes, by result',
    ['result'],
)
SILENT_UPSTREAMS = Counter(
    'lacewing_direct_upstreams_silent',
    'Times that all streams of an upstream fell silent at once',
)
LIVE_ROUTERS = Gauge(
    'lacewing_direct_routers', 'Routers that live, as this one counts them'
)
ENTRIES_SKIPPED = Counter(
    'lacewing_direct_entries_left_out',
    'Entries of the store that could not be read, by collection',
    ['collection'],
)
FIRST_SECONDS = Histogram(
    'lacewing_direct_first_seconds',
    'Seconds from a request to its first event or its answer, by service',
    ['service'],
    buckets=_BUCKETS_S,
)
STORE_AGE_SECONDS = Gauge(
    'lacewing_direct_store_age_seconds',
    'Seconds since what is known of a collection was confirmed',
    ['collection'],
)
ENGINE_ESTIMATE = Gauge(
    'lacewing_direct_engine_estimate',
    'What engines have shown, or what is configured, by service and figure',
    ['service', 'figure'],
)
CONTENDED = Gauge(
    'lacewing_direct_contended',
    'Whether a service counts as contended (0, 1), by service',
    ['service'],
)
MACHINE_SLOWDOWN = Histogram(
    'lacewing_direct_machine_slowdown',
    'Slowdown of their machines that upstreams report, 1 as usual, by service',
    ['service'],
    buckets=_SLOWDOWN_BUCKETS,
)
ENGINE_FACTOR = Gauge(
    'lacewing_direct_engine_factor',
    'Ratio of the times of an engine of a contended service to the usual ones',
    ['service', 'upstream'],
)
EXPECTATION_ERROR_SECONDS = Histogram(
    'lacewing_direct_expectation_error_seconds',
    'How much later a first event came than expected, by contended service',
    ['service'],
    buckets=_ERROR_BUCKETS_S,
)
STORE_ERA = Gauge(
    'lacewing_direct_store_era',
    'Era of the store, counted from 1; higher each time that it lost changes',
)
STORE_CALLS = Counter(
    'lacewing_direct_store_calls',
    'Calls to the store, by what is asked and why',
    ['subject', 'reason'],
)
LOAD_ORDERS = Counter(
    'lacewing_direct_load_orders',
    'Orders to load weights, by what the upstream did',
    ['verdict'],
)
LEASE_HELD = Gauge(
    'lacewing_direct_lease_held', 'Whether this router orders weights (0, 1)'
)
LOG_LINES_DROPPED = Counter(
    'lacewing_direct_lines_left_out', 'Log lines of requests not written'
)
LIMIT_DEMAND = Counter(
    'lacewing_direct_limit_demand',
    'What requests of teams with a limit count, by team and result',
    ['team', 'result'],
)
LIMIT_TOKENS = Gauge(
    'lacewing_direct_limit_held',
    "What is left of a team's limit at this router, or in a pool it keeps",
    ['team', 'holder'],
)
LIMIT_SHARE = Gauge(
    'lacewing_direct_limit_share',
    'Share of each limit that comes in at this router, 0 to 1',
)
LIMIT_SETTLED_AGE_SECONDS = Gauge(
    'lacewing_direct_limit_settled_age_seconds',
    'Seconds since a keeper of pools answered',
)
LIMIT_MESSAGES = Counter(
    'lacewing_direct_limit_messages',
    'Calls to other routers about limits, by result',
    ['result'],
)
UPSTREAM_LIMIT = Gauge(
    'lacewing_direct_upstream_limit',
    'Requests a second that an upstream says it takes, by upstream',
    ['upstream'],
)
UPSTREAM_CHARGES = Counter(
    'lacewing_direct_upstream_limit_charges',
    'Requests counted against limits that upstreams name, by result',
    ['result'],
)
UPSTREAMS_LEAVING = Counter(
    'lacewing_direct_upstreams_leaving',
    'Upstreams whose answers told first that they leave, by service',
    ['service'],
)
UPSTREAM_RESTS = Counter(
    'lacewing_direct_upstream_rests',
    'Times that an upstream asked this router for rest, by service',
    ['service'],
)
MALFORMED_STATEMENTS = Counter(
    'lacewing_direct_statements_malformed',
    'Statements in answers of upstreams that could not be read, by subject',
    ['subject'],
)
EXCHANGE_MESSAGES = Counter(
    'lacewing_direct_exchange_messages',
    'Messages about loads to and from other routers, by result',
    ['result'],
)
EXCHANGE_BYTES = Counter(
    'lacewing_direct_exchange_bytes',
    'Bytes of messages about loads, with their frames, by direction',
    ['direction'],
)
EXCHANGE_PEERS = Gauge(
    'lacewing_direct_exchange_peers',
    'Routers that read messages about loads, or that were heard of lately',
    ['state'],
)
EXCHANGE_INTERVAL_SECONDS = Gauge(
    'lacewing_direct_exchange_interval_seconds',
    'Interval between messages about loads',
)
OTHER_LOAD_AGE_SECONDS = Gauge(
    'lacewing_direct_other_load_age_seconds',
    'Mean age of what other routers told of their load, -1 if unknown',
)
UNREACHABLE_UPSTREAMS = Gauge(
    'lacewing_direct_upstreams_unreachable',
    'Upstreams that no router reaches, as routers told',
)
QUEUE_WAITING = Gauge(
    'lacewing_direct_queue_waiting',
    'Requests that wait at this router for an upstream, by service',
    ['service'],
)
QUEUE_SECONDS = Histogram(
    'lacewing_direct_queue_seconds',
    'Seconds that requests waited at this router, by service',
    ['service'],
    buckets=_BUCKETS_S,
)
QUEUE_REFUSED = Counter(
    'lacewing_direct_queue_refused',
    'Requests refused instead of waiting on, by service and cause',
    ['service', 'cause'],
)
