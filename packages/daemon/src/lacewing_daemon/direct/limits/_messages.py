"""Define the messages about limits between routers."""

import msgspec

MOVE_METHOD = '/lacewing.Limits/Move'
MOVE_UPSTREAM_METHOD = '/lacewing.Limits/MoveUpstream'


class StatedLimit(msgspec.Struct, frozen=True):
    """Report what an upstream said ``age_s`` seconds ago.

    ``rate_per_s`` is None if it named no limit.
    """

    rate_per_s: float | None
    age_s: float


class TokenRequest(msgspec.Struct, frozen=True):
    """Move tokens to and from the pools that a router keeps, by limit.

    ``sender`` is the ``ip:port`` at which the sending router takes calls.
    ``deposits`` were taken from its accounts. ``needs`` are granted whole or
    not at all, ``wishes`` as far as there is plenty. ``stated`` has what the
    sender knows of limits that are not configured, None to ask for nothing.
    """

    sender: str
    deposits: dict[str, float] = {}
    needs: dict[str, float] = {}
    wishes: dict[str, float] = {}
    stated: dict[str, StatedLimit] | None = None


class TokenReply(msgspec.Struct, frozen=True):
    """Return what was granted, by limit.

    ``waits``: seconds after which a need that was denied would fit.
    ``lacking``: limits of whose tokens the router takes deposits; ``is_short``
    if it needs some of them at once. ``stated``: what the sender of the
    request did not know yet.
    """

    granted: dict[str, float] = {}
    waits: dict[str, float] = {}
    lacking: tuple[str, ...] = ()
    is_short: bool = False
    stated: dict[str, StatedLimit] = {}
