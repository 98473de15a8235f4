"""Roll bundles at a fake platform, alone and concurrently."""

from asyncio import Runner

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.platform import ObjectKey
from lacewing_common.bundles import BundleValidator
from lacewing_common.document import Document
from lacewing_common.document import part_digest
from lacewing_common.rolls import RollError
from lacewing_common.rolls import RollFault
from lacewing_common.rolls import RollResult
from support.rolls_bench import LenientValidator
from support.rolls_bench import RollsBench


@given('a platform and the operators "{names}"')
def start(context: Context, names: str) -> None:
    """Create a fake platform and the keys of the operators."""
    runner = context.resources.enter_context(Runner())
    context.rolls = RollsBench(runner, names.split(', '))


@given('the answers of the next {count:d} writes to the platform are lost')
@when('the answers of the next {count:d} writes to the platform are lost')
def lose(context: Context, count: int) -> None:
    """Lose answers after the write has taken effect."""
    context.rolls.set_faults(lose_next=count)


@given('a platform that is slow and loses {share:d}% of the answers')
def lose_share(context: Context, share: int) -> None:
    """Interleave the operators' calls and lose answers at random."""
    context.rolls.set_faults(lose_share=share / 100, slow_s=0.0002, seed=7)


@when('"{operator}" edits the share to {share:g}')
def edit(context: Context, operator: str, share: float) -> None:
    """Edit the active bundle."""
    bench = context.rolls
    draft = bench.runner.run(bench.edit(operator, share))
    bench.drafts[operator] = draft


@when('"{operator}" rolls the edit')
@when('"{operator}" rolls the same edit again')
def roll(context: Context, operator: str) -> None:
    """Roll the draft of an operator."""
    bench = context.rolls
    draft = bench.drafts[operator]
    bench.result = bench.runner.run(bench.roll(operator, draft))


@when(
    '"{operator}" rolls the edit, its answer is lost and "{other}" rolls'
    ' {times:d} times before it is read back'
)
def roll_overtaken(
    context: Context, operator: str, other: str, times: int
) -> None:
    """Roll while another operator rolls before the retry."""
    bench = context.rolls
    bench.result = bench.runner.run(
        bench.roll_overtaken(operator, other, times)
    )


@when('"{operator}" rolls back to roll {number:d}')
@when('"{operator}" tries to roll back to roll {number:d}')
def roll_back(context: Context, operator: str, number: int) -> None:
    """Roll the bundle of an earlier roll."""
    bench = context.rolls
    bench.result = bench.runner.run(bench.roll_back(operator, number))


@when('"{operator}" revokes the key of "{other}" and rolls')
def revoke(context: Context, operator: str, other: str) -> None:
    """Roll a bundle without an operator."""
    bench = context.rolls
    bench.result = bench.runner.run(bench.revoke(operator, other))


@when('{rolls:d} rolls of all operators run concurrently')
def race(context: Context, rolls: int) -> None:
    """Roll concurrently while a process observes."""
    bench = context.rolls
    context.race = bench.runner.run(bench.race(rolls, seed=11))
    bench.set_faults()


@given('a validator without content checks')
def start_lenient(context: Context) -> None:
    """Use the validator of an earlier release."""
    bench = context.rolls
    bench.validator = LenientValidator(bench.root)


@when('the content checks are active again')
def start_strict(context: Context) -> None:
    """Use the validator of this release."""
    bench = context.rolls
    bench.validator = BundleValidator(bench.root)


@when('each part of the active bundle is {damaged} at the platform')
def damage(context: Context, damaged: str) -> None:
    """Delete or change the parts."""
    context.rolls.damage_parts(damaged == 'lost')


@then('a new process uses roll {number:d}')
def new_process_uses(context: Context, number: int) -> None:
    """Read and validate the active bundle."""
    bench = context.rolls
    bench.validator = BundleValidator(bench.root)
    head = bench.runner.run(bench.bundle_history.head())
    document = bench.runner.run(bench.bundle_history.document(head))
    assert isinstance(document, Document), document
    assert document.head.version == number, document.head


@when('a part of the active bundle is tampered with at the platform')
def tamper(context: Context) -> None:
    """Replace the bytes of a part, but not its name."""
    bench = context.rolls
    head = bench.runner.run(bench.bundle_history.head())
    name = head.head.parts[-1]
    bench.service.put(ObjectKey('parts', name), b'{}', 1)


@then('roll {number:d} is active')
def is_active(context: Context, number: int) -> None:
    """Check the result of the roll and the active head."""
    bench = context.rolls
    assert isinstance(bench.result, RollResult), bench.result
    assert bench.result.number == number, bench.result
    head = bench.runner.run(bench.bundle_history.head())
    assert head.head.version == number, head


@then('the result is that roll {number:d} took effect')
def took_effect(context: Context, number: int) -> None:
    """Check only the result of the roll."""
    result = context.rolls.result
    assert isinstance(result, RollResult), result
    assert result.number == number, result


@then('the history has {count:d} rolls')
def history_has(context: Context, count: int) -> None:
    """Count the rolls of the chain."""
    history = context.rolls.history()
    assert len(history) == count, history


@then('the roll fails as "{fault}": "{text}"')
def fails(context: Context, fault: str, text: str) -> None:
    """Check the fault and a part of the message."""
    result = context.rolls.result
    assert isinstance(result, RollError), result
    assert result.fault is RollFault(fault), result
    assert text in result.message, result.message


@then('rolls {first:d} and {second:d} have the same bundle')
def same_bundle(context: Context, first: int, second: int) -> None:
    """Compare the digests of two rolls."""
    digests = {row.number: row.digest for row in context.rolls.history()}
    assert digests[first] == digests[second], digests


@then('reading the active bundle fails: "{text}"')
def read_fails(context: Context, text: str) -> None:
    """Read the bundle as a process does."""
    bench = context.rolls
    head = bench.runner.run(bench.bundle_history.head())
    result = bench.runner.run(bench.bundle_history.document(head))
    assert isinstance(result, RollError), result
    assert text in result.message, result.message


@then('one linear history contains exactly the {count:d} successful rolls')
def is_linear(context: Context, count: int) -> None:
    """Follow the chain of heads and compare it with the results."""
    bench = context.rolls
    stored = bench.runner.run(bench.bundle_history.head())
    expected = count
    while True:
        roll = stored.proof.roll
        assert roll.number == expected, (roll.number, expected)
        assert context.race.won[expected] == roll.nonce, roll
        assert roll.nonce not in context.race.lost, roll
        expected -= 1
        if not roll.previous:
            break
        predecessor = bench.runner.run(
            bench.bundle_history.previous_head(stored)
        )
        assert part_digest(predecessor.value) == roll.previous
        stored = predecessor
    assert expected == 0, expected
    assert len(context.race.won) == count, len(context.race.won)


@then('some rolls conflicted and some answers were lost')
def had_conflicts(context: Context) -> None:
    """Check that rolls conflicted and answers were lost."""
    assert context.race.lost
    assert context.rolls.store.counts.lost_answers > 0


@then('the observing process saw no revert')
def no_revert(context: Context) -> None:
    """Check that the numbers that a process used only increase."""
    seen = context.race.numbers_seen
    assert seen == sorted(seen), seen
    assert not context.race.refused, context.race.refused[:3]
