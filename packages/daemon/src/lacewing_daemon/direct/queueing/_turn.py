"""Let one request wait for its turn, and count its service."""

import time

from lacewing_daemon.direct._admission import Admitted
from lacewing_daemon.direct._call import CallerRequest
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct._target import Target
from lacewing_daemon.direct.queueing._offers import describe_request
from lacewing_daemon.direct.queueing._offers import PlaceWithin
from lacewing_daemon.direct.queueing._offers import TargetOffers
from lacewing_daemon.direct.queueing._queue import QueueStay
from lacewing_daemon.direct.queueing._queue import RequestQueues
from lacewing_daemon.direct.queueing._request import service_tokens
from lacewing_daemon.direct.queueing._verdict import Refuse


class QueueTurn:
    """Hold what one request waited and what its sends count for its team."""

    def __init__(
        self, queues: RequestQueues[Target], request: CallerRequest
    ) -> None:
        self._queues = queues
        self._request = request
        self._stay = QueueStay()
        self._served_tokens = 0.0

    @property
    def stay(self) -> QueueStay:
        """Return how the request has waited."""
        return self._stay

    async def wait(
        self,
        admitted: Admitted,
        policy: LoadPolicy,
        end_s: float,
        place: PlaceWithin,
    ) -> Target | Refuse:
        """Return the target once it is the request's turn, or a refusal."""
        exceeds_share = self._queues.shares.exceeds_share(
            admitted.team_name, time.monotonic()
        )
        queued = describe_request(
            self._request, admitted, policy, end_s, exceeds_share
        )
        offers = TargetOffers(queued, self._output_tokens, place)
        queue = self._queues.queue(admitted.service.name)
        return await queue.wait(queued, offers, self._stay)

    def record_service(self, admitted: Admitted, target: Target) -> None:
        """Count the expected service of a send for its team."""
        self._served_tokens = service_tokens(
            target.prefill_ms * target.tokens_per_ms, self._output_tokens
        )
        self._queues.shares.record(
            admitted.team_name, self._served_tokens, time.monotonic()
        )

    def take_back_service(self, admitted: Admitted) -> None:
        """Take back the service of the last send, as it has not run."""
        self._queues.shares.record(
            admitted.team_name, -self._served_tokens, time.monotonic()
        )
        self._served_tokens = 0.0

    @property
    def _output_tokens(self) -> int:
        prompt = self._request.prompt
        return 0 if prompt is None else prompt.expected_tokens
