"""Append to, read and verify audit trails."""

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.audit import append_rolls
from lacewing_common.audit import BUNDLE_TRAIL
from lacewing_common.audit import compare_rolls
from lacewing_common.rolls import RollError
from lacewing_common.rolls import RollFault
from lacewing_daemon._audit import audit_trail_name
from support.audit_bench import AuditBench
from support.audit_bench import make_record
from support.audit_bench import read_trail
from support.rolls_bench import RollsBench


@given('audit trails')
def start(context: Context) -> None:
    """Use trails at the platform of the scenario."""
    rolls: RollsBench = context.rolls
    context.audit = AuditBench(rolls)


@when('the missing rolls are appended to the audit trail')
@when('the missing rolls are appended again')
def append_missing(context: Context) -> None:
    """Append the records of the missing rolls."""
    bench = context.audit
    appended = bench.runner.run(
        append_rolls(
            bench.log(BUNDLE_TRAIL), bench.reader, bench.rolls.bundle_history
        )
    )
    assert not isinstance(appended, RollError), appended


@when('{count:d} records are appended to "{name}" at once')
def append_at_once(context: Context, count: int, name: str) -> None:
    """Append all records in one call."""
    bench = context.audit
    records = tuple(make_record(number) for number in range(count))
    error = bench.runner.run(bench.log(name).append(records))
    assert error is None, error


@when('{count:d} records are appended to "{name}"')
def append(context: Context, count: int, name: str) -> None:
    """Append records with one write each."""
    context.audit.append(name, count)


@when(
    'a record is appended to "{name}", its answer is lost and {others:d}'
    ' others follow'
)
def append_overtaken(context: Context, name: str, others: int) -> None:
    """Append with a lost answer while other writers append."""
    bench = context.audit
    bench.runner.run(bench.append_overtaken(name, others))


@when('{writers:d} writers append {each:d} records each to "{name}"')
def race(context: Context, writers: int, each: int, name: str) -> None:
    """Append from several writers concurrently."""
    bench = context.audit
    bench.runner.run(bench.race(name, writers, each))
    bench.rolls.set_faults()


@when('in "{name}" "{before}" is changed to "{after}"')
def change(context: Context, name: str, before: str, after: str) -> None:
    """Tamper with the newest entries."""
    context.audit.replace_text(name, before.encode(), after.encode())


@when('in an archived part "{before}" is changed to "{after}"')
def change_archived(context: Context, before: str, after: str) -> None:
    """Tamper with an archived chunk."""
    context.audit.replace_archived(before.encode(), after.encode())


@when('the trail "{name}" is rewritten with "{who}" instead of "{before}"')
def rewrite(context: Context, name: str, who: str, before: str) -> None:
    """Rewrite a whole trail with valid hashes."""
    context.audit.rewrite(name, before, who)


@when('the head at the platform names "{who}" instead of "{before}"')
def rewrite_head(context: Context, who: str, before: str) -> None:
    """Replace the operator but keep the signature."""
    context.rolls.rewrite_head(before, who)


@then('the history is refused: "{text}"')
def history_refused(context: Context, text: str) -> None:
    """Check that reading the history is refused."""
    bench = context.rolls
    result = bench.runner.run(bench.bundle_history.history(10))
    assert isinstance(result, RollError), result
    assert result.fault is RollFault.REFUSED, result
    assert text in result.message, result.message


@when('the platform goes down')
def go_down(context: Context) -> None:
    """Refuse all calls."""
    context.rolls.set_faults(down='refuse')


@when('the platform is available again')
def come_back(context: Context) -> None:
    """Accept calls again."""
    context.rolls.set_faults()


@when('a daemon reports {count:d} records')
def report(context: Context, count: int) -> None:
    """Add records to the buffer of a daemon."""
    bench = context.audit
    for _ in range(count):
        bench.report()


@when('it flushes them')
def flush(context: Context) -> None:
    """Flush the buffer."""
    bench = context.audit
    context.flushed = bench.runner.run(bench.buffer.flush())


@when('it flushes them twice concurrently')
def flush_twice(context: Context) -> None:
    """Flush while another flush is running."""
    bench = context.audit
    bench.runner.run(bench.flush_twice())


@then('{count:d} records are pending')
def has_pending(context: Context, count: int) -> None:
    """Count the pending records of the daemon."""
    assert context.audit.buffer.pending_count == count, (
        context.audit.buffer.pending_count
    )


@then('the trail "{name}" is complete, with {count:d} entries')
def is_complete_with(context: Context, name: str, count: int) -> None:
    """Verify a trail and count its entries and their ids."""
    trail = context.audit.trail(name)
    assert trail.is_complete and not trail.faults, trail.faults
    ids = {entry.record.record_id for entry in trail.entries}
    assert len(trail.entries) == count, len(trail.entries)
    assert len(ids) == count, len(ids)


@then('the trail "{name}" says "{result}"')
def has_result(context: Context, name: str, result: str) -> None:
    """Check for an entry with this result."""
    entries = context.audit.trail(name).entries
    assert any(entry.record.result == result for entry in entries)


@then('the trail "{name}" reports a fault: "{text}"')
def has_fault(context: Context, name: str, text: str) -> None:
    """Check that verifying the trail reports a fault."""
    faults = context.audit.trail(name).faults
    assert any(text in fault for fault in faults), faults


@then('the trail agrees with the roll history')
def agrees(context: Context) -> None:
    """Compare entries with the signed history."""
    assert not _differences(context), _differences(context)


@then('the trail differs from the roll history: "{text}"')
def differs(context: Context, text: str) -> None:
    """Check for a forged or missing entry."""
    differences = _differences(context)
    assert any(text in each for each in differences), differences


@then('the newest chunk of "{name}" is smaller than {size:d} bytes')
def chunk_is_small(context: Context, name: str, size: int) -> None:
    """Check the size of the newest chunk."""
    assert context.audit.size(name) < size, context.audit.size(name)


@then(
    'the trails of the fleet record "{first}" and "{last}" by "{process_id}"'
)
def fleet_trail_has(
    context: Context, first: str, last: str, process_id: str
) -> None:
    """Read the trail of a process from the platform of a fleet."""
    fleet = context.bench.fleet
    slot = fleet.daemon(process_id).slot
    name = audit_trail_name(process_id, slot.zone)
    trail = context.bench.run(read_trail(fleet.platform_url, name))
    assert not trail.faults, trail.faults
    results: list[str] = []
    for entry in trail.entries:
        if entry.record.who.startswith(f'{process_id}.'):
            results.append(entry.record.result)
    assert results == [first, last], trail


def _differences(context: Context) -> tuple[str, ...]:
    bench = context.audit
    entries = bench.trail(BUNDLE_TRAIL).entries
    return compare_rolls(bench.rolls.history(), entries)
