"""Check what turns measurements into the capacity page."""

import tempfile
from pathlib import Path
from typing import Any

import msgspec
from behave import given
from behave import then
from behave import when
from lacewing_bench.capacity._gossip import sample_record
from lacewing_bench.capacity._page import write_page
from lacewing_bench.capacity._series import fit
from lacewing_bench.capacity._table import Row
from lacewing_bench.capacity._table import Table
from lacewing_common.wire_peers import MemberRecord
from lacewing_daemon.peers._members import GossipMembers
from lacewing_daemon.peers._table import MemberTable
from lacewing_daemon.peers._vm_notes import VmNotes

OWN_WORDS = 'Words of the page.'


class CountingTable(MemberTable):
    """Count the reads of all records."""

    reads = 0

    def all(self) -> tuple[MemberRecord, ...]:
        """Return all records."""
        self.reads += 1
        return super().all()


def _points(sizes: tuple[int, ...]) -> list[tuple[float, float]]:
    return [(float(size), 3.0 * size + 5.0) for size in sizes]


@given('points at 10, 20 and 40 of a line with slope 3 and 5 at zero')
def three_points(context: Any) -> None:
    """Keep three points."""
    context.points = _points((10, 20, 40))


@given('points at 10 and 20 of a line with slope 3 and 5 at zero')
def two_points(context: Any) -> None:
    """Keep two points."""
    context.points = _points((10, 20))


@then('the fit has slope 3, gives 305 at 100 and no error')
def fit_is_exact(context: Any) -> None:
    """Check the fit."""
    series = fit('x', 'us', 'one', context.points)
    assert abs(series.slope - 3.0) < 1e-9, series
    assert abs(series.at(100.0) - 305.0) < 1e-6, series
    assert series.error < 1e-9, series


@then('the fit is refused')
def fit_is_refused(context: Any) -> None:
    """Check that the error tells what was expected."""
    try:
        fit('x', 'us', 'one', context.points)
    except ValueError as error:
        assert 'three points' in str(error), error
        return
    raise AssertionError('two points were taken for a measurement')


@given('a page with marks and a table of 20 under a limit of 16')
def page_and_table(context: Any) -> None:
    """Write a page of its own words and empty marks."""
    folder = tempfile.TemporaryDirectory()
    context.resources.callback(folder.cleanup)
    context.page = Path(folder.name) / 'page.md'
    marks: list[str] = [OWN_WORDS]
    for name in ('summary', 'slopes', 'router'):
        marks.append(f'<!-- measured:{name} -->\n<!-- measured:{name} -->')
    context.page.write_text('\n\n'.join(marks))
    row = Row('work', 20.0, '2 x 10', 'work', 'a mechanism')
    context.tables = (Table('router', 'CPU', 'ms/s', 16.0, (row,)),)


@when('the tables are written twice')
def written_twice(context: Any) -> None:
    """Write over what the first run wrote."""
    for _ in range(2):
        write_page(context.page, context.tables, ())


@then('the page says RED once in its summary and keeps its own words')
def page_is_red(context: Any) -> None:
    """Check that nothing was doubled."""
    text = context.page.read_text()
    summary = text.split('<!-- measured:summary -->')[1]
    assert summary.count('**RED**') == 1, text
    assert text.count(OWN_WORDS) == 1, text
    assert text.count('<!-- measured:router -->') == 2, text


@given('a table of 200 members that counts how often it is read')
def counting_table(context: Any) -> None:
    """Fill a table of agents."""
    context.member_table = CountingTable(sample_record(0))
    context.member_table.merge_all(
        tuple(sample_record(n) for n in range(1, 200))
    )
    context.members = GossipMembers(context.member_table, VmNotes(), tuple)


@when('a router polls its members 50 times')
def polls(context: Any) -> None:
    """Ask for each agent as the links do."""
    context.member_table.reads = 0
    for _ in range(50):
        for address in context.members.agent_addresses():
            assert not context.members.is_leaving(address)


@then('the table was read once')
def read_once(context: Any) -> None:
    """Check the count."""
    assert context.member_table.reads == 1, context.member_table.reads


@then('after one member leaves, the next poll knows it')
def leaving_is_known(context: Any) -> None:
    """Change one record and look again."""
    record = sample_record(7)
    gone = msgspec.structs.replace(record, leaving=True, revision=1)
    known = context.member_table.get(record.process_id)
    gone = msgspec.structs.replace(gone, incarnation=known.incarnation)
    context.member_table.merge(gone)
    assert context.members.is_leaving(record.address)
