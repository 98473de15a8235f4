"""Define the messages of the exchange and what parts put into them."""

from typing import Protocol

import msgspec

EXCHANGE_METHOD = '/lacewing.Exchange/Stream'


class ExchangeMessage(msgspec.Struct, frozen=True, array_like=True):
    """Hold what a router tells all others at one moment.

    ``sender`` is the ``ip:port`` at which the sending router takes calls.
    As an array, without names of fields, it is 26 bytes shorter.
    ``sequence`` grows with each message of a sender, also across restarts.
    ``sections`` has the encoded part of each section by name.
    """

    sender: str
    sequence: int
    sections: dict[str, msgspec.Raw] = {}


class ExchangeAck(msgspec.Struct, frozen=True):
    """Confirm that all messages of a call were read."""


class Section(Protocol):
    """Add one part to the messages, and read that of others."""

    @property
    def name(self) -> str:
        """Return the name in messages."""

    def collect(self, now_s: float, full: bool) -> object | None:
        """Return what to tell, None if there is nothing new.

        ``full``: tell all that is known, also what was told before.
        """

    def apply(self, sender: str, data: bytes, now_s: float) -> None:
        """Apply the part of a message; raises ``msgspec.DecodeError``."""

    def forget(self, sender: str) -> None:
        """Remove what a sender has told."""
