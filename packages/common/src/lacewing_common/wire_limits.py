"""Define the messages that share a team's limits between routers."""

import msgspec


class TeamDemand(msgspec.Struct, frozen=True, array_like=True):
    """Report what a team asked of one router, admitted or not.

    ``requests_s`` and ``tokens_s`` are rates a second; ``concurrency``
    counts requests open or refused for want of a slot.
    """

    team: str
    requests_s: float
    tokens_s: float
    concurrency: int


class TeamAllotment(msgspec.Struct, frozen=True, array_like=True):
    """Give one router its part of a team's limits.

    A field of 0 means that the team has no such limit. ``valid_s`` is how
    long the part may be used, ``report_s`` when to report next, in seconds.
    """

    team: str
    requests_s: float
    tokens_s: float
    concurrency: int
    valid_s: float
    report_s: float
