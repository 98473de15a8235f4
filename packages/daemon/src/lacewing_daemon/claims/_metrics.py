"""Count what becomes of claims, for ``/metrics``."""

from prometheus_client import Counter

CLAIM_ANSWERS = Counter(
    'lacewing_claims_answers_total',
    'Answers to requests for a claim: granted, replayed or a reason',
    ['answer'],
)
CLAIM_WRITES = Counter(
    'lacewing_claims_writes_total',
    'Conditional updates of ranges of claims, by what the platform said',
    ['result'],
)
CLAIM_READS = Counter('lacewing_claims_reads_total', 'Reads of ranges')
CLAIMS_WITHDRAWN = Counter(
    'lacewing_claims_withdrawn_total', 'Claims withdrawn as never run'
)
