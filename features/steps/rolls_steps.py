"""Roll bundles at a fake platform, alone and in a race."""

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
from support.rolls_bench import LenientGuard
from support.rolls_bench import RollsBench


@given('a platform and the operators "{names}"')
def start(context: Context, names: str) -> None:
    """Make a fake platform and the keys of the operators."""
    runner = context.resources.enter_context(Runner())
    context.rolls = RollsBench(runner, names.split(', '))


@given('the answers of the next {count:d} writes to the platform get lost')
@when('the answers of the next {count:d} writes to the platform get lost')
def lose(context: Context, count: int) -> None:
    """Lose answers after their effect."""
    context.rolls.set_faults(lose_next=count)


@given('a platform that is slow and loses {share:d}% of the answers')
def lose_share(context: Context, share: int) -> None:
    """Interleave the operators' calls and lose answers at random."""
    context.rolls.set_faults(lose_share=share / 100, slow_s=0.0002, seed=7)


@when('"{operator}" edits the share to {share:g}')
def edit(context: Context, operator: str, share: float) -> None:
    """Take the bundle in force and edit it."""
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
    """Roll while another operator overtakes."""
    bench = context.rolls
    bench.result = bench.runner.run(
        bench.roll_overtaken(operator, other, times)
    )


@when('"{operator}" rolls back to roll {number:d}')
@when('"{operator}" tries to go back to roll {number:d}')
def roll_back(context: Context, operator: str, number: int) -> None:
    """Roll the bundle of an earlier roll."""
    bench = context.rolls
    bench.result = bench.runner.run(bench.roll_back(operator, number))


@when('"{operator}" withdraws the key of "{other}" and rolls')
def withdraw(context: Context, operator: str, other: str) -> None:
    """Roll a bundle without an operator."""
    bench = context.rolls
    bench.result = bench.runner.run(bench.withdraw(operator, other))


@when('{rolls:d} rolls of all operators race')
def race(context: Context, rolls: int) -> None:
    """Let the operators race and a process follow."""
    bench = context.rolls
    context.race = bench.runner.run(bench.race(rolls, seed=11))
    bench.set_faults()


@given('checks that find nothing')
def start_lenient(context: Context) -> None:
    """Use the guard of an earlier release."""
    bench = context.rolls
    bench.guard = LenientGuard(bench.root)


@when('the checks are back')
def start_strict(context: Context) -> None:
    """Use the guard of this release."""
    bench = context.rolls
    bench.guard = BundleValidator(bench.root)


@when('each part of the bundle in force is {damaged} at the platform')
def damage(context: Context, damaged: str) -> None:
    """Lose or change the parts."""
    context.rolls.damage_parts(damaged == 'lost')


@then('a process that starts uses roll {number:d}')
def starts(context: Context, number: int) -> None:
    """Read and check the bundle in force."""
    bench = context.rolls
    bench.guard = BundleValidator(bench.root)
    head = bench.runner.run(bench.reads.head())
    document = bench.runner.run(bench.reads.document(head))
    assert isinstance(document, Document), document
    assert document.head.version == number, document.head


@when('a part of the bundle in force is tampered with at the platform')
def tamper(context: Context) -> None:
    """Replace the bytes of a part under its name."""
    bench = context.rolls
    head = bench.runner.run(bench.reads.head())
    name = head.head.parts[-1]
    bench.service.put(ObjectKey('parts', name), b'{}', 1)


@then('roll {number:d} is in force')
def in_force(context: Context, number: int) -> None:
    """Check the answer to the roll and the head."""
    bench = context.rolls
    assert isinstance(bench.result, RollResult), bench.result
    assert bench.result.number == number, bench.result
    head = bench.runner.run(bench.reads.head())
    assert head.head.version == number, head


@then('the operator is told that roll {number:d} took effect')
def told(context: Context, number: int) -> None:
    """Check the answer to the roll alone."""
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


@then('rolls {first:d} and {second:d} are of the same bundle')
def same_bundle(context: Context, first: int, second: int) -> None:
    """Compare the digests of two rolls."""
    digests = {row.number: row.digest for row in context.rolls.history()}
    assert digests[first] == digests[second], digests


@then('reading the bundle in force fails: "{text}"')
def read_fails(context: Context, text: str) -> None:
    """Read the bundle as a process does."""
    bench = context.rolls
    head = bench.runner.run(bench.reads.head())
    result = bench.runner.run(bench.reads.document(head))
    assert isinstance(result, RollError), result
    assert text in result.message, result.message


@then('one linear history holds exactly the {count:d} rolls that won')
def linear(context: Context, count: int) -> None:
    """Follow the chain of heads and compare it with the answers."""
    bench = context.rolls
    stored = bench.runner.run(bench.reads.head())
    expected = count
    while True:
        roll = stored.proof.roll
        assert roll.number == expected, (roll.number, expected)
        assert context.race.won[expected] == roll.nonce, roll
        assert roll.nonce not in context.race.lost, roll
        expected -= 1
        if not roll.previous:
            break
        before = bench.runner.run(bench.reads.previous_head(stored))
        assert part_digest(before.value) == roll.previous
        stored = before
    assert expected == 0, expected
    assert len(context.race.won) == count, len(context.race.won)


@then('some operators lost and some answers were lost')
def contended(context: Context) -> None:
    """Check that the race was one."""
    assert context.race.lost
    assert context.rolls.store.counts.lost_answers > 0


@then('the process that followed saw no revert')
def no_revert(context: Context) -> None:
    """Check the numbers that a process used, in their order."""
    seen = context.race.numbers_seen
    assert seen == sorted(seen), seen
    assert not context.race.refused, context.race.refused[:3]
