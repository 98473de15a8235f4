"""Define what routers say to each other about crashes."""

import msgspec

from lacewing_daemon.direct.crashes._record import CrashRecord

TELL_METHOD = '/lacewing.Crashes/Tell'
COMPARE_METHOD = '/lacewing.Crashes/Compare'


class CrashReport(msgspec.Struct, frozen=True):
    """Tell what is new; ``sender`` is ``ip:port`` for calls of peers."""

    sender: str
    records: tuple[CrashRecord, ...]


class CrashReportAck(msgspec.Struct, frozen=True):
    """Confirm that the news has come."""


class CompareRequest(msgspec.Struct, frozen=True):
    """Ask for what the sender lacks; ``marks`` of all that it holds."""

    sender: str
    marks: tuple[int, ...]


class CompareReply(msgspec.Struct, frozen=True):
    """Give records that the caller lacks, and marks of those lacking here."""

    records: tuple[CrashRecord, ...]
    lacking: tuple[int, ...]
