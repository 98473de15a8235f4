"""Serve an engine's OpenAI API, with resume and cancel."""

import asyncio
from typing import TYPE_CHECKING

import msgspec
from tornado.web import HTTPError

from lacewing_bench.answers import BadRequest
from lacewing_bench.answers import CHAT_PATH
from lacewing_bench.answers import COMPLETION_PATH
from lacewing_bench.answers import ModelRequest
from lacewing_bench.answers import parse_model_request
from lacewing_bench.standins._generation import Ending
from lacewing_bench.standins._generation import Generation
from lacewing_bench.standins._generation import Usage
from lacewing_bench.standins._settings import LoadedModel
from lacewing_bench.standins._stream import EventReader
from lacewing_bench.standins._worker import REQUEST_ID
from lacewing_bench.standins._worker import Routes
from lacewing_bench.standins._worker import WorkerHandler

if TYPE_CHECKING:
    from lacewing_bench.standins._engine import Engine

EPOCH = 'X-Engine-Epoch'
PRIORITY = 'X-Priority'
CACHE_SALT = 'X-Cache-Salt'
WEIGHTS_VERSION = 'X-Weights-Version'
LAST_EVENT_ID = 'Last-Event-ID'


class WholeChoice(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold the one choice of a whole answer."""

    index: int
    finish_reason: str
    message: dict[str, str] | None = None
    text: str | None = None


class WholeAnswer(msgspec.Struct, frozen=True):
    """Hold a whole answer as the OpenAI API writes it."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple[WholeChoice, ...]
    usage: Usage


class ModelList(msgspec.Struct, frozen=True):
    """List the models now loaded."""

    epoch: str
    data: tuple[LoadedModel, ...]
    object: str = 'list'


def whole_answer(generation: Generation, ending: Ending) -> WholeAnswer:
    """Build the whole answer of a finished generation."""
    if generation.chat:
        message = {'role': 'assistant', 'content': generation.text}
        choice = WholeChoice(0, ending.value, message=message)
        kind = 'chat.completion'
    else:
        choice = WholeChoice(0, ending.value, text=generation.text)
        kind = 'text_completion'
    return WholeAnswer(
        generation.request_id,
        kind,
        generation.created,
        generation.model_name,
        (choice,),
        generation.usage,
    )


class EngineHandler(WorkerHandler):
    """Serve an engine; name its epoch on each answer."""

    worker: 'Engine'
    _reader: EventReader | None = None

    async def prepare(self) -> None:
        """Wait while frozen; echo the request id."""
        await super().prepare()
        self.set_header(EPOCH, self.worker.epoch)

    def on_connection_close(self) -> None:
        """Stop writing to a caller that has gone."""
        if self._reader is not None:
            self._reader.end()

    def last_event_id(self) -> int:
        """Return the last event that the reader has; 0: none."""
        given = self.request.headers.get(LAST_EVENT_ID, '0')
        if not given.isdigit():
            raise HTTPError(400, f'expected an event number, got {given!r}')
        return int(given)

    async def stream(
        self, generation: Generation, after: int, cut: int | None
    ) -> None:
        """Write a generation's events after a number."""
        self.set_header('Content-Type', 'text/event-stream')
        self.set_header('Cache-Control', 'no-cache')
        self._reader = EventReader(self, generation, after, cut)
        await self._reader.run()

    async def answer(self, generation: Generation) -> None:
        """Write a generation's whole answer once it is there."""
        await generation.finished.wait()
        ending = generation.ending
        if ending is None or ending is Ending.CRASHED:
            return
        self.reply(whole_answer(generation, ending))


class GenerateHandler(EngineHandler):
    """Run a request."""

    async def post(self) -> None:
        """Answer a chat or a completion, whole or as a stream."""
        try:
            request = parse_model_request(self.request.path, self.request.body)
            salt = bytes.fromhex(self.request.headers.get(CACHE_SALT, ''))
            priority = int(self.request.headers.get(PRIORITY, '0'))
        except ValueError as error:
            kind = 'body' if isinstance(error, BadRequest) else 'header'
            self.refuse(400, f'{kind}: {error}')
            return
        loaded = self._find_model(request)
        if loaded is None:
            return
        generation = self.worker.submit(
            self.request.headers.get(REQUEST_ID, ''),
            request,
            loaded,
            salt,
            priority,
        )
        await self._give(generation, request.stream)

    def _find_model(self, request: ModelRequest) -> LoadedModel | None:
        loaded = self.worker.models.find(request.model, request.adapter)
        if loaded is None:
            self.refuse(
                404,
                f'expected a loaded model, got {request.model!r}'
                f' with adapter {request.adapter!r}',
            )
            return None
        wanted = self.request.headers.get(WEIGHTS_VERSION, loaded.weights)
        if wanted != loaded.weights:
            self.refuse(
                409,
                f'expected weights {loaded.weights!r}, got {wanted!r}',
            )
            return None
        return loaded

    async def _give(self, mine: Generation, stream: bool) -> None:
        faults = self.worker.faults
        shown: Generation = await faults.crossing.swap(mine)
        delay_s = faults.take_delay()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        if faults.crossing.crosses_headers:
            self.set_header(REQUEST_ID, shown.request_id)
        if not stream:
            await self.answer(shown)
            return
        await self.stream(shown, 0, faults.take_cut())


class ResumeHandler(EngineHandler):
    """Resume a stream."""

    async def get(self, request_id: str) -> None:
        """Write the events after ``Last-Event-ID``, live."""
        generation = self.worker.find(request_id)
        if generation is None:
            self.refuse(404, f'expected a known request, got {request_id!r}')
            return
        after = self.last_event_id()
        self.set_header(REQUEST_ID, request_id)
        await self.stream(generation, after, None)


class AnswerHandler(EngineHandler):
    """Give the answer to an earlier request."""

    async def get(self, request_id: str) -> None:
        """Write the whole answer once it is there."""
        generation = self.worker.find(request_id)
        if generation is None:
            self.refuse(404, f'expected a known request, got {request_id!r}')
            return
        self.set_header(REQUEST_ID, request_id)
        await self.answer(generation)


class CancelState(msgspec.Struct, frozen=True):
    """Tell whether a cancel stopped the request."""

    cancelled: bool


class CancelHandler(EngineHandler):
    """Cancel a request."""

    def post(self, request_id: str) -> None:
        """Stop a request; one that has ended stays as it is."""
        generation = self.worker.find(request_id)
        if generation is None:
            self.refuse(404, f'expected a known request, got {request_id!r}')
            return
        self.worker.batch.cancel(generation)
        self.worker.record_load()
        self.reply(CancelState(generation.ending is Ending.CANCELLED))


class ModelsHandler(EngineHandler):
    """List the loaded models."""

    def get(self) -> None:
        """Answer the models now loaded."""
        models = self.worker.models.all()
        self.reply(ModelList(self.worker.epoch, models))


GENERATION_ROUTES: Routes = [
    (CHAT_PATH, GenerateHandler),
    (COMPLETION_PATH, GenerateHandler),
    (r'/v1/models', ModelsHandler),
    (r'/requests/([^/]+)/stream', ResumeHandler),
    (r'/requests/([^/]+)/answer', AnswerHandler),
    (r'/requests/([^/]+)/cancel', CancelHandler),
]
