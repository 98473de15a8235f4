"""Work out the calls at the platform."""

from lacewing_common.claim_key import RANGES
from lacewing_daemon.claims import ClaimLimits

from lacewing_bench.capacity._table import Row
from lacewing_bench.capacity._target import CHANGES_S
from lacewing_bench.capacity._target import REGIONS

# Measured by its own page: three processes a region watch the heads and
# read the VM list once a second.
_READERS_REGION = 3
_READS_READER_S = 3.0
# Parts, archived head, head and audit record, with a reserve of one.
_WRITES_ROLL = 5


def platform_reads() -> tuple[Row, ...]:
    """Return the platform's reads a second, all processes together."""
    readers = _READERS_REGION * REGIONS
    return (
        Row(
            'heads watched, VM list read',
            readers * _READS_READER_S,
            f'{readers} readers x {_READS_READER_S:.0f}/s',
            'rollout',
            'the processes of lowest hash read, all others hear from peers',
        ),
        Row(
            'parts of a roll',
            readers * 2 * CHANGES_S,
            f'{readers} readers x 2 parts x {CHANGES_S:.3f}/s',
            'rollout',
            'a process fetches missing parts from the peer that offered',
        ),
        Row(
            'processes that lost all peers',
            100.0,
            'bound of the fallback, over all processes',
            'setting',
            'reads spread by the number of members last known',
        ),
    )


def platform_writes() -> tuple[Row, ...]:
    """Return the platform's writes a second, all processes together."""
    claims = RANGES / ClaimLimits().pace_s
    return (
        Row(
            'rolls, archive and audit',
            _WRITES_ROLL * CHANGES_S,
            f'{_WRITES_ROLL} x {CHANGES_S:.3f}/s',
            'bundle-cost',
            'one conditional update of the head a roll',
        ),
        Row(
            'claims',
            claims,
            f'{RANGES} ranges / {ClaimLimits().pace_s} s, the bound of one'
            f' service',
            'claims-cost',
            'claims of one range in one update, paced',
        ),
    )
