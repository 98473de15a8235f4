"""Claim without routers and agents, where time and order are given."""

import asyncio
from dataclasses import replace

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.claim_key import call_digest
from lacewing_common.claim_key import claim_key
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal
from lacewing_daemon.claims import ClaimLimits
from lacewing_daemon.claims import Claims
from lacewing_daemon.claims._record import ClaimState
from lacewing_daemon.claims._record import Outcome
from lacewing_daemon.claims._requests import ClaimAnswer
from lacewing_daemon.claims._requests import ClaimRequest
from lacewing_daemon.claims._requests import Closing
from lacewing_daemon.claims._requests import Permit
from support.claims_bench import bench_of
from support.claims_bench import ClaimsBench
from support.claims_bench import FAST
from support.claims_bench import SERVICE

KEY = claim_key('rahmat', SERVICE, 'a')
CALL = call_digest('POST', '/certificates/7', b'issue')
OUTCOME = Outcome(200, 'text/plain', b'', b'issued')
WAIT_S = 10.0


def _request(attempt: str) -> ClaimRequest:
    return ClaimRequest(KEY, CALL, attempt)


@given('claims of an agent kept for {seconds:d} s')
def given_claims(context: Context, seconds: int) -> None:
    """Make the claims of one agent, with a clock that the test sets."""
    bench = bench_of(context)
    context.now = 1_000_000
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
    context.now = 1_000_000 + seconds
    assert _claim(context, attempt) == OUTCOME


@then('attempt "{attempt}" at {seconds:d} s gets a permit')
def then_permit(context: Context, attempt: str, seconds: int) -> None:
    """Ask after the retention."""
    context.now = 1_000_000 + seconds
    assert isinstance(_claim(context, attempt), Permit)


@when(
    'attempt "{one}" claims and is withdrawn in one write with attempt "{two}"'
)
def when_withdrawn(context: Context, one: str, two: str) -> None:
    """Withdraw and claim anew before the writer's next turn."""
    assert isinstance(_claim(context, one), Permit)
    claims: Claims = context.claims

    async def both() -> ClaimAnswer:
        first = claims.claim(_request(two), WAIT_S)
        again = asyncio.ensure_future(first)
        await asyncio.sleep(0)
        claims.close_permit(Closing(_request(one), None))
        return await again

    assert isinstance(bench_of(context).run(both()), Permit)


@then('another agent finds the key claimed')
def then_claimed(context: Context) -> None:
    """Ask as another agent, once nothing is owed."""
    bench = bench_of(context)
    bench.run(context.claims.flush(WAIT_S))
    other = bench.run(_make(bench, FAST, context))
    answer = bench.run(other.claim(_request('three'), WAIT_S))
    bench.run(other.close())
    assert isinstance(answer, Refusal), answer
    assert answer.reason is Reason.OUTCOME_UNKNOWN, answer
