"""Sign bundles and have a process validate them."""

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
    """Create a bundle and a process with its operators as the root."""
    bench = BundleBench()
    bench.list_operators(names.split(', '))
    bench.validator = BundleValidator(bench.bundle.operators)
    context.bundles = bench


@given('the policy requires a separate approver')
def ask_for_approver(context: Context) -> None:
    """Require a separate approver in the bundle."""
    context.bundles.separate_approver()


@when('the policy no longer requires an approver')
def ask_for_no_approver(context: Context) -> None:
    """Disable the policy in the next bundle."""
    bench = context.bundles
    bench.bundle = msgspec.structs.replace(bench.bundle, policies=Policies())


@when('the sign-offs are dropped')
def drop_sign_offs(context: Context) -> None:
    """Remove the sign-offs made so far."""
    context.bundles.sign_offs = []


@when('the operators become "{names}"')
def change_operators(context: Context, names: str) -> None:
    """Replace the operators of the bundle."""
    context.bundles.list_operators(names.split(', '))


@when('"{name}" is listed with the key of "{other}"')
def share_key(context: Context, name: str, other: str) -> None:
    """List one key under two names."""
    bench = context.bundles
    key = msgspec.structs.replace(bench.key(other), operator=name)
    bench.keys[name] = key


@when('"{operator}" signs as "{role}"')
def sign(context: Context, operator: str, role: str) -> None:
    """Sign the current bundle."""
    context.bundles.sign(operator, SignOffRole(role))


@when('the share of a team becomes {share:g}')
def edit(context: Context, share: float) -> None:
    """Change the share of the first team."""
    context.bundles.set_share(share)


@when('"{operator}" rolls it')
def roll(context: Context, operator: str) -> None:
    """Offer the document that a roll creates."""
    bench = context.bundles
    bench.offer(bench.document(operator))


@when('"{operator}" signs and rolls it')
def sign_and_roll(context: Context, operator: str) -> None:
    """Sign as the author and roll."""
    sign(context, operator, 'author')
    roll(context, operator)


@when('a peer offers it under the number {number:d}')
def renumber(context: Context, number: int) -> None:
    """Offer the active bundle under a number that nobody rolled."""
    bench = context.bundles
    head = msgspec.structs.replace(bench.active.head, version=number)
    bench.offer(Document(head, bench.active.parts))


@when('a peer offers it with one byte of a part changed')
def change_byte(context: Context) -> None:
    """Offer the active bundle with a modified part."""
    bench = context.bundles
    parts = list(bench.active.parts)
    parts[1] = parts[1].replace(b'ab', b'ac', 1)
    bench.offer(Document(bench.active.head, tuple(parts)))


@when('"{operator}" forges roll {number:d} from the proof of roll 1')
def forge(context: Context, operator: str, number: int) -> None:
    """Offer a proof without the later operator changes."""
    bench = context.bundles
    active_document = bench.active
    head = msgspec.structs.replace(bench.first.head, version=number - 1)
    bench.active = Document(head, bench.first.parts)
    forged = bench.document(operator)
    bench.active = active_document
    bench.offer(forged)


@given('a bundle of {count:d} teams')
def start_large(context: Context, count: int) -> None:
    """Create a bundle and record its parts for a comparison."""
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
    """Validate the text as ``lacewingctl bundle validate`` does."""
    checked = read_bundle_text(context.bundles.text)
    context.problems = () if isinstance(checked, Bundle) else checked


@then('there are no problems')
def no_problems(context: Context) -> None:
    """Check that the text is valid."""
    assert not context.problems, context.problems


@then('a problem at "{at}" says "{says}"')
def has_problem(context: Context, at: str, says: str) -> None:
    """Check for a problem with this path and text."""
    messages = [str(each) for each in context.problems if each.path == at]
    assert any(says in text for text in messages), context.problems


@then('only the path "{at}" has problems')
def only_path(context: Context, at: str) -> None:
    """Check that no other path has problems."""
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
    """Count the parts that differ from the recorded ones."""
    changed = set(split(context.bundles.bundle)) - set(context.parts)
    assert len(changed) == count, len(changed)


@when('{count:d} random edits, valid and invalid, are read in sequence')
def read_edits(context: Context, count: int) -> None:
    """Read each edit with the same reader and with a new one."""
    edits = RandomEdits(context.bundles.bundle, seed=5)
    reader = BundleReader()
    context.pairs = []
    for _ in range(count):
        document = edits.next()
        cached = reader.read(document)
        uncached = BundleReader().read(document)
        context.pairs.append((cached, uncached, _check_in_full(document)))


def _check_in_full(document: Document) -> Bundle | Refusal:
    """Check the whole bundle, without cached parts."""
    bundle = join(document.parts)
    assert isinstance(bundle, Bundle), bundle
    for problem in check_bundle(bundle):
        return not_run(Reason.BUNDLE_INVALID, f'bundle: {problem}')
    return bundle


@then(
    'a reader with cached parts agrees each time with a new reader and the'
    ' full check'
)
def readers_agree(context: Context) -> None:
    """Compare bundles and refusals."""
    for cached, uncached, full in context.pairs:
        assert cached == full, (cached, full)
        assert uncached == full, (uncached, full)


@then('some of them were refused, but not all')
def some_refused(context: Context) -> None:
    """Check that there were valid and invalid edits."""
    refused = [pair for pair in context.pairs if isinstance(pair[0], Refusal)]
    assert 0 < len(refused) < len(context.pairs), len(refused)


@when('its parts are {how}')
def change(context: Context, how: str) -> None:
    """Change the encoding or the order of the parts."""
    context.parts = change_parts(context.parts, how)


@then('joining them is refused')
def refused_parts(context: Context) -> None:
    """Check that the parts cannot be joined."""
    joined = join(context.parts)
    assert isinstance(joined, Refusal), joined


@when('roll 1 is recorded')
def keep_first(context: Context) -> None:
    """Record the active document for a later forgery."""
    context.bundles.first = context.bundles.active


@when('a new process starts')
def start_new(context: Context) -> None:
    """Offer the active bundle to a process that only has the root."""
    bench = context.bundles
    bench.validator = BundleValidator(context.root)
    bench.offer(bench.active)


@when('a new process starts with the root operators "{names}"')
def start_with_root(context: Context, names: str) -> None:
    """Offer the active bundle to a process with other settings."""
    bench = context.bundles
    bench.validator = bench.validator_with_root(names.split(', '))
    bench.offer(bench.active)


@when('the operator changes before roll {number:d} are dropped')
def drop_changes(context: Context, number: int) -> None:
    """Shorten the proof of the next rolls."""
    context.bundles.trust_since = number


@then('its proof has {count:d} operator change')
def has_changes(context: Context, count: int) -> None:
    """Count the trust links of the proof."""
    proof = read_proof(context.bundles.active.head)
    assert isinstance(proof, Proof), proof
    assert len(proof.links) == count, len(proof.links)


@when('"{operator}" forges roll 2 alone')
def forge_alone(context: Context, operator: str) -> None:
    """Sign only as the author and create the document."""
    bench = context.bundles
    bench.sign(operator, SignOffRole.AUTHOR)
    context.forged = bench.document(operator)


@when('a new process with the root operators "{names}" receives it')
def offer_forged(context: Context, names: str) -> None:
    """Offer the forged document to a new process."""
    bench = context.bundles
    bench.validator = bench.validator_with_root(names.split(', '))
    bench.offer(context.forged)


@given('the root operators are the current operators')
def keep_root(context: Context) -> None:
    """Record the current operators as the root of new processes."""
    context.root = context.bundles.bundle.operators


@then('the process uses roll {number:d}')
def uses(context: Context, number: int) -> None:
    """Check that the last offer was accepted."""
    bench = context.bundles
    assert bench.refusal is None, bench.refusal
    assert bench.active.head.version == number, bench.active.head.version


@then('the process refuses it: "{text}"')
def refuses(context: Context, text: str) -> None:
    """Check why the last offer was refused."""
    refusal = context.bundles.refusal
    assert refusal is not None
    assert text in refusal.message, refusal.message
