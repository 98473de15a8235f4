"""Generate the requests of a deployment, the same for the same seed."""

import itertools
import random
from dataclasses import dataclass
from typing import Any

from lacewing_bench.answers import CHAT_PATH
from lacewing_bench.fleet import Deployment
from lacewing_bench.load._profile import Level
from lacewing_bench.load._profile import LoadProfile
from lacewing_bench.load._request import PLAIN_PREFIX
from lacewing_bench.load._request import TimedRequest
from lacewing_bench.load._texts import prompt_text

_READ_NAMES = 500


@dataclass(frozen=True)
class WorkloadOptions:
    """Vary a workload.

    ``seconds``: its length. ``shift_at_s``: when the hot prefixes become
    cold and others hot, None for never. ``rate_factor`` multiplies the
    profile's rate.
    """

    seed: int
    seconds: float
    shift_at_s: float | None = None
    rate_factor: float = 1.0


class Workload:
    """Draw requests: Poisson arrivals, Zipf prefixes, unequal teams."""

    def __init__(
        self,
        deployment: Deployment,
        profile: LoadProfile,
        options: WorkloadOptions,
    ) -> None:
        self._deployment = deployment
        self._profile = profile
        self._options = options
        self._random = random.Random(options.seed)
        self._texts: dict[str, str] = {}
        self._ranks: dict[str, list[int]] = {}

    def requests(self) -> tuple[TimedRequest, ...]:
        """Return all requests in the order of their times."""
        rate = self._profile.rate * self._options.rate_factor
        drawn: list[TimedRequest] = []
        at_s = self._random.expovariate(rate)
        while at_s < self._options.seconds:
            drawn.append(self._draw(at_s, len(drawn)))
            at_s += self._random.expovariate(rate)
        return tuple(drawn)

    def _draw(self, at_s: float, number: int) -> TimedRequest:
        teams = self._deployment.teams
        shares = [team.share for team in teams]
        team = self._random.choices(teams, shares)[0].name
        if self._random.random() >= self._profile.plain_share:
            return self._model_request(at_s, team, number)
        share = self._profile.at_most_once_share
        if self._random.random() < share:
            return self._unrepeatable_call(at_s, team, number)
        return self._read(at_s, team)

    def _model_request(
        self, at_s: float, team: str, number: int
    ) -> TimedRequest:
        profile = self._profile
        messages: list[dict[str, str]] = []
        name = f'{self._options.seed} {team}'
        for level in profile.levels:
            name = self._child(name, level, at_s)
            messages.append(
                {'role': 'system', 'content': self._text(name, level.tokens)}
            )
        question = prompt_text(
            f'question {self._options.seed} {number}', profile.question_tokens
        )
        messages.append({'role': 'user', 'content': question})
        model = self._deployment.model
        if team == profile.adapter_team:
            model = f'{model}:{self._deployment.adapters[0]}'
        body: dict[str, Any] = {
            'model': model,
            'stream': self._random.random() >= profile.whole_share,
            'max_tokens': self._random.randint(
                profile.least_tokens, profile.most_tokens
            ),
            'messages': messages,
        }
        service = self._deployment.model_service
        return TimedRequest(at_s, team, service, CHAT_PATH, body)

    def _unrepeatable_call(
        self, at_s: float, team: str, number: int
    ) -> TimedRequest:
        service = self._deployment.plain_service
        path = self._deployment.at_most_once[0]
        key = f'{self._options.seed}-{number}'
        return TimedRequest(
            at_s,
            team,
            service,
            f'{PLAIN_PREFIX}{service}{path}',
            {'holder': team, 'number': number},
            key,
        )

    def _read(self, at_s: float, team: str) -> TimedRequest:
        service = self._deployment.plain_service
        name = self._random.randrange(_READ_NAMES)
        path = f'{PLAIN_PREFIX}{service}/records/{name}'
        return TimedRequest(at_s, team, service, path)

    def _child(self, parent: str, level: Level, at_s: float) -> str:
        weights = [
            1 / (rank + 1) ** level.skew for rank in range(level.choices)
        ]
        rank = self._random.choices(range(level.choices), weights)[0]
        number = self._text_of_rank(parent, level, rank, at_s)
        name = f'{parent}, {level.name} {number}'
        if not level.life_s:
            return name
        # Texts under one parent are replaced one after the other.
        phase = number * level.life_s / level.choices
        return f'{name}.{int((at_s + phase) / level.life_s)}'

    def _text_of_rank(
        self, parent: str, level: Level, rank: int, at_s: float
    ) -> int:
        shift_at_s = self._options.shift_at_s
        shifted = shift_at_s is not None and at_s >= shift_at_s
        key = f'{parent}, {level.name}s {shifted}'
        order = self._ranks.get(key)
        if order is None:
            order = list(range(level.choices))
            if not level.life_s:
                random.Random(key).shuffle(order)
            if shifted:
                before = self._ranks.get(f'{parent}, {level.name}s False')
                order = list(reversed(before or order))
            self._ranks[key] = order
        return order[rank]

    def _text(self, name: str, tokens: int) -> str:
        text = self._texts.get(name)
        if text is None:
            text = prompt_text(name, tokens)
            self._texts[name] = text
        return text


def working_set_blocks(requests: tuple[TimedRequest, ...]) -> int:
    """Count the distinct prompt blocks, in whole texts, of some requests."""
    texts: set[tuple[str, ...]] = set()
    blocks = 0
    for request in requests:
        if not request.is_model:
            continue
        contents = [each['content'] for each in request.body['messages']]
        for path in itertools.accumulate([(c,) for c in contents[:-1]]):
            if path in texts:
                continue
            texts.add(path)
            blocks += len(path[-1]) // 256
    return blocks
