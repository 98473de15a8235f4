"""Encode grpclib messages as MessagePack with msgspec."""

from typing import Any
from typing import TypeVar

import msgspec
from grpclib.encoding.base import CodecBase

from lacewing_common.wire import AgentMessage
from lacewing_common.wire import RouterFrame

T = TypeVar('T')


class FromRouter:
    """Represent the union of router frames; grpclib requires a class."""


class FromAgent:
    """Represent the union of agent messages; grpclib requires a class."""


class MsgpackCodec(CodecBase):
    """Encode and decode MessagePack messages.

    Decoding raises ``msgspec.ValidationError`` for a malformed message; the
    link that received it is then closed.
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
        """Decode one message of the given type."""
        decoder = self._decoders.get(message_type)
        if decoder is None:
            decoder = msgspec.msgpack.Decoder(message_type)
            self._decoders[message_type] = decoder
        return decoder.decode(data)
