"""Draw the mixed traffic of a run, the same for the same seed."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

import msgspec

from lacewing_bench.answers import call_digest
from lacewing_bench.answers import CHAT_PATH
from lacewing_bench.answers import COMPLETION_PATH
from lacewing_bench.answers import parse_model_request
from lacewing_bench.caller import Call
from lacewing_bench.fleet import Deployment
from lacewing_bench.load._texts import prompt_text

# Longer than any request may take, so that only a lost answer runs into it.
GIVE_UP_S = 30.0
_HOT_TEXTS = 4
_COLD_TEXTS = 12
_HOT_SHARE = 0.8
_HANDBOOK_TOKENS = 600
_QUESTION_TOKENS = 24
_LONG_SHARE = 0.06
_HANG_UP_SHARE = 0.06
_SLOW_SHARE = 0.06
_TWICE_SHARE = 0.35
_IMPATIENT_SHARE = 0.3
_SLOW_BYTES_S = 6000


class Kind(Enum):
    """Name the kinds of requests."""

    STREAM = 'stream'
    WHOLE = 'whole'
    COMPLETION = 'completion'
    READ = 'read'
    KEYED = 'keyed'
    UNKEYED = 'unkeyed'


_SHARES = {
    Kind.STREAM: 0.42,
    Kind.WHOLE: 0.12,
    Kind.COMPLETION: 0.06,
    Kind.READ: 0.14,
    Kind.KEYED: 0.18,
    Kind.UNKEYED: 0.08,
}


@dataclass(frozen=True)
class Ask:
    """Hold one request and how its caller behaves.

    ``digest`` names it in the counts of the stand-ins. ``at_most_once``
    calls must not run twice. The caller hangs up after ``hang_up_s``, sends
    the call ``again_after_s`` a second time through another router, and, if
    ``impatient``, takes the first refusal for an answer.
    """

    at_s: float
    kind: Kind
    call: Call
    digest: str
    hang_up_s: float | None
    again_after_s: float | None
    impatient: bool

    @property
    def at_most_once(self) -> bool:
        """Tell whether the call must not run twice."""
        return self.kind in (Kind.KEYED, Kind.UNKEYED)

    @property
    def is_model(self) -> bool:
        """Tell whether a model answers."""
        return self.kind in (Kind.STREAM, Kind.WHOLE, Kind.COMPLETION)


class Traffic:
    """Draw requests: Poisson arrivals over unequal teams."""

    def __init__(
        self, deployment: Deployment, seed: int, shifts_s: Sequence[float]
    ) -> None:
        self._deployment = deployment
        self._seed = seed
        self._shifts_s = tuple(shifts_s)
        self._random = random.Random(seed)

    def draw(self, seconds: float, rate: float) -> tuple[Ask, ...]:
        """Return all requests in the order of their times."""
        asks: list[Ask] = []
        at_s = self._random.expovariate(rate)
        while at_s < seconds:
            asks.append(self._ask(at_s, len(asks)))
            at_s += self._random.expovariate(rate)
        return tuple(asks)

    def _ask(self, at_s: float, number: int) -> Ask:
        drawn = self._random
        kind = drawn.choices(tuple(_SHARES), tuple(_SHARES.values()))[0]
        teams = self._deployment.teams
        team = drawn.choices(teams, [each.share for each in teams])[0].name
        call, digest = self._call(kind, team, at_s, number)
        hang_up_s = None
        if drawn.random() < _HANG_UP_SHARE:
            hang_up_s = drawn.uniform(0.01, 0.8)
        again_after_s = None
        if kind is Kind.KEYED and drawn.random() < _TWICE_SHARE:
            again_after_s = drawn.choice((0.0, drawn.uniform(0.0, 1.5)))
        return Ask(
            at_s,
            kind,
            call,
            digest,
            hang_up_s,
            again_after_s,
            drawn.random() < _IMPATIENT_SHARE,
        )

    def _call(
        self, kind: Kind, team: str, at_s: float, number: int
    ) -> tuple[Call, str]:
        body: object = None
        name = f'{self._seed}-{number}'
        key = ''
        if kind in (Kind.READ, Kind.KEYED, Kind.UNKEYED):
            prefix = f'/services/{self._deployment.plain_service}'
            path = f'/records/{name}'
            if kind is not Kind.READ:
                path = f'{self._deployment.at_most_once[0]}/{name}'
                body = {'holder': team, 'number': name}
            if kind is Kind.KEYED:
                key = name
            digest = call_digest(path, _encoded(body))
            path = f'{prefix}{path}'
        else:
            path = CHAT_PATH
            body = self._chat(kind, team, at_s, name)
            if kind is Kind.COMPLETION:
                path = COMPLETION_PATH
                body = self._completion(team, at_s, name)
            asked = parse_model_request(path, _encoded(body))
            digest = call_digest(asked.model, asked.prompt)
        call = Call(
            title=name,
            team=team,
            path=path,
            body=body,
            idempotency_key=key,
            timeout_s=GIVE_UP_S,
            fresh=True,
            bytes_per_s=self._speed(),
        )
        return call, digest

    def _chat(
        self, kind: Kind, team: str, at_s: float, name: str
    ) -> dict[str, object]:
        return {
            'model': self._model(),
            'stream': kind is Kind.STREAM,
            'max_tokens': self._tokens(),
            'messages': [
                {'role': 'system', 'content': self._handbook(team, at_s)},
                {'role': 'user', 'content': _question(name)},
            ],
        }

    def _completion(
        self, team: str, at_s: float, name: str
    ) -> dict[str, object]:
        return {
            'model': self._model(),
            'stream': self._random.random() < 0.5,
            'max_tokens': self._tokens(),
            'prompt': f'{self._handbook(team, at_s)}\n{_question(name)}',
        }

    def _model(self) -> str:
        model = self._deployment.model
        if self._random.random() < 0.1:
            return f'{model}:{self._deployment.adapters[0]}'
        return model

    def _handbook(self, team: str, at_s: float) -> str:
        shift = sum(1 for shift_s in self._shifts_s if shift_s <= at_s)
        number = self._random.randrange(_COLD_TEXTS)
        if self._random.random() < _HOT_SHARE:
            number = _COLD_TEXTS + shift * _HOT_TEXTS
            number += self._random.randrange(_HOT_TEXTS)
        return prompt_text(f'handbook {number} {team}', _HANDBOOK_TOKENS)

    def _tokens(self) -> int:
        if self._random.random() < _LONG_SHARE:
            return self._random.randint(150, 400)
        return self._random.randint(4, 50)

    def _speed(self) -> int:
        if self._random.random() < _SLOW_SHARE:
            return _SLOW_BYTES_S
        return 0


def _question(name: str) -> str:
    return prompt_text(f'question {name}', _QUESTION_TOKENS)


def _encoded(body: object) -> bytes:
    return b'' if body is None else msgspec.json.encode(body)
