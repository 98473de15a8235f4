"""Play version changes while some workers send second answers late.

Exits with 1 if a stream that may run once has run more often, with 0 if
none has, and with 2 if the case could not be played.
"""

import asyncio
import os
import random
import sys
import tempfile
from collections import Counter
from pathlib import Path

from standin_client import ask
from standin_record import Record
from standin_routers import loopback_address
from standin_routers import Router
from standin_store import Store
from standin_worker import Worker

HOST = loopback_address()
SERVICE = 'tutor-llm'
MODEL = 'daka510000'
ROUTERS = 4
WORKERS = 5
LENGTH_S = 90.0
# Site rgti-lahore: the streams that may run once, a second.
CLAUSE_PER_S = 17.4
# Day quiet-1 of the site names versions 3.2 s apart.
VERSION_EVERY_S = 3.2
# Site rgti-lahore, garble "extra late": share, x and for_s.
SPOILT_SHARE = 0.6
SPOILT_PART = 0.03
SPOILT_FOR_S = 5.0
SPOILT_EVERY_S = 6.0
KEY = 'ctnfzs989anu6wsjnban'


class Spoiler:
    """Choose which answers of one worker are sent once more.

    Refusals are chosen as soon as the part allows it. Of the answers given
    in the windows so far, no more than the part is ever spoilt.
    """

    def __init__(self, start_s: float) -> None:
        self._start_s = start_s
        self.answers = 0
        self.spoilt = 0

    def spoils(self, status: int) -> bool:
        """Count an answer and return whether it is sent once more."""
        now_s = asyncio.get_running_loop().time()
        if (now_s - self._start_s) % SPOILT_EVERY_S >= SPOILT_FOR_S:
            return False
        self.answers += 1
        if status != 421:
            return False
        if self.spoilt + 1 > SPOILT_PART * self.answers:
            return False
        self.spoilt += 1
        return True


def configuration() -> dict[str, object]:
    """Return the configuration of the deployment."""
    route = {
        'Name': 'r-clause',
        'Hostname': 'hulo84.example',
        'PathPrefix': '/clause/',
        'RouteKind': 'streaming',
        'TimeoutMs': 15000,
        'TargetLatencyMs': 300,
        'Priority': 0,
        'Service': SERVICE,
        'MaxAttempts': 1,
        'Public': False,
        'SessionAffinity': True,
        'Resumable': False,
        'TargetGapMs': 250,
    }
    engine = {
        'Slots': 48,
        'KvCacheTokens': 112556,
        'KvTokenBytes': 192512,
        'LinkMbps': 1500000.0,
        'Models': [{'Name': MODEL}],
    }
    service = {
        'Name': SERVICE,
        'HealthCheckPath': '/health',
        'ConnectionLimit': 300,
        'Protocol': 'h1',
        'Tls': False,
        'Engine': engine,
    }
    return {
        'Version': 7,
        'Routes': [route],
        'Services': [service],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
        'Tenants': [
            {
                'Name': 'sese880',
                'ApiKeys': [KEY],
                'Priority': 1,
                'Isolated': False,
            }
        ],
    }


async def send_stream(
    number: int, router: Router, draw: random.Random, record: Record
) -> int:
    """Send one request, record its answer and return the status."""
    request_id = f'{number:016x}'
    own = draw.randrange(300, 1000)
    headers = {
        'Host': 'hulo84.example',
        'X-Lacewingstack-Request-Id': request_id,
        'X-Lacewingstack-Deadline-Ms': '15000',
        'X-Lacewingstack-Model': MODEL,
        'X-Lacewingstack-Token-Usage': f'{198 + own},73',
        'X-Lacewingstack-Prompt-Prefix': f'5c1e07a2:198,{number:08x}:{own}',
        'Authorization': f'Token {KEY}',
    }
    record.add(f'client sends {request_id} to {router.name}')
    answer = await ask(HOST, router.port, '/clause/1', headers, b'x' * 1700)
    whole = 'whole' if answer.complete else 'cut'
    record.add(f'client gets {request_id} {answer.status} {whole}')
    return answer.status


async def send_streams(
    routers: list[Router], draw: random.Random, record: Record
) -> Counter[int]:
    """Send requests for the length of the case; count the statuses."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + LENGTH_S
    tasks = []
    number = 0
    while loop.time() < end_s:
        number += 1
        router = draw.choice(routers)
        tasks.append(
            asyncio.create_task(send_stream(number, router, draw, record))
        )
        await asyncio.sleep(draw.expovariate(CLAUSE_PER_S))
    return Counter(await asyncio.gather(*tasks))


async def name_versions(store: Store, record: Record) -> None:
    """Name a new version of the weights again and again."""
    version = 1
    while True:
        await asyncio.sleep(VERSION_EVERY_S)
        version += 1
        store.put('versions', MODEL, {'Model': MODEL, 'Version': version})
        record.add(f'version {version} is named')


async def play(trouble: bool, record: Record, folder: Path) -> int:
    """Play the case and return the exit code."""
    draw = random.Random(54)
    store = Store()
    await store.start(HOST)
    store.put('versions', MODEL, {'Model': MODEL, 'Version': 1})
    store.put('config', 'main', configuration())
    workers = []
    for index in range(WORKERS):
        worker = Worker(f'i-{index:08x}', SERVICE, MODEL, record)
        await worker.start(HOST, store)
        workers.append(worker)
    routers = []
    for index in range(ROUTERS):
        name = f'frontend-{index}'
        routers.append(Router(name, HOST, store.address, folder))
    try:
        await asyncio.gather(*(router.start() for router in routers))
        # The routers count each other within some seconds.
        await asyncio.sleep(6.0)
        spoilers = []
        if trouble:
            start_s = asyncio.get_running_loop().time()
            for worker in workers[: int(WORKERS * SPOILT_SHARE)]:
                spoiler = Spoiler(start_s)
                worker.spoils = spoiler.spoils
                spoilers.append(spoiler)
        naming = asyncio.create_task(name_versions(store, record))
        statuses = await send_streams(routers, draw, record)
        naming.cancel()
    finally:
        await asyncio.gather(*(router.stop() for router in routers))
    runs = Counter(run for worker in workers for run in worker.runs)
    twice = [request_id for request_id, count in runs.items() if count > 1]
    for spoiler in spoilers:
        record.add(f'spoilt {spoiler.spoilt} of {spoiler.answers} answers')
    record.add(f'statuses {dict(statuses)}, runs {sum(runs.values())}')
    for request_id in twice:
        record.add(f'TWICE: {request_id} ran {runs[request_id]} times')
    print(f'{len(twice)} of {sum(statuses.values())} streams ran twice')
    if not statuses[200]:
        return 2
    return 1 if twice else 0


def main() -> int:
    """Play the case with or without the disruption."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(Path(__file__).parent / 'record.txt')
    try:
        with tempfile.TemporaryDirectory() as folder:
            return asyncio.run(play(trouble, record, Path(folder)))
    except (OSError, TimeoutError) as error:
        print(f'the case could not be played: {error!r}')
        return 2
    finally:
        record.close()


if __name__ == '__main__':
    sys.exit(main())
