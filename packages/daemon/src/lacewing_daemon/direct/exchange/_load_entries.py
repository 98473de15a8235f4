"""Define the section ``load`` of messages between routers.

Messages go to every peer several times a second, so entries are arrays of
small integers without their trailing defaults: some 15 bytes per engine.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from math import ceil

import msgspec
import xxhash

# Tokens are told in units of this many, rounded up: a prompt of a few
# thousand tokens then takes one byte, with an error of 0.3 to 0.8 ms of
# prefill.
TOKENS_UNIT = 32
# Ages are told in units of this many seconds.
AGE_UNIT_S = 0.1


class ReportEntry(msgspec.Struct, frozen=True, array_like=True):
    """Hold an engine's load report; ``age`` in ``AGE_UNIT_S``."""

    running: int
    waiting: int
    slots: int
    age: int


class EngineEntry(msgspec.Struct, frozen=True, array_like=True):
    """Hold what one router tells of one engine.

    ``engine`` is its ``engine_key``. ``queue`` has three numbers for each
    urgency: the urgency, the tokens still to be prefilled, and the tokens of
    prompts sent since the last message, in ``TOKENS_UNIT``. The ages are
    those of the last data, of the last failure to connect and of the last
    detected silence, None if there was none or if nobody needs it.
    """

    engine: int
    in_flight: int = 0
    waiting: int = 0
    tokens: int = 0
    queue: tuple[int, ...] = ()
    report: ReportEntry | None = None
    data_age: int | None = None
    refused_age: int | None = None
    silent_age: int | None = None


class LoadUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Hold the section; ``full``: engines that are not listed have no load."""

    full: bool
    entries: tuple[EngineEntry, ...] = ()


@dataclass(frozen=True)
class Report:
    """Hold an engine's load report and when it was made."""

    running: int
    waiting: int
    slots: int
    at_s: float


@dataclass(frozen=True)
class EngineLoad:
    """Hold one router's load at one engine; times are monotonic.

    ``waiting_tokens`` and ``sent_tokens`` are by urgency, the latter of
    prompts sent since the last message.
    """

    waiting_tokens: Mapping[int, float]
    sent_tokens: Mapping[int, float]
    waiting: int = 0
    in_flight: int = 0
    tokens_in_flight: int = 0
    data_s: float | None = None
    refused_s: float | None = None
    silent_s: float | None = None
    report: Report | None = None


def engine_key(incarnation: str) -> int:
    """Return the key of an incarnation of an engine in messages.

    With 890 engines, two have the same key with a probability of 0.0001.
    """
    return xxhash.xxh32_intdigest(incarnation.encode())


def encode_entry(engine: int, load: EngineLoad, now_s: float) -> list[object]:
    """Return an entry as an array without its trailing defaults."""
    report = load.report
    stated = None
    if report is not None:
        stated = ReportEntry(
            report.running,
            report.waiting,
            report.slots,
            _age(report.at_s, now_s) or 0,
        )
    entry: list[object] = [
        engine,
        load.in_flight,
        load.waiting,
        _units(load.tokens_in_flight),
        _queue(load),
        stated,
        _age(load.data_s, now_s),
        _age(load.refused_s, now_s),
        _age(load.silent_s, now_s),
    ]
    while len(entry) > 1 and entry[-1] == _DEFAULTS[len(entry) - 1]:
        entry.pop()
    return entry


def decode_entry(entry: EngineEntry, now_s: float) -> EngineLoad:
    """Return the load that an entry tells, received at ``now_s``."""
    waiting = {}
    sent = {}
    for start in range(0, len(entry.queue) - 2, 3):
        urgency, waiting_units, sent_units = entry.queue[start : start + 3]
        waiting[urgency] = float(max(0, waiting_units) * TOKENS_UNIT)
        sent[urgency] = float(max(0, sent_units) * TOKENS_UNIT)
    report = entry.report
    stated = None
    if report is not None:
        at_s = now_s - report.age * AGE_UNIT_S
        stated = Report(report.running, report.waiting, report.slots, at_s)
    return EngineLoad(
        waiting,
        sent,
        max(0, entry.waiting),
        max(0, entry.in_flight),
        max(0, entry.tokens) * TOKENS_UNIT,
        _time(entry.data_age, now_s),
        _time(entry.refused_age, now_s),
        _time(entry.silent_age, now_s),
        stated,
    )


_DEFAULTS: tuple[object, ...] = (0, 0, 0, 0, [], None, None, None, None)


def _queue(load: EngineLoad) -> list[int]:
    queue = []
    for urgency in sorted({*load.waiting_tokens, *load.sent_tokens}):
        waiting = _units(load.waiting_tokens.get(urgency, 0.0))
        sent = _units(load.sent_tokens.get(urgency, 0.0))
        if waiting or sent:
            queue += [urgency, waiting, sent]
    return queue


def _units(tokens: float) -> int:
    return ceil(max(0.0, tokens) / TOKENS_UNIT)


def _age(at_s: float | None, now_s: float) -> int | None:
    if at_s is None:
        return None
    return round(max(0.0, now_s - at_s) / AGE_UNIT_S)


def _time(age: int | None, now_s: float) -> float | None:
    return None if age is None else now_s - max(0, age) * AGE_UNIT_S
