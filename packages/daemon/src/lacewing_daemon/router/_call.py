"""Hold one caller's request, ready to be sent to an agent."""

from dataclasses import dataclass
from dataclasses import replace

from lacewing_common.bundle import Service
from lacewing_common.bundle import Team
from lacewing_common.prefix import cache_salt
from lacewing_common.prefix import chain
from lacewing_common.prefix import PrefixChain
from lacewing_common.verdict import Refusal

from lacewing_daemon.router._catalog import Catalog
from lacewing_daemon.router._parse import Prompt

JSON = 'application/json'
_TOKEN_BYTES = 4
# Charged until the worker has counted, for callers that set no bound.
_EXPECTED_ANSWER_TOKENS = 256
NO_CHAIN = PrefixChain((), (), 0)


@dataclass(frozen=True)
class Asked:
    """Hold what a caller asked for, before the bundle is consulted."""

    request_id: str
    method: str
    path: str
    content_type: str
    body: bytes
    idempotency_key: str
    traceparent: str


@dataclass(frozen=True)
class Call:
    """Hold a request checked against one bundle.

    ``needs`` is the ``model:weights`` (and ``:adapter@version``) that a
    worker must have loaded, '' for a plain service. ``prompt`` is None for
    a plain service.
    """

    asked: Asked
    team: Team
    service: Service
    bundle_number: int
    idempotent: bool
    needs: str = ''
    weights: str = ''
    salt: bytes = b''
    chain: PrefixChain = NO_CHAIN
    prompt: Prompt | None = None

    @property
    def expected_tokens(self) -> float:
        """Return the tokens that a team's limit is charged at first."""
        if self.prompt is None:
            return 0.0
        answer = self.prompt.max_tokens
        if answer is None:
            answer = _EXPECTED_ANSWER_TOKENS
        return self.chain.prompt_bytes / _TOKEN_BYTES + answer

    @property
    def stream(self) -> bool:
        """Tell whether the caller wants server-sent events."""
        return self.prompt is not None and self.prompt.stream


def model_call(
    asked: Asked, team: Team, prompt: Prompt, catalog: Catalog
) -> Call | Refusal:
    """Check a model request against the bundle and hash its prompt."""
    service = catalog.model_service(team, prompt.model)
    if isinstance(service, Refusal):
        return service
    weights = catalog.model(prompt.model).weights
    needs = f'{prompt.model}:{weights}'
    adapter = ''
    if prompt.adapter:
        found = catalog.adapter(prompt.model, prompt.adapter)
        if isinstance(found, Refusal):
            return found
        adapter = f'{found.name}@{found.version}'
        needs = f'{needs}:{adapter}'
    salt = cache_salt(
        catalog.prefix_secret, team.name, prompt.model, adapter, weights
    )
    return Call(
        asked=asked,
        team=team,
        service=service,
        bundle_number=catalog.number,
        idempotent=True,
        needs=needs,
        weights=weights,
        salt=salt,
        chain=chain(salt, prompt.segments),
        prompt=prompt,
    )


def plain_call(
    asked: Asked, team: Team, service: Service, number: int, checked_path: str
) -> Call:
    """Build a call of a plain service.

    ``checked_path`` is the decoded path, which decides whether the call may
    be repeated.
    """
    return Call(
        asked=asked,
        team=team,
        service=service,
        bundle_number=number,
        idempotent=not _is_at_most_once(service, checked_path),
    )


def renewed(call: Call, catalog: Catalog) -> Call | Refusal:
    """Return the call as the bundle now in force describes it.

    Without it a retry after a roll would ask for weights that no worker
    has any more, until its deadline.
    """
    if call.bundle_number == catalog.number:
        return call
    if call.prompt is not None:
        return model_call(call.asked, call.team, call.prompt, catalog)
    service = catalog.plain_service(call.team, call.service.name)
    if isinstance(service, Refusal):
        return service
    return replace(call, service=service, bundle_number=catalog.number)


def _is_at_most_once(service: Service, path: str) -> bool:
    return path.startswith(service.at_most_once_paths)
