"""Sign bundles and offer them to a process."""

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.bundle import Bundle
from lacewing_common.bundle import Policies
from lacewing_common.bundles import BundleValidator
from lacewing_common.bundles import check_bundle
from lacewing_common.bundles import join
from lacewing_common.bundles import Proof
from lacewing_common.bundles import read_bundle_text
from lacewing_common.bundles import read_proof
from lacewing_common.bundles import SignOffRole
from lacewing_common.bundles import split
from lacewing_common.bundles._reader import BundleReader
from lacewing_common.document import Document
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal
from support.bundle_bench import BundleBench
from support.bundle_bench import change_parts
from support.bundle_bench import make_bundle
from support.bundle_bench import RandomEdits


@given('a bundle by the operators "{names}"')
def start_bundle(context: Context, names: str) -> None:
    """Make a bundle and a process that knows its operators as the root."""
    bench = BundleBench()
    bench.list_operators(names.split(', '))
    bench.guard = BundleValidator(bench.bundle.operators)
    context.bundles = bench


@given('the policy asks for a separate approver')
def ask_for_approver(context: Context) -> None:
    """Change the policy of the bundle."""
    context.bundles.separate_approver()


@when('the policy no longer asks for an approver')
def ask_for_no_approver(context: Context) -> None:
    """Turn the policy off in the next bundle."""
    bench = context.bundles
    bench.bundle = msgspec.structs.replace(bench.bundle, policies=Policies())


@when('the sign-offs are dropped')
def drop_sign_offs(context: Context) -> None:
    """Begin to sign anew."""
    context.bundles.sign_offs = []


@when('the operators become "{names}"')
def change_operators(context: Context, names: str) -> None:
    """Rotate the keys of the bundle."""
    context.bundles.list_operators(names.split(', '))


@when('"{name}" is listed with the key of "{other}"')
def share_key(context: Context, name: str, other: str) -> None:
    """List one key under two names."""
    bench = context.bundles
    key = msgspec.structs.replace(bench.key(other), operator=name)
    bench.keys[name] = key


@when('"{operator}" signs as "{role}"')
def sign(context: Context, operator: str, role: str) -> None:
    """Sign the bundle as it is now."""
    context.bundles.sign(operator, SignOffRole(role))


@when('the share of a team becomes {share:g}')
def edit(context: Context, share: float) -> None:
    """Edit the bundle."""
    context.bundles.set_share(share)


@when('"{operator}" rolls it')
def roll(context: Context, operator: str) -> None:
    """Offer what a roll would put in force."""
    bench = context.bundles
    bench.offer(bench.document(operator))


@when('"{operator}" signs and rolls it')
def sign_and_roll(context: Context, operator: str) -> None:
    """Sign as the author and roll."""
    sign(context, operator, 'author')
    roll(context, operator)


@when('a peer offers it under the number {number:d}')
def renumber(context: Context, number: int) -> None:
    """Offer the bundle in force under a number that nobody rolled."""
    bench = context.bundles
    head = msgspec.structs.replace(bench.in_force.head, version=number)
    bench.offer(Document(head, bench.in_force.parts))


@when('a peer offers it with one byte of a part changed')
def change_byte(context: Context) -> None:
    """Offer the bundle in force with another part."""
    bench = context.bundles
    parts = list(bench.in_force.parts)
    parts[1] = parts[1].replace(b'ab', b'ac', 1)
    bench.offer(Document(bench.in_force.head, tuple(parts)))


@when('"{operator}" forges roll {number:d} from the proof of roll 1')
def forge(context: Context, operator: str, number: int) -> None:
    """Leave the later changes of operators out of the proof."""
    bench = context.bundles
    present = bench.in_force
    head = msgspec.structs.replace(bench.first.head, version=number - 1)
    bench.in_force = Document(head, bench.first.parts)
    forged = bench.document(operator)
    bench.in_force = present
    bench.offer(forged)


@given('a bundle of {count:d} teams')
def start_large(context: Context, count: int) -> None:
    """Make a bundle and keep its parts for a comparison."""
    bench = BundleBench()
    bench.bundle = make_bundle(count)
    bench.list_operators(['ana'])
    context.bundles = bench
    context.parts = split(bench.bundle)


@when('the teams are reversed')
def reverse(context: Context) -> None:
    """List the teams in another order."""
    bench = context.bundles
    teams = tuple(reversed(bench.bundle.teams))
    bench.bundle = msgspec.structs.replace(bench.bundle, teams=teams)


@when('"{path}" is set to {value}')
def set_text(context: Context, path: str, value: str) -> None:
    """Edit the text of the bundle."""
    bench = context.bundles
    bench.edit_text(f'{path}={value}')


@when('the second team gets the key of the first')
def copy_key(context: Context) -> None:
    """Give one key to two teams."""
    bench = context.bundles
    key_hashes = msgspec.json.encode(bench.bundle.teams[0].key_hashes)
    bench.edit_text(f'teams.team-1.key_hashes={key_hashes.decode()}')


@when('the text of the bundle is checked')
def check_text(context: Context) -> None:
    """Read the text as ``lacewingctl bundle validate`` does."""
    checked = read_bundle_text(context.bundles.text)
    context.problems = () if isinstance(checked, Bundle) else checked


@then('there are no problems')
def no_problems(context: Context) -> None:
    """Check that the text is valid."""
    assert not context.problems, context.problems


@then('a problem at "{at}" says "{says}"')
def says_problem(context: Context, at: str, says: str) -> None:
    """Find a problem by path and text."""
    found = [str(each) for each in context.problems if each.path == at]
    assert any(says in text for text in found), context.problems


@then('only the path "{at}" has problems')
def only_path(context: Context, at: str) -> None:
    """Check that nothing else is complained about."""
    paths = {problem.path for problem in context.problems}
    assert paths == {at}, context.problems


@then('each part is smaller than {size:d} bytes')
def parts_small(context: Context, size: int) -> None:
    """Check the largest part."""
    largest = max(len(part) for part in split(context.bundles.bundle))
    assert largest < size, largest


@then('{count:d} part has changed')
@then('{count:d} parts have changed')
def parts_changed(context: Context, count: int) -> None:
    """Count the parts that were not there before."""
    changed = set(split(context.bundles.bundle)) - set(context.parts)
    assert len(changed) == count, len(changed)


@when('{count:d} random edits, right and wrong, are read one after the other')
def read_edits(context: Context, count: int) -> None:
    """Read each edit with a reader that goes on and with a new one."""
    edits = RandomEdits(context.bundles.bundle, seed=5)
    reader = BundleReader()
    context.pairs = []
    for _ in range(count):
        document = edits.next()
        warm = reader.read(document)
        cold = BundleReader().read(document)
        context.pairs.append((warm, cold, _read_in_full(document)))


def _read_in_full(document: Document) -> Bundle | Refusal:
    """Do what a reader spares itself."""
    bundle = join(document.parts)
    assert isinstance(bundle, Bundle), bundle
    for problem in check_bundle(bundle):
        return not_run(Reason.BUNDLE_INVALID, f'bundle: {problem}')
    return bundle


@then(
    'a process that read them all agrees each time with one that starts and'
    ' with the full check'
)
def agree(context: Context) -> None:
    """Compare bundles and refusals."""
    for warm, cold, full in context.pairs:
        assert warm == full, (warm, full)
        assert cold == full, (cold, full)


@then('both some and not all of them were refused')
def some_refused(context: Context) -> None:
    """Check that the edits were of both sorts."""
    refused = [pair for pair in context.pairs if isinstance(pair[0], Refusal)]
    assert 0 < len(refused) < len(context.pairs), len(refused)


@when('its parts are {how}')
def change(context: Context, how: str) -> None:
    """Encode or order the parts in another way."""
    context.parts = change_parts(context.parts, how)


@then('they are refused as a bundle')
def refused_parts(context: Context) -> None:
    """Join the parts."""
    joined = join(context.parts)
    assert isinstance(joined, Refusal), joined


@when('that was roll 1')
def keep_first(context: Context) -> None:
    """Keep the document in force for a forger."""
    context.bundles.first = context.bundles.in_force


@when('a cold process starts')
def start_cold(context: Context) -> None:
    """Offer the bundle in force to a process that knows only the root."""
    bench = context.bundles
    bench.guard = BundleValidator(context.root)
    bench.offer(bench.in_force)


@when('a cold process starts with the root operators "{names}"')
def start_with_root(context: Context, names: str) -> None:
    """Offer the bundle in force to a process with other settings."""
    bench = context.bundles
    bench.guard = bench.guard_of(names.split(', '))
    bench.offer(bench.in_force)


@when('the changes of operators before roll {number:d} are dropped')
def drop_changes(context: Context, number: int) -> None:
    """Shorten the proof of the next rolls."""
    context.bundles.trust_since = number


@then('its proof has {count:d} change of operators')
def has_changes(context: Context, count: int) -> None:
    """Count the links."""
    proof = read_proof(context.bundles.in_force.head)
    assert isinstance(proof, Proof), proof
    assert len(proof.links) == count, len(proof.links)


@when('"{operator}" forges roll 2 alone')
def forge_alone(context: Context, operator: str) -> None:
    """Sign as the author only and make the document."""
    bench = context.bundles
    bench.sign(operator, SignOffRole.AUTHOR)
    context.forged = bench.document(operator)


@when('a cold process with the root operators "{names}" is offered it')
def offer_forged(context: Context, names: str) -> None:
    """Offer what was forged."""
    bench = context.bundles
    bench.guard = bench.guard_of(names.split(', '))
    bench.offer(context.forged)


@given('the root operators are those of now')
def keep_root(context: Context) -> None:
    """Keep the operators of now for cold processes."""
    context.root = context.bundles.bundle.operators


@then('the process uses roll {number:d}')
def uses(context: Context, number: int) -> None:
    """Check that the last offer was accepted."""
    bench = context.bundles
    assert bench.refusal is None, bench.refusal
    assert bench.in_force.head.version == number, bench.in_force.head.version


@then('the process refuses it: "{text}"')
def refuses(context: Context, text: str) -> None:
    """Check why the last offer was refused."""
    refusal = context.bundles.refusal
    assert refusal is not None
    assert text in refusal.message, refusal.message
