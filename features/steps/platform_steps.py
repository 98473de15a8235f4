"""Read and write through the store client of a scenario."""

from asyncio import Runner

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.fakes import FakeStore
from lacewing_common.platform_client import ClientOptions
from lacewing_common.store import MUST_NOT_EXIST
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreFault
from support.platform_bench import Bench
from support.platform_bench import fault
from support.platform_bench import new_client
from support.platform_bench import split
from support.platform_bench import TIMEOUT_S


@given('a platform simulator')
def start_platform(context: Context) -> None:
    """Start the simulator with a manual clock."""
    runner = context.resources.enter_context(Runner())
    bench = Bench(runner)
    runner.run(bench.server.start())
    context.resources.callback(bench.close)
    context.bench = bench


@given('a store client of type "{client}"')
def open_store(context: Context, client: str) -> None:
    """Open the HTTP client or the fake store."""
    open_store_with_timeout(context, client, TIMEOUT_S)


@given(
    'a store client of type "{client}" that times out after {timeout_s:g} s'
)
def open_store_with_timeout(
    context: Context, client: str, timeout_s: float
) -> None:
    """Open the HTTP client with a timeout, or the fake store."""
    bench = context.bench
    if client == 'fake':
        bench.store = FakeStore(bench.service)
        return
    options = ClientOptions(
        connect_timeout_s=TIMEOUT_S,
        request_timeout_s=timeout_s,
        watch_backoff_base_s=0.02,
        watch_backoff_cap_s=0.05,
    )
    bench.client = bench.runner.run(new_client(bench, options))
    bench.store = bench.client


@when('the store creates "{path}" with "{value}"')
def create(context: Context, path: str, value: str) -> None:
    """Create an object."""
    context.bench.create(path, value.encode())


@when('the store creates "{path}" with {size:d} bytes')
def create_sized(context: Context, path: str, size: int) -> None:
    """Create an object of the given size."""
    context.bench.create(path, b'x' * size)


@when('the store creates "{path}" with "{value}", with resolution')
def create_resolving(context: Context, path: str, value: str) -> None:
    """Create an object and resolve a lost response."""
    bench = context.bench
    bench.write_resolving(path, value.encode(), MUST_NOT_EXIST)


@when('the store creates {count:d} objects')
def create_many(context: Context, count: int) -> None:
    """Create objects sequentially."""
    context.bench.create_many('object', count)


@when('the store writes "{path}" with "{value}" expecting version {expect:d}')
def write(context: Context, path: str, value: str, expect: int) -> None:
    """Write with a precondition."""
    context.bench.write(path, value.encode(), expect)


@when(
    'the store writes "{path}" with "{value}" expecting version {expect:d},'
    ' with resolution'
)
def write_resolving(
    context: Context, path: str, value: str, expect: int
) -> None:
    """Write with a precondition and resolve a lost response."""
    context.bench.write_resolving(path, value.encode(), expect)


@when('the store deletes "{path}" expecting version {expect:d}')
def delete(context: Context, path: str, expect: int) -> None:
    """Delete with a precondition."""
    bench = context.bench
    kind, name = split(path)
    bench.result = bench.runner.run(bench.store.delete(kind, name, expect))


@when('the store reads "{path}"')
def read(context: Context, path: str) -> None:
    """Read an object."""
    context.bench.read(path)


@when('the store client is closed')
def close_store(context: Context) -> None:
    """Stop the watch and close the client."""
    context.bench.close_store()


@then('the call returns version {version:d}')
def check_version(context: Context, version: int) -> None:
    """Check the last result."""
    result = context.bench.result
    assert isinstance(result, StoredObject), result
    assert result.version == version, result


@then('the call fails with "{expected}"')
def check_fault(context: Context, expected: str) -> None:
    """Check the fault of the last result."""
    result = context.bench.result
    assert fault(result) is StoreFault(expected), result


@then('the call fails with "{expected}" and a retry delay of {delay_s:d} s')
def check_retry_delay(context: Context, expected: str, delay_s: int) -> None:
    """Check the fault and retry delay of the last result."""
    check_fault(context, expected)
    assert context.bench.result.retry_after_s == delay_s


@then('"{path}" has the value "{value}" at version {version:d}')
def check_value(context: Context, path: str, value: str, version: int) -> None:
    """Read an object through the store and compare it."""
    bench = context.bench
    bench.read(path)
    kind, name = split(path)
    expected = StoredObject(kind, name, version, value.encode())
    assert bench.result == expected, bench.result


@then('the kind "{kind}" lists "{name}" at version {version:d}')
def check_list(context: Context, kind: str, name: str, version: int) -> None:
    """List a kind through the store and compare it."""
    bench = context.bench
    rows = bench.runner.run(bench.store.list_names(kind))
    assert rows == (StoredObject(kind, name, version, b''),), rows
