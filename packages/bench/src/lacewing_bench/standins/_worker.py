"""Build what all stand-in workers share: a listener, faults, an epoch."""

import asyncio
import secrets
from typing import Any
from typing import TypeAlias

import msgspec
from tornado.iostream import IOStream
from tornado.web import Application
from tornado.web import RequestHandler

from lacewing_bench.standins._faults import Crash
from lacewing_bench.standins._faults import Faults
from lacewing_bench.standins._faults import FaultState
from lacewing_bench.standins._listener import Listener
from lacewing_bench.standins._load import Load
from lacewing_bench.standins._load import LoadHistory

REQUEST_ID = 'X-Request-Id'
_EPOCH_BYTES = 4

Routes: TypeAlias = list[tuple[str, type['WorkerHandler']]]


class ErrorDetail(msgspec.Struct, frozen=True):
    """Say what was expected and what came."""

    message: str
    type: str


class ErrorBody(msgspec.Struct, frozen=True):
    """Hold an error as the OpenAI API writes it."""

    error: ErrorDetail


class Worker:
    """Own a stand-in's listener, epoch, fault switches and load history."""

    kind = ''

    def __init__(
        self, name: str, port: int, load_lag_ms: float, routes: Routes
    ) -> None:
        self.name = name
        self.epoch = secrets.token_hex(_EPOCH_BYTES)
        self.faults: FaultState[Any] = FaultState()
        self._load_lag_ms = load_lag_ms
        self.history = LoadHistory(load_lag_ms / 1000, Load(self.epoch))
        shared: Routes = [
            (r'/faults', FaultsHandler),
            (r'/load', LoadHandler),
        ]
        rules: list[Any] = []
        for path, handler in [*shared, *routes]:
            rules.append((path, handler, {'worker': self}))
        application = Application(rules, log_function=_log_nothing)
        self._listener = Listener(application, port)
        self._restart: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """Return the address as ``ip:port``."""
        return self._listener.address

    async def start(self) -> str:
        """Listen; return the address as ``ip:port``."""
        self.begin_epoch(lose_models=False)
        self._listener.start()
        return self.address

    async def close(self) -> None:
        """Stop listening and drop all connections and requests."""
        if self._restart is not None:
            self._restart.cancel()
        self._listener.close()
        self.end_epoch()

    def set_faults(self, faults: Faults) -> None:
        """Replace all fault switches; a crash acts by ``crash`` alone."""
        self.faults.set(faults)
        lag_ms = self._load_lag_ms
        if faults.load_lag_ms is not None:
            lag_ms = faults.load_lag_ms
        self.history.lag_s = lag_ms / 1000

    def crash(self, fault: Crash, spared: IOStream | None = None) -> None:
        """Lose everything at once and come back empty, as another epoch."""
        bound = self._listener.refuse()
        self._listener.drop_connections(spared)
        self.end_epoch()
        self.epoch = secrets.token_hex(_EPOCH_BYTES)
        self.history = LoadHistory(self.history.lag_s, Load(self.epoch))
        self.begin_epoch(fault.lose_models)
        if fault.refuse_s <= 0:
            self._listener.accept_again(bound)
            return

        async def restart() -> None:
            try:
                await asyncio.sleep(fault.refuse_s)
            except asyncio.CancelledError:
                bound.close()
                raise
            self._listener.accept_again(bound)

        self._restart = asyncio.create_task(restart())

    def begin_epoch(self, lose_models: bool) -> None:
        """Start empty."""

    def end_epoch(self) -> None:
        """Drop what the epoch held."""


def _log_nothing(_handler: RequestHandler) -> None:
    pass


class WorkerHandler(RequestHandler):
    """Answer JSON for a worker, unless it is frozen."""

    frozen_by_pause = True
    worker: Worker

    def initialize(self, worker: Worker) -> None:
        """Take the worker."""
        self.worker = worker

    async def prepare(self) -> None:
        """Wait while frozen; echo the request id."""
        if self.frozen_by_pause:
            await self.worker.faults.pause.over()
        request_id = self.request.headers.get(REQUEST_ID)
        if request_id:
            self.set_header(REQUEST_ID, request_id)

    def read(self, kind: Any) -> Any:
        """Decode the body; raise msgspec.DecodeError when malformed."""
        return msgspec.json.decode(self.request.body, type=kind)

    def reply(self, answer: Any) -> None:
        """Write an answer as JSON."""
        self.set_header('Content-Type', 'application/json')
        self.write(msgspec.json.encode(answer))

    def refuse(self, status: int, message: str) -> None:
        """Write an error as the OpenAI API does."""
        self.set_status(status)
        kind = 'invalid_request_error'
        self.reply(ErrorBody(ErrorDetail(message, kind)))


class LoadHandler(WorkerHandler):
    """Report the load, with its lag."""

    def get(self) -> None:
        """Answer the load of some time ago."""
        self.reply(self.worker.history.shown())


class FaultsHandler(WorkerHandler):
    """Set the fault switches."""

    frozen_by_pause = False

    def get(self) -> None:
        """Answer the switches as they were set."""
        self.reply(self.worker.faults.now)

    async def post(self) -> None:
        """Replace all switches; ``{}`` clears them."""
        try:
            faults = self.read(Faults)
        except msgspec.DecodeError as error:
            self.refuse(400, f'expected fault switches: {error}')
            return
        self.worker.set_faults(faults)
        self.reply(faults)
        if faults.crash is None:
            return
        self.set_header('Connection', 'close')
        await self.finish()
        connection: Any = self.request.connection
        self.worker.crash(faults.crash, connection.stream)
