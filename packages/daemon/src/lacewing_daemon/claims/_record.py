"""Describe claims as they stand in the platform."""

from enum import Enum

import msgspec


class ClaimState(Enum):
    """Tell how far a claimed call is, as far as the platform knows.

    CLAIMED: its owner alone knows. RAN: it ran. UNCERTAIN: its owner said
    that nobody can know.
    """

    CLAIMED = 1
    RAN = 2
    UNCERTAIN = 3


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """Hold the answer to a call that ran; ``body`` None: not kept."""

    status: int
    content_type: str
    digest: bytes
    body: bytes | None


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """Hold one claim.

    ``key`` names team, service and idempotency key; ``call`` is the digest
    of method, path and body; ``owner`` the nonce of the agent's run;
    ``attempt`` the attempt, '' once it ran; ``at`` seconds since 1970.
    """

    key: bytes
    call: bytes
    owner: int
    attempt: str
    at: int
    state: ClaimState
    outcome: Outcome | None = None
