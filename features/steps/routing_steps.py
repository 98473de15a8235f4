"""Check routing policies against workers whose views are given."""

import random
import time
from dataclasses import replace

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as draw
from lacewing_bench.decision_cost._workers import FixedWorkers
from lacewing_bench.decision_cost._workers import idle_view
from lacewing_common.bundle import PolicyName
from lacewing_common.bundle import Service
from lacewing_common.bundle import ServiceKind
from lacewing_common.identity import Place
from lacewing_common.prefix import cache_salt
from lacewing_common.prefix import chain
from lacewing_common.prefix import PrefixChain
from lacewing_common.verdict import Refusal
from lacewing_common.verdict import Verdict
from lacewing_common.wire import CacheReport
from lacewing_common.wire import LoadReport
from lacewing_daemon.rendezvous import highest_ranked
from lacewing_daemon.router._candidates import Finder
from lacewing_daemon.router._expected_cost import ExpectedCost
from lacewing_daemon.router._hints import Hints
from lacewing_daemon.router._knowledge import make_policy
from lacewing_daemon.router._policy import CacheChange
from lacewing_daemon.router._policy import Choice
from lacewing_daemon.router._policy import Estimate
from lacewing_daemon.router._policy import Observation
from lacewing_daemon.router._policy import RoutingRequest
from lacewing_daemon.router._widths import Widths

PLACE = Place('r', 'z')
SECRET = b'secret'
TEXTS = (b'handbook ' * 400, b'chapter ' * 100, b'case ' * 60, b'question')
MODEL = Service(name='tutor', kind=ServiceKind.MODEL)
CHECKED = settings(max_examples=60, deadline=None, derandomize=True)

owners = draw.tuples(*[draw.text(max_size=6)] * 4)


def salt_of(team: str) -> bytes:
    """Return the salt of a team's prompts."""
    return cache_salt(SECRET, team, 'handbook', '', 'w1')


def prompt(team: str = 'rahmat', number: int = 0) -> PrefixChain:
    """Return the chain of a prompt of several levels."""
    own = f'{number} '.encode()
    segments = (own + TEXTS[0], *TEXTS[1:])
    return chain(salt_of(team), segments)


def fleet(count: int = 9) -> FixedWorkers:
    """Return so many idle workers."""
    return FixedWorkers(tuple(idle_view(f'agent-{n}') for n in range(count)))


def router(seed: int = 1) -> ExpectedCost:
    """Return the policy of a router that knows nothing."""
    return ExpectedCost(PLACE, random.Random(seed))


def request(number: int, asked: PrefixChain) -> RoutingRequest:
    """Return a request of a prompt."""
    return RoutingRequest(
        request_id=f'request-{number}',
        team='rahmat',
        service=MODEL,
        chain=asked,
        priority=0,
        budget_ms=1700.0,
    )


def chosen(
    policy: ExpectedCost, asked: PrefixChain, workers: FixedWorkers
) -> Choice:
    """Return the choice for a prompt."""
    choice = policy.choose(request(0, asked), workers)
    assert isinstance(choice, Choice), choice
    return choice


def learn(
    policy: ExpectedCost, asked: PrefixChain, process_id: str, hits: int
) -> None:
    """Have a policy observe a request's end."""
    total = len(asked.blocks)
    report = CacheReport('e1', hits, total)
    policy.observe(
        Observation(request(0, asked), process_id, report, LoadReport(), 50.0)
    )


def estimate_of(context: Context, process_id: str) -> Estimate:
    """Return the estimate of one worker for the prompt."""
    choice = chosen(context.policy, prompt(), context.workers)
    for estimate in choice.estimates:
        if estimate.process_id == process_id:
            return estimate
    raise AssertionError(f'expected an estimate of {process_id}')


@then('no two owners of the same text share the name of any block')
def distinct_names(context: Context) -> None:
    """Check salts that differ in team, model, adapter or weights."""

    @CHECKED
    @for_any(owners, owners, draw.binary(min_size=256, max_size=1024))
    def check(
        first: tuple[str, ...], second: tuple[str, ...], text: bytes
    ) -> None:
        one = chain(cache_salt(SECRET, *first), (text,))
        other = chain(cache_salt(SECRET, *second), (text,))
        if first == second:
            assert one == other
            return
        assert not set(one.blocks) & set(other.blocks), (first, second)

    check()


@given('a router that learnt prompts of "{team}" on every worker')
def learnt_everywhere(context: Context, team: str) -> None:
    """Teach hints of one team."""
    context.hints = Hints()
    for number in range(9):
        asked = prompt(team, number)
        change = CacheChange(f'agent-{number}', 'e1', asked.blocks, ())
        context.hints.change(change, 0.0)
    assert context.hints.held(prompt(team, 0), 0.0)


@when('"{team}" asks with the same texts')
def asks_same(context: Context, team: str) -> None:
    """Look up the same texts for another team."""
    context.found = []
    for number in range(9):
        held = context.hints.held(prompt(team, number), 0.0)
        context.found.extend(held.items())


@then('no hint is found')
def none_found(context: Context) -> None:
    """Check that the look-ups were in vain."""
    assert not context.found, context.found


@given('a router without knowledge')
def cold(context: Context) -> None:
    """Start a policy."""
    context.policy = router()
    context.workers = fleet()


@given('a router that learnt a prompt on the worker "{process_id}"')
def learnt(context: Context, process_id: str) -> None:
    """Teach one worker, by an answer that reused all shared levels."""
    cold(context)
    learn(context.policy, prompt(), process_id, prompt().levels[-2])
    estimate = estimate_of(context, process_id)
    assert estimate.hit_blocks > 0.9 * prompt().levels[-2], estimate


@when('the engine of "{process_id}" comes back with another epoch')
def restarted(context: Context, process_id: str) -> None:
    """Change the epoch that the router sees."""
    context.workers.replace(idle_view(process_id, 'e2'))


@when('a digest of an earlier epoch says that "{process_id}" holds the prompt')
def late_digest(context: Context, process_id: str) -> None:
    """Hear of a former run."""
    change = CacheChange(process_id, 'e0', prompt().blocks, ())
    context.policy.hear(change)


@when('a digest says that "{process_id}" evicted the prompt')
def evicted(context: Context, process_id: str) -> None:
    """Hear of an eviction."""
    change = CacheChange(process_id, 'e1', (), prompt().blocks)
    context.policy.hear(change)


@then('nothing is expected to be held by "{process_id}"')
def nothing_held(context: Context, process_id: str) -> None:
    """Check that at most a home's guess is left."""
    estimate = estimate_of(context, process_id)
    asked = prompt()
    candidates = Finder(random.Random(1)).find(asked, context.workers, {}, 1)
    guess = candidates.homes.get(process_id, 0) * 0.5
    assert estimate.hit_blocks <= guess, (estimate, guess)


@then('cold routers choose the same worker for any prompt of 16 blocks')
def cold_agree(context: Context) -> None:
    """Check that no random draw decides."""

    @CHECKED
    @for_any(draw.binary(min_size=4, max_size=4), draw.integers(1, 60))
    def check(name: bytes, count: int) -> None:
        asked = chain(bytes(16), (name * 1024, name))
        workers = fleet(count)
        choices = {
            chosen(router(seed), asked, workers).process_id
            for seed in range(5)
        }
        assert len(choices) == 1, choices

    check()


@given('a router that served {count:d} prompts')
def served(context: Context, count: int) -> None:
    """Let a policy choose and learn what it predicted."""
    cold(context)
    for number in range(count):
        asked = prompt(number=number % 100)
        process_id = chosen(context.policy, asked, context.workers).process_id
        hits = asked.levels[-2] if number >= 100 else 0
        learn(context.policy, asked, process_id, hits)


@then('a cold router chooses as it does for {least:d} of 100 of these prompts')
def mostly_agree(context: Context, least: int) -> None:
    """Compare choices with those of a new policy."""
    same = 0
    newcomer = router(2)
    for number in range(100):
        asked = prompt(number=number)
        warm = chosen(context.policy, asked, context.workers).process_id
        fresh = chosen(newcomer, asked, context.workers).process_id
        same += warm == fresh
    assert same >= least, same


@then('without one of {count:d} workers only its own prefixes move')
def only_own_move(context: Context, count: int) -> None:
    """Compare rendezvous choices with and without a worker."""

    @CHECKED
    @for_any(draw.binary(min_size=8, max_size=8), draw.integers(0, count - 1))
    def check(key: bytes, gone: int) -> None:
        ids = fleet(count).ids
        kept = ids[:gone] + ids[gone + 1 :]
        before = highest_ranked(key, ids)
        if before != ids[gone]:
            assert highest_ranked(key, kept) == before

    check()


@when('a request is sent and its twin comes before the first has ended')
def twins(context: Context) -> None:
    """Choose twice without an observation between."""
    context.choices = []
    for _ in range(2):
        choice = chosen(context.policy, prompt(), context.workers)
        context.choices.append(choice.process_id)


@then('both go to the same worker')
def same_worker(context: Context) -> None:
    """Compare the two choices."""
    first, second = context.choices
    assert first == second, context.choices


@given('a router whose hits come short {times:d} times in a row')
def hits_short(context: Context, times: int) -> None:
    """Let hints fail."""
    context.hints = Hints()
    context.life_before_s = context.hints.life_s
    asked = prompt()
    for number in range(times):
        change = CacheChange(f'agent-{number}', 'e1', asked.blocks, ())
        context.hints.change(change, 0.0)
        held = context.hints.held(asked, 1.0)[f'agent-{number}']
        context.hints.judge(held, 0)


@then('its hints are believed for less than a third of the time')
def shorter_life(context: Context) -> None:
    """Check the learnt life."""
    assert context.hints.life_s < context.life_before_s / 3


@given('8 routers with the same reports, 2 s old, of one idle worker')
def same_reports(context: Context) -> None:
    """Give eight policies views of the same late reports."""
    context.routers = [router(seed) for seed in range(8)]
    context.fleets = []
    for _ in range(8):
        workers = fleet()
        for process_id in workers.ids:
            backlog_ms = 0.0 if process_id == 'agent-0' else 60.0
            view = replace(
                workers.view(process_id),
                load=LoadReport(backlog_ms=backlog_ms),
                load_at_s=time.monotonic() - 2.0,
            )
            workers.replace(view)
        context.fleets.append(workers)


@when('each sends 10 requests of prefixes that nobody holds')
def send_cold(context: Context) -> None:
    """Count where the requests go, as each router's own links would."""
    context.sent = dict.fromkeys(fleet().ids, 0)
    for index, policy in enumerate(context.routers):
        workers = context.fleets[index]
        for number in range(10):
            asked = prompt(number=1000 * index + number)
            process_id = chosen(policy, asked, workers).process_id
            context.sent[process_id] += 1
            view = workers.view(process_id)
            blocks = view.in_flight_blocks + len(asked.blocks)
            sent = replace(
                view,
                in_flight=view.in_flight + 1,
                in_flight_blocks=blocks,
                recent_blocks=blocks,
            )
            workers.replace(sent)


@then('the idle worker gets at most {most:d} of the 80 requests')
def no_herd(context: Context, most: int) -> None:
    """Check the share of the worker that all reports call idle."""
    assert context.sent['agent-0'] <= most, context.sent
    assert sum(context.sent.values()) == 80, context.sent


@when('"{process_id}" reports a backlog of {backlog_ms:d} ms')
def reports_backlog(
    context: Context, process_id: str, backlog_ms: int
) -> None:
    """Change the load that the router sees."""
    view = replace(
        context.workers.view(process_id),
        load=LoadReport(backlog_ms=float(backlog_ms)),
        load_at_s=time.monotonic(),
    )
    context.workers.replace(view)
    context.avoided = process_id


@then('the prompt goes to another worker')
def goes_elsewhere(context: Context) -> None:
    """Check that the holder is not chosen."""
    choice = chosen(context.policy, prompt(), context.workers)
    assert choice.process_id != context.avoided


@when('{count:d} requests of it come at once to workers of {slots:d} slots')
def burst(context: Context, count: int, slots: int) -> None:
    """Choose for each, and count it as a link does, without a report."""
    context.sent = dict.fromkeys(context.workers.ids, 0)
    for process_id in context.workers.ids:
        view = context.workers.view(process_id)
        load = LoadReport(slots=slots, turn_ms=500.0)
        context.workers.replace(replace(view, load=load))
    for _ in range(count):
        process_id = chosen(
            context.policy, prompt(), context.workers
        ).process_id
        context.sent[process_id] += 1
        view = context.workers.view(process_id)
        sent = replace(
            view, in_flight=view.in_flight + 1, recent=view.recent + 1
        )
        context.workers.replace(sent)


@then('"{process_id}" gets {count:d} of them and others the rest')
def burst_is_spread(context: Context, process_id: str, count: int) -> None:
    """Check that nobody was sent more than has a slot."""
    assert context.sent[process_id] == count, context.sent
    assert max(context.sent.values()) == count, context.sent


@when('answers ask for a width of {width:d}')
def asks_width(context: Context, width: int) -> None:
    """Learn a width as the policy does."""
    if not hasattr(context, 'widths'):
        context.widths = Widths()
    asked = prompt()
    key = asked.blocks[asked.levels[0] - 1]
    context.widths.learn(key, width, 0.0)
    context.width = context.widths.of(key, 1.0)


@then('the prompt has {count:d} home, the first as before')
@then('the prompt has {count:d} homes, the first as before')
def homes_counted(context: Context, count: int) -> None:
    """Check the homes of the outermost level."""
    asked = prompt()
    workers = fleet(40)
    finder = Finder(random.Random(1))
    homes = finder.find(asked, workers, {}, context.width).homes
    first = highest_ranked(asked.blocks[asked.levels[0] - 1], workers.ids)
    assert len(homes) == count, homes
    assert first in homes, (first, homes)


@then(
    'the choice lists {count:d} candidates, the chosen one of the lowest cost'
)
def lists_candidates(context: Context, count: int) -> None:
    """Check what explain will show."""
    choice = chosen(context.policy, prompt(), context.workers)
    assert len(choice.estimates) == count, choice.estimates
    lowest = min(each.score for each in choice.estimates)
    costs = {each.process_id: each.score for each in choice.estimates}
    assert costs[choice.process_id] == lowest, choice


@then('each policy chooses one of the workers, and refuses without any')
def each_policy(context: Context) -> None:
    """Check all names of the bundle."""
    workers = fleet()
    for name in PolicyName:
        policy = make_policy(name, PLACE, random.Random(1))
        choice = policy.choose(request(0, prompt()), workers)
        assert isinstance(choice, Choice), (name, choice)
        assert choice.process_id in workers.ids, (name, choice)
        refusal = policy.choose(request(1, prompt()), FixedWorkers(()))
        assert isinstance(refusal, Refusal), (name, refusal)
        assert refusal.verdict is Verdict.NOT_RUN, (name, refusal)
