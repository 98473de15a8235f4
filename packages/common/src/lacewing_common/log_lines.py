"""Describe the log lines that are read again to explain a request."""

from datetime import datetime

import msgspec


class Try(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Hold one send to an upstream; times in milliseconds.

    ``expected_ms``: when its first event was expected, of which
    ``waits_ms`` for the requests before it. ``others``: requests of other
    routers that the upstream last told of. ``verdict`` and ``reason`` say
    how it ended, ``status`` what the upstream answered. ``first_ms``: until
    its first event or its answer, -1 if none came. ``weights``: the version
    asked for; if older than the one named last, ``named`` is that one and
    ``old_ms`` for how long a newer one had been named. ``went_on``: the run of
    an earlier send was continued from its copy. ``copy``: the upstream that
    kept a copy of this run's memory, '' for none.
    """

    upstream: str
    verdict: str
    reason: str
    ms: int
    status: int = 0
    expected_ms: int = 0
    waits_ms: int = 0
    others: int = 0
    weights: int = 0
    named: int = 0
    old_ms: int = 0
    first_ms: int = -1
    tokens_per_ms: float = 0.0
    went_on: bool = False
    copy: str = ''


class BrokenRun(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a run that its upstream broke off.

    ``same`` is the fingerprint of all requests which ask the same;
    ``begun``: the run had brought an event.
    """

    request: str
    same: str
    begun: bool


class LogLine(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one line of a process's log, as far as it is read again.

    ``request`` is the id on lines of requests and ``same`` the fingerprint of
    those which ask the same, ``upstream`` and ``version`` are those of an
    order to load weights, ``collection`` and ``fault`` of what the store no
    longer tells, ``runs`` those that a crash of ``upstream`` broke off.
    """

    event: str
    process: str
    timestamp: datetime
    request: str = ''
    service: str = ''
    status: int = -1
    verdict: str = ''
    reason: str = ''
    message: str = ''
    ms: int = 0
    left_ms: int = 0
    config: int = 0
    config_age_ms: int = 0
    upstreams: int = -1
    tries: tuple[Try, ...] = ()
    upstream: str = ''
    version: int = 0
    collection: str = ''
    fault: str = ''
    same: str = ''
    runs: tuple[BrokenRun, ...] = ()
