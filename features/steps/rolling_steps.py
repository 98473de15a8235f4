"""Roll the bundle of a deployment like a launcher."""

from asyncio import Runner

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.fleet import deployment_named
from lacewing_bench.fleet._bundle import make_bundle
from lacewing_bench.platform import PlatformServer
from lacewing_bench.platform import PlatformSettings
from lacewing_bench.rolling import new_roller
from lacewing_common.bundle import RolledBundle
from lacewing_common.bundles import assemble
from lacewing_common.bundles import BundleValidator
from lacewing_common.document import Document
from lacewing_common.platform_client import PlatformClient
from lacewing_common.rolls import BundleHistory
from lacewing_common.rolls import RollError
from lacewing_common.rolls import RollResult
from lacewing_common.rolls import StoredHead


@given('a platform over HTTP and a launcher')
def start(context: Context) -> None:
    """Start a platform and create the launcher's key."""
    runner = context.resources.enter_context(Runner())
    server = PlatformServer(PlatformSettings())
    runner.run(server.start())
    context.resources.callback(lambda: runner.run(server.close()))
    context.runner = runner
    context.server = server
    context.roller = new_roller()


@when('it rolls the bundle of "{name}"')
@when('it rolls the bundle of "{name}" again')
def roll(context: Context, name: str) -> None:
    """Sign and roll the bundle of a deployment."""
    bundle = make_bundle(deployment_named(name))
    rolled = context.runner.run(
        context.roller.roll_at(context.server.url, bundle)
    )
    assert isinstance(rolled, RollResult), rolled


@then(
    'a process with its root key uses roll {number:d} with the teams of'
    ' "{name}"'
)
def uses(context: Context, number: int, name: str) -> None:
    """Read the active bundle as a process does."""
    document = context.runner.run(
        _read(
            context.server.url, BundleValidator(context.roller.root_operators)
        )
    )
    assert isinstance(document, Document), document
    rolled = assemble(document)
    assert isinstance(rolled, RolledBundle), rolled
    assert rolled.number == number, rolled.number
    wanted = {team.name for team in make_bundle(deployment_named(name)).teams}
    assert {team.name for team in rolled.bundle.teams} == wanted


async def _read(url: str, validator: BundleValidator) -> Document | RollError:
    client = PlatformClient(url)
    try:
        bundle_history = BundleHistory(client, validator)
        stored = await bundle_history.head()
        assert isinstance(stored, StoredHead), stored
        return await bundle_history.document(stored)
    finally:
        client.close()
