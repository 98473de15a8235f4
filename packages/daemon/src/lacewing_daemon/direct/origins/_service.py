"""Carry the origins of streams between routers."""

from collections.abc import Sequence

from grpclib.const import Handler

from lacewing_daemon.direct._peer_link import PeerLink
from lacewing_daemon.direct._peer_link import unary
from lacewing_daemon.direct.origins._directory import Answer
from lacewing_daemon.direct.origins._directory import Question
from lacewing_daemon.direct.origins._directory import SentOrigin
from lacewing_daemon.direct.origins._directory import StreamOrigins
from lacewing_daemon.direct.origins._messages import FIND_METHOD
from lacewing_daemon.direct.origins._messages import FindReply
from lacewing_daemon.direct.origins._messages import FindRequest
from lacewing_daemon.direct.origins._messages import OriginRecord
from lacewing_daemon.direct.origins._messages import RECORD_METHOD
from lacewing_daemon.direct.origins._messages import RecordReply
from lacewing_daemon.direct.origins._messages import RecordRequest
from lacewing_daemon.direct.origins._records import RECORDED
from lacewing_daemon.direct.origins._records import StreamOrigin
from lacewing_daemon.direct.origins._records import UnknownOrigin
from lacewing_daemon.peers import PeerCallFailed

_WITHOUT_RECORD = (UnknownOrigin.NO_RECORD, UnknownOrigin.UNNAMED)


class OriginService:
    """Serve a router's records to its peers, and call them for theirs."""

    def __init__(self, link: PeerLink, origins: StreamOrigins) -> None:
        self._link = link
        self._origins = origins

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by method, for grpclib."""
        return {
            RECORD_METHOD: unary(self._on_record, RecordRequest, RecordReply),
            FIND_METHOD: unary(self._on_find, FindRequest, FindReply),
        }

    async def record(
        self, address: str, origins: Sequence[SentOrigin], timeout_s: float
    ) -> bool:
        """Have a router keep records; return whether it does."""
        records = tuple(
            _encode(sent.key, sent.origin, sent.life_s) for sent in origins
        )
        reply = await self._link.call(
            address,
            RECORD_METHOD,
            RecordRequest(records),
            RecordReply,
            timeout_s,
        )
        return not isinstance(reply, PeerCallFailed)

    async def find(
        self, address: str, question: Question, timeout_s: float
    ) -> Answer:
        """Return what a router knows of a stream."""
        request = FindRequest(question.key, question.service, question.since_s)
        reply = await self._link.call(
            address, FIND_METHOD, request, FindReply, timeout_s
        )
        if isinstance(reply, PeerCallFailed):
            return Answer(UnknownOrigin.NO_ANSWER)
        if reply.record is None:
            return Answer(UnknownOrigin.NO_RECORD, reply.only)
        return Answer(_decode(reply.record), reply.only)

    def _on_record(self, request: RecordRequest) -> RecordReply:
        for record in request.records:
            self._origins.keep(
                SentOrigin(record.key, _decode(record), record.life_s)
            )
        return RecordReply()

    def _on_find(self, request: FindRequest) -> FindReply:
        answer = self._origins.answer(
            Question(request.key, request.service, request.since_s)
        )
        if answer.origin in _WITHOUT_RECORD or request.key is None:
            return FindReply(None, answer.only)
        record = _encode(request.key, answer.origin, 0.0)
        return FindReply(record, answer.only)


def connect_origins(origins: StreamOrigins, link: PeerLink) -> None:
    """Exchange records over the connections between routers from now on."""
    service = OriginService(link, origins)
    link.add_service(service)
    origins.connect(service)


def _encode(
    key: bytes, origin: StreamOrigin | UnknownOrigin, life_s: float
) -> OriginRecord:
    if isinstance(origin, UnknownOrigin):
        return OriginRecord(key, '', None, life_s, origin.value)
    return OriginRecord(key, origin.service, origin.software, life_s)


def _decode(record: OriginRecord) -> StreamOrigin | UnknownOrigin:
    if record.software is not None:
        return StreamOrigin(record.service, record.software)
    for reason in RECORDED:
        if record.unknown == reason.value:
            return reason
    return UnknownOrigin.REUSED
