"""Run the demo: ``python -m lacewing_bench.demo``."""

import asyncio
import sys
import time

import fire
import msgspec
from lacewing_common.exits import Exit
from tabulate import tabulate

from lacewing_bench.caller import Answer
from lacewing_bench.caller import Call
from lacewing_bench.caller import Caller
from lacewing_bench.demo._explain import Explanation
from lacewing_bench.demo._explain import NOT_ROUTED
from lacewing_bench.demo._script import steps
from lacewing_bench.fleet import Deployment
from lacewing_bench.fleet import deployment_named
from lacewing_bench.fleet import Fleet

_SHOWN_CHARACTERS = 64
_OK = 200
_REFUSED_KEY = 401
_HEADERS = ('request', 'team', 'via', 'status', 'went to', 'first ms', 'why')


async def show(deployment: Deployment) -> bool:
    """Run the script on a fleet; tell whether every answer came."""
    started = time.monotonic()
    async with Fleet(deployment) as fleet:
        print(_opening(fleet, time.monotonic() - started))
        caller = Caller(dict(fleet.team_keys))
        try:
            return await _send_all(fleet, caller)
        finally:
            caller.close()


async def _send_all(fleet: Fleet, caller: Caller) -> bool:
    rows: list[list[object]] = []
    complete = True
    for index, call in enumerate(steps(fleet.deployment)):
        router = fleet.router_names[index % len(fleet.router_names)]
        answer = await caller.send(fleet.caller_url(router), call)
        explanation = await _explain(fleet, router, answer)
        print(f'\n{call.title} ({call.method} {call.path}, team {call.team})')
        print(f'  {_shorten(answer.text)}')
        rows.append(_row(call, router, answer, explanation))
        complete = complete and _expected(call, answer)
    print()
    print(tabulate(rows, headers=_HEADERS, floatfmt='.0f'))
    return complete


async def _explain(fleet: Fleet, router: str, answer: Answer) -> Explanation:
    if not answer.request_id:
        return NOT_ROUTED
    response = await fleet.ask(router, f'/explain/{answer.request_id}')
    if response.code != _OK:
        return NOT_ROUTED
    return msgspec.json.decode(response.body, type=Explanation)


def _opening(fleet: Fleet, took_s: float) -> str:
    deployment = fleet.deployment
    return (
        f'{deployment.name}: {len(fleet.router_names)} routers,'
        f' {deployment.model_workers} model workers,'
        f' {deployment.plain_workers} plain workers in'
        f' {len(deployment.zones)} zones, started in {took_s:.1f} s'
    )


def _row(
    call: Call, router: str, answer: Answer, explanation: Explanation
) -> list[object]:
    return [
        call.title,
        call.team,
        router,
        answer.status,
        explanation.worker.removeprefix('agent-'),
        answer.first_ms,
        explanation.reason,
    ]


def _expected(call: Call, answer: Answer) -> bool:
    if call.is_refused:
        return answer.status == _REFUSED_KEY
    return answer.status == _OK and bool(answer.text)


def _shorten(text: str) -> str:
    line = ' '.join(text.split())
    if len(line) <= _SHOWN_CHARACTERS:
        return line
    return f'{line[:_SHOWN_CHARACTERS]}...'


def main(deployment: str = 'moravia') -> None:
    """Show requests on their way through a whole deployment.

    Args:
        deployment: moravia or lahore.
    """
    try:
        chosen = deployment_named(deployment)
    except ValueError as error:
        print(f'demo: {error}', file=sys.stderr)
        sys.exit(Exit.USAGE)
    complete = asyncio.run(show(chosen))
    if complete:
        print('\nAll answers came as expected; the fleet has ended.')
    sys.exit(Exit.OK if complete else Exit.FAILED)


if __name__ == '__main__':
    fire.Fire(main, name='demo')
