"""Define the messages about crashes between routers."""

import msgspec

from lacewing_daemon.direct.crashes._record import CrashRecord

TELL_METHOD = '/lacewing.Crashes/Tell'
COMPARE_METHOD = '/lacewing.Crashes/Compare'
PROBE_METHOD = '/lacewing.Crashes/Probe'


class CrashReport(msgspec.Struct, frozen=True):
    """Report new records.

    ``sender`` is the ``ip:port`` at which the sending router takes calls.
    """

    sender: str
    records: tuple[CrashRecord, ...]


class CrashReportAck(msgspec.Struct, frozen=True):
    """Acknowledge a crash report."""


class CompareRequest(msgspec.Struct, frozen=True):
    """Request the records that the sender does not have.

    ``marks`` holds the digests of all its records.
    """

    sender: str
    marks: tuple[int, ...]


class CompareReply(msgspec.Struct, frozen=True):
    """Return the records that the caller does not have.

    ``lacking`` holds the digests of its records that are missing here.
    """

    records: tuple[CrashRecord, ...]
    lacking: tuple[int, ...]


class ProbeRequest(msgspec.Struct, frozen=True):
    """Request leave to run one request of a blocked subject."""

    subject: str


class ProbeReply(msgspec.Struct, frozen=True):
    """Grant a probe, or not."""

    granted: bool
