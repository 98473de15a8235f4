"""Define the messages that divide a team's limits among routers."""

import msgspec


class TeamDemand(msgspec.Struct, frozen=True, array_like=True):
    """Report a team's demand at one router, admitted or not.

    ``requests_s`` and ``tokens_s`` are rates per second; ``concurrency``
    counts requests that are open or were refused because no slot was free.
    """

    team: str
    requests_s: float
    tokens_s: float
    concurrency: int


class TeamAllotment(msgspec.Struct, frozen=True, array_like=True):
    """Hold one router's part of a team's limits.

    A field of 0 means that the team has no such limit. ``valid_s`` is the
    time for which the part is valid and ``report_s`` the time until the next
    report, in seconds.
    """

    team: str
    requests_s: float
    tokens_s: float
    concurrency: int
    valid_s: float
    report_s: float
