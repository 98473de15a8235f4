"""Check that routers follow the workers beside an entry of another writer."""

import asyncio
import time
from itertools import count
from pathlib import Path

from client_2 import Connection
from deployment_2 import Deployment
from deployment_2 import HOST
from deployment_2 import main
from deployment_2 import PREFIX
from deployment_2 import route
from deployment_2 import Router
from lacewing_platform_testing import FakeUpstream

SERVICE = 'registry-app'
STABILITY_S = 3.0
DRAIN_S = 2.0
WATCH_S = 6.0
SENDING_INTERVAL_S = 0.05
START_TIMEOUT_S = 8.0
# The entry stands for so long.
FOREIGN_S = 1.0
FOREIGN_ID = 'another-writer'
# No configuration names this service.
FOREIGN_SERVICE = 'another-service'
# An address that names no address: its port has more digits than any has.
FOREIGN_ADDRESS = '127.0.0.1:' + '1' * 5000


class Worker(FakeUpstream):
    """Serve requests, and keep when each of them has reached it."""

    def __init__(self, name: str) -> None:
        super().__init__(name, SERVICE)
        self.state = 'ready'
        self.server.start()

    def arrivals(self) -> list[tuple[str, float]]:
        """Return the ids of the requests that came, and when."""
        ids = [
            received.headers[PREFIX + 'Request-Id']
            for received in self.received
        ]
        return list(zip(ids, self.received_s, strict=True))


async def play(deployment: Deployment, has_trouble: bool) -> bool:
    """Have one worker leave, and see whether it still gets requests."""
    record = deployment.record
    store = deployment.store
    workers = [Worker(f'i-worker-{number}') for number in (1, 2, 3)]
    for worker in workers:
        deployment.entries[worker.upstream_id] = lambda worker=worker: (
            worker.store_entry(worker.state)
        )
    deployment.write_entries()
    config = {
        'Version': 1,
        'Routes': [route('/record/', 'idempotent', SERVICE)],
        'Services': [{'Name': SERVICE, 'ConnectionLimit': 100}],
        'Tenants': [{'Name': 'team', 'ApiKeys': ['key-1']}],
    }
    store.put('config', 'main', config)
    deployment.start_beats()
    routers = [deployment.add_router() for _ in range(2)]
    await deployment.wait_ready()
    sent_s: dict[str, float] = {}
    sending = [
        asyncio.create_task(_send(deployment, router, sent_s))
        for router in routers
    ]
    await asyncio.sleep(STABILITY_S)
    if has_trouble:
        entry = {
            **workers[0].store_entry(),
            'Service': FOREIGN_SERVICE,
            'Address': FOREIGN_ADDRESS,
        }
        store.put('servers', FOREIGN_ID, entry)
        record.write('another writer adds an entry that names no address')
        await asyncio.sleep(FOREIGN_S)
        store.remove('servers', FOREIGN_ID)
        record.write('the entry is removed')
    await asyncio.sleep(STABILITY_S)
    leaving = workers[0]
    leaving.state = 'draining'
    deployment.write_entries()
    acknowledged_s = time.monotonic()
    record.write(f'the store takes that {leaving.upstream_id} is draining')
    await asyncio.sleep(WATCH_S)
    for task in sending:
        task.cancel()
    late = [
        (request_id, at_s - acknowledged_s)
        for request_id, at_s in leaving.arrivals()
        if at_s > acknowledged_s + DRAIN_S
        and sent_s[request_id] > acknowledged_s + DRAIN_S
    ]
    for worker in workers:
        record.write(f'{worker.upstream_id} got {len(worker.received)}')
    for request_id, at_s in late[:5]:
        record.write(
            f'{request_id} reached {leaving.upstream_id} {at_s:.3f} s after'
            ' the store took that it is draining'
        )
    record.write(f'requests that reached it after {DRAIN_S} s: {len(late)}')
    held = not late
    if has_trouble:
        # No part of the rule above: what a start meets beside the entry.
        store.put('servers', FOREIGN_ID, entry)
        started = deployment.add_router()
        is_ready = await started.wait_ready(START_TIMEOUT_S)
        record.write(f'a router that is started now is ready: {is_ready}')
    return held


async def _send(
    deployment: Deployment, router: Router, sent_s: dict[str, float]
) -> None:
    connection = Connection(router.callers)
    for number in count():
        request_id = f'{router.name}-{number}'
        sent_s[request_id] = time.monotonic()
        answer = await connection.send(
            request_id,
            '/record/1',
            HOST,
            {'Authorization': 'Token key-1', PREFIX + 'Deadline-Ms': '1000'},
        )
        deployment.record.write(f'{request_id} got {answer.status}')
        await asyncio.sleep(SENDING_INTERVAL_S)


main(play, Path(__file__).with_name('record.txt'))
