"""Tell in a few words why a request went where it went."""

import msgspec
from lacewing_common.wire import CacheReport


class Estimate(msgspec.Struct, frozen=True):
    """Hold what the router expected of one worker."""

    process_id: str
    first_token_ms: float
    hit_blocks: float


class Choice(msgspec.Struct, frozen=True):
    """Hold the chosen worker and what was expected of all."""

    process_id: str
    policy: str
    estimates: tuple[Estimate, ...] = ()


class Outcome(msgspec.Struct, frozen=True):
    """Hold what came true."""

    result: str
    cache: CacheReport = CacheReport()


class Decision(msgspec.Struct, frozen=True):
    """Hold one choice and its outcome."""

    choice: Choice
    outcome: Outcome | None = None


class Explanation(msgspec.Struct, frozen=True):
    """Hold the decisions on one request, in order."""

    decisions: tuple[Decision, ...] = ()

    @property
    def worker(self) -> str:
        """Return the process id of the agent chosen last, or ''."""
        if not self.decisions:
            return ''
        return self.decisions[-1].choice.process_id

    @property
    def reason(self) -> str:
        """Return why that agent was chosen and what came true."""
        if not self.decisions:
            return 'answered by the router itself'
        decision = self.decisions[-1]
        said = [f'{decision.choice.policy} of {_candidates(decision)}']
        expected = _expected(decision.choice)
        if expected:
            said.append(expected)
        reused = _reused(decision.outcome)
        if reused:
            said.append(reused)
        return ', '.join(said)


NOT_ROUTED = Explanation()


def _candidates(decision: Decision) -> str:
    number = len(decision.choice.estimates)
    return f'{number} candidates' if number else 'the candidates'


def _expected(choice: Choice) -> str:
    for estimate in choice.estimates:
        if estimate.process_id == choice.process_id:
            blocks = round(estimate.hit_blocks)
            first_ms = round(estimate.first_token_ms)
            return f'expected {blocks} blocks cached, {first_ms} ms'
    return ''


def _reused(outcome: Outcome | None) -> str:
    if outcome is None or not outcome.cache.prompt_blocks:
        return ''
    cache = outcome.cache
    return f'reused {cache.hit_blocks} of {cache.prompt_blocks}'
