"""Read and write through the store of a scenario."""

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
from support.platform_bench import PATIENCE_S
from support.platform_bench import split


@given('a platform stand-in')
def start_platform(context: Context) -> None:
    """Start the stand-in on a clock of its own."""
    runner = context.resources.enter_context(Runner())
    bench = Bench(runner)
    runner.run(bench.server.start())
    context.resources.callback(bench.close)
    context.bench = bench


@given('a store over "{face}"')
def open_store(context: Context, face: str) -> None:
    """Open the HTTP client or the fake."""
    open_store_with_timeout(context, face, PATIENCE_S)


@given('a store over "{face}" that times out after {timeout_s:g} s')
def open_store_with_timeout(
    context: Context, face: str, timeout_s: float
) -> None:
    """Open the HTTP client with a timeout, or the fake."""
    bench = context.bench
    if face == 'fake':
        bench.store = FakeStore(bench.service)
        return
    options = ClientOptions(
        connect_timeout_s=PATIENCE_S,
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
    """Create an object of a size."""
    context.bench.create(path, b'x' * size)


@when('the store creates "{path}" with "{value}", resolving')
def create_resolving(context: Context, path: str, value: str) -> None:
    """Create an object and resolve a lost answer."""
    bench = context.bench
    bench.write_resolving(path, value.encode(), MUST_NOT_EXIST)


@when('the store creates {count:d} objects')
def create_many(context: Context, count: int) -> None:
    """Create objects one after the other."""
    context.bench.create_many('object', count)


@when('the store writes "{path}" with "{value}" upon version {expect:d}')
def write(context: Context, path: str, value: str, expect: int) -> None:
    """Write under a condition."""
    context.bench.write(path, value.encode(), expect)


@when(
    'the store writes "{path}" with "{value}" upon version {expect:d},'
    ' resolving'
)
def write_resolving(
    context: Context, path: str, value: str, expect: int
) -> None:
    """Write under a condition and resolve a lost answer."""
    context.bench.write_resolving(path, value.encode(), expect)


@when('the store deletes "{path}" upon version {expect:d}')
def delete(context: Context, path: str, expect: int) -> None:
    """Delete under a condition."""
    bench = context.bench
    kind, name = split(path)
    bench.result = bench.runner.run(bench.store.delete(kind, name, expect))


@when('the store reads "{path}"')
def read(context: Context, path: str) -> None:
    """Read an object."""
    context.bench.read(path)


@when('the store closes')
def close_store(context: Context) -> None:
    """End the watch and close the client."""
    context.bench.close_store()


@then('the store answers with version {version:d}')
def answers_version(context: Context, version: int) -> None:
    """Check the last result."""
    result = context.bench.result
    assert isinstance(result, StoredObject), result
    assert result.version == version, result


@then('the store answers "{expected}"')
def answers_fault(context: Context, expected: str) -> None:
    """Check the fault of the last result."""
    result = context.bench.result
    assert fault(result) is StoreFault(expected), result


@then('the store answers "{expected}" with the advice to wait {wait_s:d} s')
def answers_advice(context: Context, expected: str, wait_s: int) -> None:
    """Check fault and advice of the last result."""
    answers_fault(context, expected)
    assert context.bench.result.retry_after_s == wait_s


@then('"{path}" holds "{value}" at version {version:d}')
def holds(context: Context, path: str, value: str, version: int) -> None:
    """Read an object through the store."""
    bench = context.bench
    bench.read(path)
    kind, name = split(path)
    expected = StoredObject(kind, name, version, value.encode())
    assert bench.result == expected, bench.result


@then('the kind "{kind}" lists "{name}" at version {version:d}')
def lists(context: Context, kind: str, name: str, version: int) -> None:
    """List a kind through the store."""
    bench = context.bench
    rows = bench.runner.run(bench.store.list_names(kind))
    assert rows == (StoredObject(kind, name, version, b''),), rows
