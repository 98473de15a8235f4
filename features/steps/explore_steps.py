"""Explore the protocols, whole and with one guard taken out."""

from typing import Any
from unittest.mock import patch

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.explore import explore_attempts
from lacewing_bench.explore import explore_claims
from lacewing_bench.explore import Findings
from lacewing_common.store import StoredObject
from lacewing_daemon.agent._history import RouterHistory
from lacewing_daemon.claims import _draft
from lacewing_daemon.claims import _range_writer
from lacewing_daemon.claims._ruling import Ruling


def _patch(context: Context, target: Any, name: str, value: Any) -> None:
    context.resources.enter_context(patch.object(target, name, value))


@given('a rule by which every key is free')
def given_free(context: Context) -> None:
    """Take out the rule."""
    _patch(context, _draft, 'rule', lambda *_: Ruling.FREE)


@given('writes whose failure is ignored')
def given_ignored(context: Context) -> None:
    """Take the result of each write for a success."""

    async def put(
        store: Any, kind: str, name: str, value: bytes, expect: int, *_: Any
    ) -> StoredObject:
        await store.put(kind, name, value, expect)
        return StoredObject(kind, name, expect + 1, value)

    _patch(context, _range_writer, 'put_with_resolution', put)


@given('asks that close no id')
def given_open(context: Context) -> None:
    """Answer "never seen" without a memory of it."""
    _patch(context, RouterHistory, 'close', lambda *_: None)


@when('the claims are explored {depth:d} steps deep')
def when_claims(context: Context, depth: int) -> None:
    """Explore the claims."""
    _found(context).append(explore_claims(depth))


@when('the attempts are explored {depth:d} steps deep')
def when_attempts(context: Context, depth: int) -> None:
    """Explore the attempts."""
    _found(context).append(explore_attempts(depth))


def _found(context: Context) -> list[Findings]:
    if not hasattr(context, 'findings'):
        context.findings = []
    findings: list[Findings] = context.findings
    return findings


@then('no invariant breaks')
def then_whole(context: Context) -> None:
    """Print the steps to each breach."""
    findings = _found(context)[-1]
    assert findings.broken == 0, '\n'.join(map(str, findings.breaches))


@then('the steps "{words}" were taken')
def then_taken(context: Context, words: str) -> None:
    """Check that the exploration was not empty."""
    assert sorted(_found(context)[-1].steps) == words.split(', ')


@then('the ends "{words}" were reached')
def then_reached(context: Context, words: str) -> None:
    """Check that the sequences end in different ways."""
    assert sorted(_found(context)[-1].reached) == words.split(', ')


@then('both saw the same')
def then_same(context: Context) -> None:
    """Compare two explorations."""
    one, two = _found(context)
    assert one == two, (one, two)


@then('"{invariant}" breaks')
@then("'{invariant}' breaks")
def then_breaks(context: Context, invariant: str) -> None:
    """Check that the breach is the expected one."""
    seen = {breach.invariant for breach in _found(context)[-1].breaches}
    assert seen == {invariant}, seen
