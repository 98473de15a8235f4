"""Take callers' HTTP requests by their paths."""

from typing import Any
from urllib.parse import unquote_to_bytes

import msgspec
from lacewing_common.bundle import Service
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal

from lacewing_daemon.router._call import Call
from lacewing_daemon.router._call import JSON
from lacewing_daemon.router._call import model_call
from lacewing_daemon.router._call import plain_call
from lacewing_daemon.router._caller_handler import CallerHandler
from lacewing_daemon.router._parse import bad_request
from lacewing_daemon.router._parse import CHAT_PATH
from lacewing_daemon.router._parse import COMPLETION_PATH
from lacewing_daemon.router._parse import parse_chat
from lacewing_daemon.router._parse import parse_completion
from lacewing_daemon.router._serving import Serving


class ModelEntry(msgspec.Struct, frozen=True):
    """Describe one model to a caller."""

    id: str
    object: str = 'model'


class ModelList(msgspec.Struct, frozen=True):
    """List the models that a team may call."""

    data: tuple[ModelEntry, ...]
    object: str = 'list'


class ModelHandler(CallerHandler):
    """Serve chat and text completions."""

    async def post(self) -> None:
        """Serve one completion."""
        await self._serve(self._call())

    def _call(self) -> Call | Refusal:
        path = self.request.path
        asked = self._asked(path)
        parse = parse_completion
        if path == CHAT_PATH:
            parse = parse_chat
        prompt = parse(asked.body)
        if isinstance(prompt, Refusal):
            return prompt
        return model_call(asked, self._team, prompt, self._serving.catalog)


class ModelsHandler(CallerHandler):
    """List models."""

    async def get(self) -> None:
        """List the models that the team may call."""
        names = self._serving.catalog.models_of(self._team)
        listed = ModelList(tuple(ModelEntry(name) for name in names))
        await self._reply.whole(200, JSON, msgspec.json.encode(listed))
        self._end()


class PlainHandler(CallerHandler):
    """Serve calls of plain services."""

    async def get(self) -> None:
        """Pass a call on, whatever its method."""
        await self._serve(self._call())

    post = put = patch = delete = head = options = get

    def _call(self) -> Call | Refusal:
        _, _, name, rest = self.request.path.split('/', 3)
        path = f'/{rest}'
        checked = _checked_path(path)
        if isinstance(checked, Refusal):
            return checked
        catalog = self._serving.catalog
        service: Service | Refusal = catalog.plain_service(self._team, name)
        if isinstance(service, Refusal):
            return service
        full = path
        if self.request.query:
            full = f'{path}?{self.request.query}'
        asked = self._asked(full)
        return plain_call(asked, self._team, service, catalog.number, checked)


class UnknownHandler(CallerHandler):
    """Refuse paths that the API does not have."""

    async def get(self) -> None:
        """Refuse, whatever the method."""
        await self._refuse(
            not_run(
                Reason.UNKNOWN_PATH,
                f'expected {CHAT_PATH}, {COMPLETION_PATH}, /v1/models or'
                f' /services/<service>/<path>, got {self.request.path!r}',
            )
        )

    post = put = patch = delete = head = options = get


def routes(serving: Serving) -> list[Any]:
    """Return the URL table of the callers' API."""
    shared = {'serving': serving}
    return [
        (CHAT_PATH, ModelHandler, shared),
        (COMPLETION_PATH, ModelHandler, shared),
        ('/v1/models', ModelsHandler, shared),
        ('/services/[^/]+/.*', PlainHandler, shared),
        ('.*', UnknownHandler, shared),
    ]


def _checked_path(path: str) -> str | Refusal:
    """Decode a path, or refuse one that can be read in two ways.

    A worker may resolve ``..``, ``//`` or ``%2F`` where this router would
    not: a call that must not be repeated would pass as repeatable, and run
    twice after a fault.
    """
    try:
        decoded = unquote_to_bytes(path).decode()
    except UnicodeDecodeError:
        return bad_request(f'expected a path in UTF-8, got {path!r}')
    parts = decoded.split('/')[1:]
    dotted = '.' in parts or '..' in parts
    empty = '' in parts[:-1]
    if dotted or empty or decoded.count('/') != path.count('/'):
        return bad_request(
            f'expected a path without empty or dot segments and encoded'
            f' slashes, got {path!r}'
        )
    return decoded
