"""Know at which software version each resumable stream began."""

from lacewing_daemon.direct.origins._current_versions import CurrentVersions
from lacewing_daemon.direct.origins._directory import MAX_LIVES
from lacewing_daemon.direct.origins._directory import Question
from lacewing_daemon.direct.origins._directory import StreamOrigins
from lacewing_daemon.direct.origins._history import MAX_LIST_AGE_S
from lacewing_daemon.direct.origins._records import stream_key
from lacewing_daemon.direct.origins._records import StreamOrigin
from lacewing_daemon.direct.origins._records import UnknownOrigin
from lacewing_daemon.direct.origins._version_records import VersionRecords

__all__ = [
    'CurrentVersions',
    'MAX_LIST_AGE_S',
    'MAX_LIVES',
    'Question',
    'StreamOrigin',
    'StreamOrigins',
    'UnknownOrigin',
    'VersionRecords',
    'stream_key',
]
