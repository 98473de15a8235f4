"""Roll signed bundles on fleets of real processes."""

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.fleet import FleetOptions
from lacewing_bench.fleet._bundle import make_bundle
from lacewing_bench.fleet._roller import Acceptance
from lacewing_common.bundles import BUNDLE
from lacewing_common.document import Document
from lacewing_common.document import DocumentHead
from lacewing_common.document import part_digest
from lacewing_common.settings import PeerSettings
from lacewing_ctl._distribution import distribute
from lacewing_ctl._fleet_file import FleetFile
from msgspec.structs import replace
from support.fleet_bench import FleetBench
from support.fleet_bench import small
from tornado.httpclient import HTTPClientError

_QUICK = PeerSettings(exchange_s=0.2, probe_s=0.5, suspect_s=1.0)


@given(
    'a fleet of {routers:d} router(s) and {agents:d} agent(s) with signed'
    ' bundles'
)
def given_signed(context: Context, routers: int, agents: int) -> None:
    """Start a fleet that gets its bundle from the platform and peers."""
    context.bench = FleetBench(context)
    options = FleetOptions(signed=True, peers=_QUICK)
    context.bench.start(small(routers, agents, 0), options)


@when('a bundle with team "{team}" only is rolled')
def when_rolled(context: Context, team: str) -> None:
    """Roll a bundle with one team."""
    bench = context.bench
    bundle = make_bundle(bench.fleet.deployment)
    teams = tuple(each for each in bundle.teams if each.name == team)
    bench.run(bench.fleet.roll(replace(bundle, teams=teams)))


@when('the platform goes down just after it accepted a roll')
def when_down_after(context: Context) -> None:
    """Roll, then refuse all calls; no reader hears of the roll."""
    bench = context.bench
    bundle = make_bundle(bench.fleet.deployment)

    async def roll() -> Acceptance:
        rolled: Acceptance = await bench.fleet.roll(bundle)
        await bench.fleet.set_platform_faults({'down': 'refuse'})
        return rolled

    context.rolled = bench.run(roll())


@when('the operator hands the roll over')
def when_handed_over(context: Context) -> None:
    """Do what lacewingctl does after a roll."""
    bench = context.bench
    fleet = FleetFile(operators=bench.fleet.operators)
    taken = bench.run(distribute(fleet, context.rolled.document))
    assert taken == 3, taken


@when('a document of roll {number:d} without signatures is handed over')
def when_unsigned(context: Context, number: int) -> None:
    """Give a document to the processes that nobody signed."""
    bench = context.bench
    part = b'{}'
    head = DocumentHead(BUNDLE, number, (part_digest(part),))
    try:
        bench.run(bench.fleet.hand_over(Document(head, (part,))))
    except HTTPClientError as error:
        context.status = error.code


@then('the status of the answer is {status:d}')
def then_status(context: Context, status: int) -> None:
    """Compare the HTTP status."""
    assert context.status == status, context.status


@then('roll {number:d} is in force at each process')
def then_in_force(context: Context, number: int) -> None:
    """Wait until each status says so."""
    bench = context.bench
    for name in bench.fleet.router_names + bench.fleet.agent_names:
        bench.until_asked(
            lambda: bench.status(name).bundle_number == number,
            f'roll {number} at {name}',
        )


@then('each process knows {number:d} members alive')
def then_members(context: Context, number: int) -> None:
    """Wait until each status says so."""
    bench = context.bench
    for name in bench.fleet.router_names + bench.fleet.agent_names:
        bench.until_asked(
            lambda: bench.status(name).members.alive == number,
            f'{number} members at {name}',
        )


@then('"{name}" knows {alive:d} members alive and {dead:d} dead')
def then_dead(context: Context, name: str, alive: int, dead: int) -> None:
    """Wait until the status says so."""
    bench = context.bench

    def known() -> bool:
        members = bench.status(name).members
        return (members.alive, members.dead) == (alive, dead)

    bench.until_asked(known, f'{dead} dead members at {name}')
