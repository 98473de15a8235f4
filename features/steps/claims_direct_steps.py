"""Claim without routers and agents, where time and order are given."""

from array import array
from dataclasses import replace

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.claim_key import call_digest
from lacewing_common.claim_key import claim_key
from lacewing_common.claim_key import range_of
from lacewing_common.store import StoredObject
from lacewing_common.verdict import Refusal
from lacewing_common.verdict import Verdict
from lacewing_daemon.claims import ClaimLimits
from lacewing_daemon.claims import Claims
from lacewing_daemon.claims._document import Book
from lacewing_daemon.claims._document import KIND
from lacewing_daemon.claims._document import read_book
from lacewing_daemon.claims._draft import Drafter
from lacewing_daemon.claims._folded import Folded
from lacewing_daemon.claims._record import Claim
from lacewing_daemon.claims._record import ClaimState
from lacewing_daemon.claims._record import Outcome
from lacewing_daemon.claims._requests import ClaimAnswer
from lacewing_daemon.claims._requests import ClaimRequest
from lacewing_daemon.claims._requests import Closing
from lacewing_daemon.claims._requests import Permit
from lacewing_daemon.claims._requests import Ticket
from support.claims_bench import bench_of
from support.claims_bench import ClaimsBench
from support.claims_bench import FAST
from support.claims_bench import SERVICE

KEY = claim_key('rahmat', SERVICE, 'a')
CALL = call_digest('POST', '/certificates/7', b'issue')
OUTCOME = Outcome(200, 'text/plain', b'', b'issued')
WAIT_S = 10.0
OWNER = 1
NOW = 1_000_000


def _request(attempt: str) -> ClaimRequest:
    return ClaimRequest(KEY, CALL, attempt)


@given('claims of an agent kept for {seconds:d} s')
def given_claims(context: Context, seconds: int) -> None:
    """Make the claims of one agent, with a clock that the test sets."""
    bench = bench_of(context)
    context.now = NOW
    limits = replace(FAST, retention_s=seconds)
    context.claims = bench.run(_make(bench, limits, context))
    context.resources.callback(lambda: bench.run(context.claims.close()))


async def _make(
    bench: ClaimsBench, limits: ClaimLimits, context: Context
) -> Claims:
    return Claims(bench.store, SERVICE, limits, lambda: context.now)


def _claim(context: Context, attempt: str) -> ClaimAnswer:
    claims: Claims = context.claims
    bench = bench_of(context)
    return bench.run(claims.claim(_request(attempt), WAIT_S))


@given('claims of an agent kept for {seconds:d} s and folded after {fold:d} s')
def given_folding(context: Context, seconds: int, fold: int) -> None:
    """Make claims that fold each call by itself."""
    bench = bench_of(context)
    context.now = NOW
    limits = replace(
        FAST, retention_s=seconds, fold_after_s=fold, fold_at_once=1
    )
    context.claims = bench.run(_make(bench, limits, context))
    context.resources.callback(lambda: bench.run(context.claims.close()))


@when('another key is claimed at {seconds:d} s')
def when_other(context: Context, seconds: int) -> None:
    """Have the range written at a time."""
    context.now = NOW + seconds
    # The first 4 bytes of a key say its range.
    other = ClaimRequest(KEY[:4] + bytes(12), CALL, 'other')
    bench = bench_of(context)
    answer = bench.run(context.claims.claim(other, WAIT_S))
    assert isinstance(answer, Permit), answer


@then('the object holds {count:d} key folded')
def then_folded(context: Context, count: int) -> None:
    """Look into the platform."""
    bench = bench_of(context)
    name = f'{SERVICE}-{range_of(KEY)}'
    found = bench.run(bench.store.get(KIND, name))
    assert isinstance(found, StoredObject), found
    book = read_book(found)
    assert book is not None
    assert len(book.folded) == count, book


@then('attempt "{attempt}" at {seconds:d} s is refused as one that ran')
def then_ran(context: Context, attempt: str, seconds: int) -> None:
    """Ask within the retention."""
    context.now = NOW + seconds
    answer = _claim(context, attempt)
    assert isinstance(answer, Refusal), answer
    assert answer.verdict is Verdict.RAN, answer


@when(
    'a range of {count:d} folded keys is full, and they have expired',
)
def when_full(context: Context, count: int) -> None:
    """Draft upon folded keys alone."""
    keys = array('Q', range(count))
    folded = Folded(keys, array('I', [NOW] * count))
    limits = replace(FAST, object_bytes=count * 12)
    book = Book(1, {}, folded)
    ticket = bench_of(context).run(_ticket())
    context.draft = Drafter(OWNER, limits).draft(
        book, True, (), (ticket,), NOW + limits.retention_s + 1
    )


async def _ticket() -> Ticket:
    return Ticket(_request('one'))


@then('the draft for one more call grants it')
def then_granted(context: Context) -> None:
    """Look into the draft."""
    assert len(context.draft.granted) == 1, context.draft


@when('attempt "{attempt}" claims and runs at 0 s')
def when_ran(context: Context, attempt: str) -> None:
    """Claim, run and write the outcome."""
    bench = bench_of(context)
    assert isinstance(_claim(context, attempt), Permit)
    request = _request(attempt)
    closing = Closing(request, ClaimState.RAN, OUTCOME)
    context.claims.close_permit(closing)
    bench.run(context.claims.written(request, WAIT_S))


@then('attempt "{attempt}" at {seconds:d} s gets the kept answer')
def then_kept(context: Context, attempt: str, seconds: int) -> None:
    """Ask within the retention."""
    context.now = NOW + seconds
    assert _claim(context, attempt) == OUTCOME


@then('attempt "{attempt}" at {seconds:d} s gets a permit')
def then_permit(context: Context, attempt: str, seconds: int) -> None:
    """Ask after the retention."""
    context.now = NOW + seconds
    assert isinstance(_claim(context, attempt), Permit)


@when('the withdrawal of attempt "{one}" meets the claim of attempt "{two}"')
def when_withdrawn(context: Context, one: str, two: str) -> None:
    """Draft upon a claim that a later attempt of the owner holds."""
    claim = Claim(KEY, CALL, OWNER, two, NOW, ClaimState.CLAIMED)
    closing = Closing(_request(one), None)
    drafter = Drafter(OWNER, FAST)
    context.draft = drafter.draft(
        Book(1, {KEY: claim}), True, (closing,), (), NOW
    )


@then('the claim of attempt "{attempt}" stands')
def then_stands(context: Context, attempt: str) -> None:
    """Look into the draft."""
    assert context.draft.claims[KEY].attempt == attempt
