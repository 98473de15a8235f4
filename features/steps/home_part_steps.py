"""Check where prompts with shared parts are placed by several routers."""

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct import CallerRequest
from lacewing_daemon.direct import Directory
from lacewing_daemon.direct import Engine
from lacewing_daemon.direct import KvStore
from lacewing_daemon.direct import Limits
from lacewing_daemon.direct import Prompt
from lacewing_daemon.direct import PromptPart
from lacewing_daemon.direct import Route
from lacewing_daemon.direct import Service
from lacewing_daemon.direct import Share
from lacewing_daemon.direct import Upstream
from lacewing_daemon.direct._admission import Admitted
from lacewing_daemon.direct._knowledge import Knowledge
from lacewing_daemon.direct._placing import Placer
from lacewing_daemon.direct._placing import Target
from lacewing_daemon.direct._policy import LoadPolicy
from support.direct_bench import BOUNDS
from tornado.httputil import HTTPHeaders

MODEL = 'tutor'
SERVICE = 'models'
WANTED_MS = 400.0
NOW_S = 100.0
_ENGINE = Engine(48, 100000, 192512.0, 1.8e11, (MODEL,))
_ROUTE = Route(
    'check',
    'handbook.example',
    '/check/',
    False,
    True,
    True,
    5.0,
    0.4,
    1,
    2,
    True,
    (Share(SERVICE, 1.0),),
)


class _Router:
    """Hold one router's knowledge and its placer."""

    def __init__(self, zone: str, zones: list[str]) -> None:
        self.knowledge = Knowledge(BOUNDS, LoadPolicy(), lambda: NOW_S)
        self.zone = zone
        service = Service(SERVICE, 300, _ENGINE)
        kept = Service(
            'kept', 0, None, KvStore('127.0.0.1:9', 'z0', 10**6, 4.5e10)
        )
        self.knowledge.take_directory(
            Directory(
                1,
                (_ROUTE,),
                {SERVICE: service, 'kept': kept},
                None,
                Limits(10**6, 15.0),
            )
        )
        for number, engine_zone in enumerate(zones):
            name = f'engine-{number}'
            self.knowledge.take_upstream(
                name,
                Upstream(
                    name,
                    SERVICE,
                    f'127.0.0.1:{number + 1}',
                    engine_zone,
                    48,
                    False,
                    {MODEL: 1},
                ),
            )
        self.admitted = Admitted(_ROUTE, service, None)
        self.placer = Placer(self.knowledge, zone)

    def place(self, prompt: Prompt, now_s: float = NOW_S) -> Target:
        """Return where a prompt is placed."""
        target = self.placer.place(
            _request(prompt), self.admitted, frozenset(), WANTED_MS, now_s
        )
        assert isinstance(target, Target), target
        return target


def _prompt(own: str) -> Prompt:
    parts = (
        PromptPart('handbook', 2520),
        PromptPart('chapter', 3780),
        PromptPart(own, 2890),
    )
    return Prompt(MODEL, 9190, 50, 13, parts)


def _request(prompt: Prompt) -> CallerRequest:
    return CallerRequest(
        'POST',
        '/check/1',
        'handbook.example',
        'request-1',
        HTTPHeaders(),
        b'',
        NOW_S,
        5.0,
        '',
        prompt,
        None,
    )


@given('{engines:d} engines in {zones:d} zones and a router in each zone')
def step_routers(context: Context, engines: int, zones: int) -> None:
    """Make routers that know the same engines."""
    names = [f'z{number}' for number in range(zones)]
    placed = [names[number % zones] for number in range(engines)]
    context.routers = [_Router(zone, placed) for zone in names]


@when('every router gets a prompt with the same new part')
def step_new_part(context: Context) -> None:
    """Place one prompt at each router."""
    context.chosen = []
    for number, router in enumerate(context.routers):
        context.chosen.append(router.place(_prompt(f'own-{number}')))


@then('all of them choose the same engine')
def step_same_engine(context: Context) -> None:
    """Compare the engines."""
    ids = {target.state.upstream.upstream_id for target in context.chosen}
    assert len(ids) == 1, ids


@when('the part is known to be kept and an engine of every zone has it')
def step_kept(context: Context) -> None:
    """Let every router have seen the part read everywhere."""
    for router in context.routers:
        target = router.place(_prompt('first'))
        assert target.wall is not None
        router.placer.note_read(target, _prompt('first'), NOW_S)
        for state in router.knowledge.states(SERVICE):
            state.remember(target.wall, _prompt('first'), _ENGINE, NOW_S)


@then('every router chooses an engine of its own zone')
def step_own_zone(context: Context) -> None:
    """Place one more prompt at each router."""
    for number, router in enumerate(context.routers):
        chosen = router.place(_prompt(f'next-{number}'))
        zone = chosen.state.upstream.availability_zone
        assert zone == router.zone, (zone, router.zone)


@when('a router has sent a prompt that was not answered yet')
def step_sent(context: Context) -> None:
    """Send a prompt; no first event comes."""
    router = context.routers[0]
    context.first = router.place(_prompt('first'))
    context.first.state.open(context.first.read_ms, 1, NOW_S)
    router.placer.note_sent(context.first, _prompt('first'), _ENGINE, NOW_S)


@then('a second prompt with its part goes to the same engine')
def step_second(context: Context) -> None:
    """Place it right after the first one."""
    second = context.routers[0].place(_prompt('second'), NOW_S + 0.01)
    assert second.state is context.first.state, second
