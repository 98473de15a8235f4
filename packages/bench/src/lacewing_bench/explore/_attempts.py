"""Explore the agent's table of attempts for one call of one router.

Symptoms looked for: a call that runs twice; "not run" of an attempt that
ran or still runs later; two outcomes of one attempt.

The router is as careful as the real one: it sends each Start once, asks in
doubt, and starts the next attempt only after "not run".
"""

import time
from dataclasses import dataclass
from dataclasses import field
from enum import Enum

from lacewing_common.verdict import may_have_run
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal
from lacewing_common.verdict import Verdict
from lacewing_common.wire import AttemptId
from lacewing_common.wire import CacheReport
from lacewing_common.wire import End
from lacewing_common.wire import Start
from lacewing_daemon.agent._attempt import Attempt
from lacewing_daemon.agent._attempts import Attempts
from lacewing_daemon.agent._attempts import IDLE_S

from lacewing_bench.explore._search import Breach
from lacewing_bench.explore._search import Chooser
from lacewing_bench.explore._search import Findings
from lacewing_bench.explore._search import search

ROUTER = 'router.1'
MOST_ATTEMPTS = 2
MOST_ASKS = 3
MOST_RESTARTS = 2
LONG_S = 2 * IDLE_S
UNFIT = not_run(Reason.DRAINING, 'scripted: leaving')


class Kind(Enum):
    """Tell what a frame asks for."""

    START = 'start'
    ASK = 'ask'


@dataclass
class Frame:
    """Hold a frame under way; ``reached`` is the run that got it, 0: none.

    A connection ends with the run of the agent that holds it: a frame that
    reached one run never reaches the next.
    """

    kind: Kind
    attempt: AttemptId
    reached: int = 0


@dataclass
class World:
    """Hold the network, the agent, its worker and what the router knows."""

    run: int = 1
    sequence: int = 0
    asks: int = 0
    leaving: bool = False
    table: Attempts = field(default_factory=lambda: Attempts(1))
    frames: list[Frame] = field(default_factory=list)
    sent: list[AttemptId] = field(default_factory=list)
    held: dict[AttemptId, Attempt] = field(default_factory=dict)
    executed: list[AttemptId] = field(default_factory=list)
    told: dict[AttemptId, set[Verdict]] = field(default_factory=dict)

    def options(self) -> list[str]:
        """Name what may happen next, always in the same order."""
        found: list[str] = []
        if self._may_start():
            found.append('send start')
        if self.sent and self.asks < MOST_ASKS:
            found.append('send ask')
        for number, frame in enumerate(self.frames):
            if frame.reached in (0, self.run):
                found.append(f'deliver {number} {frame.kind.value}')
        for attempt_id, attempt in self.held.items():
            found.extend(self._endings(attempt_id, attempt))
        if self.sent and self.run <= MOST_RESTARTS:
            found.append('restart')
        if self.sent and not self.leaving:
            found.append('leave')
        if self.sent:
            found.append('forget')
        return found

    def make(self, step: str) -> None:
        """Make a step by its name."""
        word, _, rest = step.partition(' ')
        if word == 'send':
            self._send(Kind(rest))
        elif word == 'deliver':
            self._deliver(self.frames[int(rest.partition(' ')[0])])
        elif word == 'restart':
            self._restart()
        elif word == 'leave':
            self.leaving = True
        elif word == 'forget':
            self._forget()
        else:
            self._work(word, self.sent[int(rest)])

    def broken(self) -> str:
        """Name a broken invariant, '' when all hold."""
        if len(self.executed) > 1:
            return 'a call runs at most once'
        for attempt_id, verdicts in self.told.items():
            if Verdict.NOT_RUN in verdicts and attempt_id in self.executed:
                return '"not run" is true of the attempt, for ever'
            if {Verdict.NOT_RUN, Verdict.RAN} <= verdicts:
                return 'an attempt has one outcome'
        return ''

    def _may_start(self) -> bool:
        if len(self.sent) >= MOST_ATTEMPTS:
            return False
        if not self.sent:
            return True
        return Verdict.NOT_RUN in self.told.get(self.sent[-1], set())

    def _endings(self, attempt_id: AttemptId, attempt: Attempt) -> list[str]:
        number = self.sent.index(attempt_id)
        if attempt.outcome is not None:
            return []
        if attempt_id in self.executed:
            return [f'finish {number}', f'fail {number}']
        return [f'execute {number}', f'refuse {number}']

    def _send(self, kind: Kind) -> None:
        if kind is Kind.START:
            self.sequence += 1
            self.sent.append(AttemptId(ROUTER, self.sequence, self.run))
        else:
            self.asks += 1
        self.frames.append(Frame(kind, self.sent[-1]))

    def _deliver(self, frame: Frame) -> None:
        # The frame stays: a frame delivered again is a duplicate.
        frame.reached = self.run
        attempt_id = frame.attempt
        if frame.kind is Kind.START:
            unfit = UNFIT if self.leaving else None
            found = self.table.begin(self._start(attempt_id), unfit)
        else:
            found = self.table.ask(attempt_id)
        if isinstance(found, Refusal):
            self._tell(attempt_id, found.verdict)
            return
        self.held[attempt_id] = found
        self._tell_outcome(attempt_id, found)

    def _start(self, attempt_id: AttemptId) -> Start:
        oldest_open = self.sent[-1].sequence
        return Start(
            attempt=attempt_id,
            request_id='request',
            team='team',
            service='service',
            method='POST',
            path='/certificates',
            content_type='',
            body=b'',
            idempotent=False,
            oldest_open=min(oldest_open, attempt_id.sequence),
        )

    def _work(self, word: str, attempt_id: AttemptId) -> None:
        attempt = self.held[attempt_id]
        if word == 'execute':
            attempt.mark_sent()
            self.executed.append(attempt_id)
            return
        if word == 'refuse':
            attempt.refuse(not_run(Reason.QUEUE_FULL, 'scripted'))
        elif word == 'fail':
            attempt.refuse(may_have_run(Reason.STREAM_BROKEN, 'scripted'))
        else:
            attempt.finish(0, 0, CacheReport())
        self._tell_outcome(attempt_id, attempt)

    def _tell_outcome(self, attempt_id: AttemptId, attempt: Attempt) -> None:
        outcome = attempt.outcome
        if outcome is None:
            return
        verdict = Verdict.RAN
        if not isinstance(outcome, End):
            verdict = outcome.verdict
        self._tell(attempt_id, verdict)

    def _tell(self, attempt_id: AttemptId, verdict: Verdict) -> None:
        # The router may hear of it or not: as if it always did, since the
        # next attempt then is one more option and not the only one.
        self.told.setdefault(attempt_id, set()).add(verdict)

    def _restart(self) -> None:
        self.run += 1
        self.leaving = False
        self.table = Attempts(self.run)
        self.held.clear()

    def _forget(self) -> None:
        """Forget answers, then routers that are idle for long."""
        for history in self.table.histories():
            for sequence in list(history.attempts):
                history.forget_answer(sequence)
        for attempt_id, attempt in list(self.held.items()):
            if attempt.outcome is not None:
                del self.held[attempt_id]
        self.table.forget_idle(time.monotonic() + LONG_S)


def explore_attempts(depth: int) -> Findings:
    """Explore all sequences of ``depth`` steps."""
    findings = Findings(depth)
    search(_run_sequence, findings)
    return findings


def _run_sequence(chooser: Chooser, findings: Findings) -> None:
    world = World()
    broken = ''
    while not chooser.spent and not broken:
        options = world.options()
        choice = chooser.choose(options)
        world.make(options[choice])
        broken = world.broken()
    for verdicts in world.told.values():
        for verdict in verdicts:
            findings.reached[verdict.value] += 1
    if broken:
        findings.breach(Breach(broken, tuple(chooser.steps)))
