"""Work out the calls at the platform."""

from lacewing_common.claim_key import RANGE_COUNT
from lacewing_daemon.claims import ClaimLimits

from lacewing_bench.capacity._table import Row
from lacewing_bench.capacity._target import CHANGES_S
from lacewing_bench.capacity._target import REGIONS

# `make rollout`: three watches wait and 3.1 reads of the VM list a second in
# one region, the same at 40 and 80 processes.
_READERS_REGION = 3
_READS_READER_S = 2.1
# What `lacewingctl bundle roll` reads: head, parts, history.
_READS_ROLL = 68
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
            "operators' command line",
            _READS_ROLL * CHANGES_S,
            f'{_READS_ROLL} x {CHANGES_S:.3f}/s',
            'measured of one roll at 2,500 teams',
            'a roll reads the bundle that it is upon',
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
    claims = RANGE_COUNT / ClaimLimits().pace_s
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
            f'{RANGE_COUNT} ranges / {ClaimLimits().pace_s} s, the bound of'
            f' one service',
            'claims-cost',
            'claims of one range in one update, paced',
        ),
    )
