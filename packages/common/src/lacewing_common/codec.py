"""Encode messages for grpclib with msgspec's MessagePack."""

from typing import Any
from typing import TypeVar

import msgspec
from grpclib.encoding.base import CodecBase

from lacewing_common.wire import AgentMessage
from lacewing_common.wire import RouterFrame

T = TypeVar('T')


class FromRouter:
    """Stand for the union of router frames where grpclib wants a class."""


class FromAgent:
    """Stand for the union of agent messages where grpclib wants a class."""


class MsgpackCodec(CodecBase):
    """Turn messages into MessagePack and back.

    Decoding raises ``msgspec.ValidationError`` on a malformed message; the
    link that read it is then closed.
    """

    __content_subtype__ = 'msgpack'

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoders: dict[type, msgspec.msgpack.Decoder[Any]] = {
            FromRouter: msgspec.msgpack.Decoder(RouterFrame),
            FromAgent: msgspec.msgpack.Decoder(AgentMessage),
        }

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode one message."""
        return self._encoder.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode one message of a given type."""
        decoder = self._decoders.get(message_type)
        if decoder is None:
            decoder = msgspec.msgpack.Decoder(message_type)
            self._decoders[message_type] = decoder
        return decoder.decode(data)
