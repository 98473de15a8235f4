"""Hold a fleet for the steps of a scenario and what callers asked of it."""

import asyncio
import json
import time
from asyncio import Runner
from collections.abc import Callable
from collections.abc import Coroutine
from dataclasses import dataclass
from dataclasses import replace
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from typing import TypeVar

import msgspec
from behave.runner import Context
from lacewing_bench.answers import answer_text
from lacewing_bench.answers import AnswerSource
from lacewing_bench.answers import parse_model_request
from lacewing_bench.answers import plain_answer
from lacewing_bench.caller import Answer
from lacewing_bench.caller import Call
from lacewing_bench.caller import Caller
from lacewing_bench.caller import Progress
from lacewing_bench.certificates import make_authority
from lacewing_bench.certificates import write_certificate
from lacewing_bench.fleet import Deployment
from lacewing_bench.fleet import Fleet
from lacewing_bench.fleet import FleetOptions
from lacewing_bench.fleet import MORAVIA
from lacewing_bench.standins import EngineCosts
from lacewing_common.settings import TlsFiles
from lacewing_common.status import ProcessStatus

T = TypeVar('T')

PATIENCE_S = 20.0
_POLL_S = 0.02
_WEIGHTS = 'w1'
_QUICK = EngineCosts(step_ms=8.0, sequence_ms=0.0, prefill_token_ms=0.01)
_SERVICES = '/services/registry'


@dataclass(frozen=True)
class Asked:
    """Hold a request and its answer."""

    call: Call
    answer: Answer


@dataclass
class Reading:
    """Hold a stream that a caller is reading."""

    call: Call
    progress: Progress
    task: asyncio.Task[Answer]


class FleetBench:
    """Run a fleet and its callers from the steps of one scenario."""

    def __init__(self, context: Context) -> None:
        resources = context.resources
        self._runner: Runner = resources.enter_context(Runner())
        self._resources = resources
        self.directory = Path(resources.enter_context(TemporaryDirectory()))
        self.tls: TlsFiles | None = None
        self.asked: list[Asked] = []
        self.readings: list[Reading] = []

    def run(self, work: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine to its end in the scenario's event loop."""
        result: T = self._runner.run(work)
        return result

    def start(
        self, deployment: Deployment, options: FleetOptions | None = None
    ) -> None:
        """Start a fleet and a caller; both end with the scenario."""
        self.fleet = Fleet(deployment, options)
        self._resources.callback(lambda: self.run(self.fleet.close()))
        self.run(self.fleet.start())
        tls = None if options is None else options.tls
        ca_file = None if tls is None else tls.authority
        self.caller = self.run(self._caller(ca_file))
        self._resources.callback(self.caller.close)

    def start_with_tls(self) -> None:
        """Start a small fleet with TLS on all listeners."""
        self.authority = make_authority('fleet')
        files = write_certificate(self.authority, 'process', self.directory)
        self.tls = files
        self.start(small(2, 2, 1), FleetOptions(tls=files))

    def send(self, router: str, call: Call) -> None:
        """Send a request and keep the answer."""
        url = self.fleet.caller_url(router)
        answer = self.run(self.caller.send(url, call))
        self.asked.append(Asked(call, answer))

    def send_through_each(self, make: Callable[[str], Call]) -> None:
        """Send a request, made from a word, through each router."""
        for router in self.fleet.router_names:
            self.send(router, make(router))

    def read_streams(self, number: int, tokens: int) -> None:
        """Begin streams and wait for the first bytes of each."""
        self.run(self._begin(number, tokens))

    def finish_streams(self) -> list[Asked]:
        """Read all begun streams to their end."""
        return self.run(self._finish())

    def status(self, name: str) -> ProcessStatus:
        """Ask one process for its status."""
        return self.run(self.fleet.status(name))

    def until_asked(self, condition: Callable[[], bool], what: str) -> None:
        """Wait for a condition that itself asks processes."""
        deadline = time.monotonic() + PATIENCE_S
        while not condition():
            assert time.monotonic() < deadline, f'no {what} in time'

    def worker_epoch(self, worker: str) -> str:
        """Ask a stand-in worker for its epoch."""
        url = f'{self.fleet.worker_urls[worker]}/load'
        load = json.loads(self.run(self.fleet.read(url)))
        return str(load['epoch'])

    def write_fleet_file(self) -> Path:
        """Write the file by which lacewingctl finds the fleet."""
        path = self.directory / 'fleet.json'
        listed: dict[str, object] = {'operators': self.fleet.operators}
        if self.tls is not None:
            listed['tls'] = msgspec.to_builtins(self.tls)
        path.write_text(json.dumps(listed))
        return path

    async def _caller(self, ca_file: str | None) -> Caller:
        return Caller(self.fleet.team_keys, ca_file)

    async def _begin(self, number: int, tokens: int) -> None:
        router = self.fleet.router_names[0]
        url = self.fleet.caller_url(router)
        for index in range(number):
            call = chat('brno', f'stream {index}', tokens=tokens)
            progress = Progress()
            sending = self.caller.send(url, call, progress)
            task = asyncio.create_task(sending)
            self.readings.append(Reading(call, progress, task))
        for reading in self.readings:
            progress = reading.progress
            await until(lambda: progress.begun, 'the first byte of a stream')

    async def _finish(self) -> list[Asked]:
        found: list[Asked] = []
        for reading in self.readings:
            found.append(Asked(reading.call, await reading.task))
        return found


async def until(condition: Callable[[], bool], what: str) -> None:
    """Wait for a condition; fail naming what was waited for."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + PATIENCE_S
    while not condition():
        assert loop.time() < deadline, f'no {what} within {PATIENCE_S} s'
        await asyncio.sleep(_POLL_S)


def small(routers: int, model_workers: int, plain_workers: int) -> Deployment:
    """Describe a small Moravia whose engines are quick."""
    sized = MORAVIA.sized(routers, model_workers, plain_workers)
    return replace(sized, costs=_QUICK)


def chat(
    team: str, question: str, stream: bool = True, tokens: int = 12
) -> Call:
    """Make a chat about one question."""
    body = {
        'model': MORAVIA.model,
        'stream': stream,
        'max_tokens': tokens,
        'messages': [
            {'role': 'system', 'content': 'Motor family 7. ' * 80},
            {'role': 'user', 'content': question},
        ],
    }
    return Call('chat', team, '/v1/chat/completions', body)


def completion(team: str, prompt: str) -> Call:
    """Make a text completion."""
    body = {'model': MORAVIA.model, 'max_tokens': 9, 'prompt': prompt}
    return Call('completion', team, '/v1/completions', body)


def plain(team: str, word: str) -> Call:
    """Make a call of the plain service."""
    return Call('plain', team, f'{_SERVICES}/motors/{word}', {'word': word})


def check(asked: Asked) -> None:
    """Compare an answer with what the stand-in ought to have said."""
    call, answer = asked.call, asked.answer
    assert answer.status == 200, (call, answer)
    assert answer.verdict == 'ran', answer
    assert answer.whole, answer
    expected = expected_text(call)
    assert answer.text == expected, (answer.text, expected)


def expected_text(call: Call) -> str:
    """Return what the stand-in ought to say."""
    body = msgspec.json.encode(call.body)
    if call.path.startswith(_SERVICES):
        path = call.path.removeprefix(_SERVICES)
        return plain_answer(path, body).decode()
    request = parse_model_request(call.path, body)
    source = AnswerSource(request.model, request.adapter, _WEIGHTS)
    return answer_text(request.prompt, source, request.max_tokens)
