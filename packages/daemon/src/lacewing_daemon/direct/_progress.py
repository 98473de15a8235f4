"""Count what was done for one request."""

from dataclasses import dataclass

from lacewing_daemon.direct._target import Target
from lacewing_daemon.direct._upstream import Software

# Sends of one request; if all of them fail, the fleet is taken to be at
# capacity. Refused ones are included until the answer has started: a request
# without an answer can be refused, a started answer would be aborted.
MAX_SENDS = 4


@dataclass
class RequestProgress:
    """Count what was done for a request so far.

    ``runs``: sends that may have run; ``refusals``: sends that did not.
    ``refused_ids``: those of ``tried_ids`` that refused and did not run it.
    ``continuation``: where an interrupted run goes on, None if it is not to.
    ``software``: the version of upstreams' software that began the stream,
    None before its first event.
    """

    sends: int = 0
    runs: int = 0
    refusals: int = 0
    has_reached_upstream: bool = False
    tried_ids: frozenset[str] = frozenset()
    refused_ids: frozenset[str] = frozenset()
    continuation: Target | None = None
    software: Software | None = None

    def may_send(self, has_started: bool) -> bool:
        """Return whether a further send is within ``MAX_SENDS``.

        ``has_started``: the caller has a part of the answer.
        """
        counted = self.sends - self.refusals if has_started else self.sends
        return counted < MAX_SENDS

    def leave(self, upstream_id: str) -> None:
        """Record that a run goes on at an upstream that is to be left."""
        self.has_reached_upstream = True
        self.tried_ids |= {upstream_id}

    def add_refusal(self, upstream_id: str) -> None:
        """Record that an upstream refused the request."""
        self.tried_ids |= {upstream_id}
        self.refused_ids |= {upstream_id}

    def add_run(self, upstream_id: str) -> None:
        """Record that the request may have run at an upstream."""
        self.runs += 1
        self.tried_ids |= {upstream_id}
        self.refused_ids -= {upstream_id}
