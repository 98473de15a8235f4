"""Define the log lines that tools read to explain a request."""

from datetime import datetime

import msgspec


class Try(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Hold one send to an upstream; times in milliseconds.

    ``expected_ms``: expected time to the first event, of which ``waits_ms``
    is the wait for earlier requests. ``others``: requests of other routers
    that the upstream last reported. ``verdict`` and ``reason`` are the
    outcome, ``status`` is the status that the upstream returned.
    ``first_ms``: time to the first event or the response, -1 if there was
    none. ``weights``: the requested version; if it was superseded, ``named``
    is the version released last and ``old_ms`` the time for which a later
    version had been released. ``went_on``: the run of an earlier send was
    continued from the copy of its KV cache. ``copy``: the upstream that kept
    a copy of this run's KV cache, '' for none. ``ended``: how the body of the
    answer ended, '' if the router gave the send up before; ``partial_bytes``:
    the bytes after the last complete event of a stream. ``software``: the
    version of the upstream's software. ``given_up``: why the router itself
    ended the send, '' if it did not. ``unsigned``: an answer that is no
    refusal had no signature; ``status`` is 0 where no head came at all.
    ``earlier``: requests that the connection carried before; ``skipped``:
    answers to other requests that came on it before the answer.
    ``unconfirmed``: no report has told which start of the upstream accepted
    the connection, so that ``software`` may be that of an earlier one.
    ``at_ms``: when the send began, since the request was received;
    ``connect_ms``: time from then until the request was sent.
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
    ended: str = ''
    partial_bytes: int = 0
    software: str = ''
    given_up: str = ''
    unsigned: bool = False
    earlier: int = 0
    skipped: int = 0
    unconfirmed: bool = False
    at_ms: int = 0
    connect_ms: int = 0


class BrokenRun(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a run that its upstream interrupted.

    ``same`` is the fingerprint that identical requests share; ``begun``: at
    least one event of the run had been received. ``parts`` are fingerprints
    of the parts of its prompt that others may share, in order.
    """

    request: str
    same: str
    begun: bool
    parts: tuple[str, ...] = ()


class LogLine(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the fields of a log line that tools read.

    ``request`` is the id on lines of requests and ``same`` the fingerprint
    that identical requests share; ``upstream`` and ``version`` belong to an
    order to load weights, ``collection`` and ``fault`` to a collection of the
    store that can't be watched; ``runs`` are those that a crash of
    ``upstream`` interrupted. ``resumes`` is the id of the request that brought
    the first event of a stream that is taken up; ``origin`` is 'recorded' if a
    router has a record of the version that began it, and 'inferred' if only
    one version can have begun it. ``parts`` are fingerprints of the shared
    parts of the prompt of a request that was blocked.
    ``queue_ahead``: requests that preceded this one when it joined the
    router's queue, -1 if it did not wait there; ``queued_ms``: its wait.
    ``no_send``: why no further send was made, where ``message`` tells what an
    earlier one met. ``kind`` says which request a skipped answer named, and
    ``answered`` has its id.
    """

    event: str
    process: str
    timestamp: datetime
    request: str = ''
    service: str = ''
    team: str = ''
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
    resumes: str = ''
    origin: str = ''
    parts: tuple[str, ...] = ()
    queued_ms: int = 0
    queue_ahead: int = -1
    no_send: str = ''
    kind: str = ''
    answered: str = ''
