"""Stand in for the platform's metadata store."""

import asyncio
import json
import time
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import unquote
from urllib.parse import urlsplit

from standin_http import format_response
from standin_http import Message
from standin_http import read_message

PAGE_SIZE = 500
HISTORY_S = 20.0

Document = dict[str, Any]


class Store:
    """Keep objects by kind and name, with one revision counter."""

    def __init__(self) -> None:
        self._revision = 1
        self._objects: dict[str, dict[str, Document]] = {}
        self._history: list[tuple[float, int, str, Document]] = []
        self._first_kept = 1
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.address = ''

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    def put(self, kind: str, name: str, specification: Document) -> None:
        """Write an object, as the operator or a worker does."""
        known = self._objects.get(kind, {}).get(name)
        if known is not None and known['Specification'] == specification:
            return
        self._write(kind, name, specification)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        document = self._objects.get(kind, {}).pop(name, None)
        if document is not None:
            self._record(kind, {'Removed': True, 'Object': document})

    def _write(self, kind: str, name: str, specification: Any) -> Document:
        document = {
            'Metadata': {
                'Name': name,
                'Revision': self._revision + 1,
                'Finalizers': [],
                'DeletionPending': False,
            },
            'Specification': specification,
            'Status': None,
        }
        self._objects.setdefault(kind, {})[name] = document
        self._record(kind, {'Removed': False, 'Object': document})
        return document

    def _record(self, kind: str, event: Document) -> None:
        self._revision += 1
        now_s = time.monotonic()
        self._history.append((now_s, self._revision, kind, event))
        while self._history[0][0] < now_s - HISTORY_S:
            self._first_kept = self._history.pop(0)[1] + 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                call = await read_message(reader)
                if call is None:
                    return
                status, document = await self._answer(call)
                body = json.dumps(document).encode()
                headers = {'Content-Type': 'application/json'}
                writer.write(format_response(status, headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _answer(self, call: Message) -> tuple[int, object]:
        url = urlsplit(call.path)
        query = {key: value[0] for key, value in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.split('/')[2:]]
        kind = parts[0]
        if call.method != 'GET':
            return self._apply(call, kind, parts[1:], query)
        if len(parts) > 1:
            found = self._objects.get(kind, {}).get(parts[1])
            return (404, None) if found is None else (200, found)
        if 'Watch' in query:
            wait_s = int(query.get('WaitMs', '0')) / 1000
            return await self._watch(kind, int(query['Watch']), wait_s)
        after = query.get('after', '')
        objects = self._objects.get(kind, {})
        names = sorted(name for name in objects if name > after)
        page = {
            'items': [objects[name] for name in names[:PAGE_SIZE]],
            'HasMore': len(names) > PAGE_SIZE,
            'At': self._revision,
        }
        return 200, page

    async def _watch(
        self, kind: str, since: int, wait_s: float
    ) -> tuple[int, object]:
        end_s = time.monotonic() + wait_s
        while True:
            if since + 1 < self._first_kept:
                return 410, None
            events = []
            for _, revision, changed_kind, event in self._history:
                if revision > since and changed_kind == kind:
                    events.append(event)
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {'Events': events, 'At': self._revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _apply(
        self, call: Message, kind: str, names: list[str], query: Document
    ) -> tuple[int, object]:
        objects = self._objects.setdefault(kind, {})
        if call.method == 'DELETE':
            found = objects.get(names[0])
            if found is None:
                return 404, None
            expected = query.get('Revision')
            if expected and int(expected) != found['Metadata']['Revision']:
                return 409, found
            self.remove(kind, names[0])
            return 200, found
        body = json.loads(call.body)
        name = body['Metadata']['Name']
        found = objects.get(name)
        if call.method == 'POST':
            if found is not None:
                return 409, found
            return 200, self._write(kind, name, body['Specification'])
        if found is None:
            return 404, None
        expected = body['Metadata'].get('Revision')
        if expected not in (None, found['Metadata']['Revision']):
            return 409, found
        if found['Specification'] == body['Specification']:
            return 200, found
        return 200, self._write(kind, name, body['Specification'])
