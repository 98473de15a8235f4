"""Set up a router and fake agents by their behaviour."""

from dataclasses import replace

from behave import given
from behave.runner import Context
from lacewing_bench.fake_agent import Script
from lacewing_bench.fake_runtime import FakeBundles
from lacewing_bench.fake_runtime import FakeMembers
from lacewing_bench.loop_thread import LoopThread
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Verdict
from support.router_bench import add_agent
from support.router_bench import chat_script
from support.router_bench import dropped_frames
from support.router_bench import MB
from support.router_bench import start
from support.router_bench import stream_script
from support.router_bench import team_bundle


@given('a router whose bundle has the teams "rahmat" and "brno"')
def given_router(context: Context) -> None:
    """Start a router on its own loop, without agents."""
    context.loop = LoopThread()
    context.resources.callback(context.loop.close)
    context.members = FakeMembers()
    context.agents = []
    context.answers = []
    context.callers = 0
    context.by_id = {}
    bundles = FakeBundles()
    context.bundles = bundles
    bundles.roll(team_bundle())
    router = context.loop.call(start(bundles, context.members))
    context.router = router
    context.resources.callback(lambda: context.loop.call(router.close()))
    context.dropped = dropped_frames()


@given('an agent of "{service}" that answers')
def given_answering(context: Context, service: str) -> None:
    """Add an agent that answers everything."""
    add_agent(context, service, Script())


@given('an agent of "{service}" that streams {count:d} tokens')
def given_streaming(context: Context, service: str, count: int) -> None:
    """Add an agent that streams."""
    add_agent(context, service, stream_script(count))


@given('the address of an agent of "{service}" that is not up yet')
def given_not_up(context: Context, service: str) -> None:
    """Make an agent known that does not listen."""
    add_agent(context, service, Script(), up=False)


@given('an agent of "{service}" that refuses with "{code}"')
def given_refusing(context: Context, service: str, code: str) -> None:
    """Add an agent that never runs a request."""
    add_agent(context, service, Script(refuse=Reason(code)))


@given('{count:d} agents of "{service}" that refuse with "{code}"')
def given_all_refuse(
    context: Context, count: int, service: str, code: str
) -> None:
    """Add agents that never run a request."""
    for _ in range(count):
        add_agent(context, service, Script(refuse=Reason(code)))


@given('{count:d} agents of "{service}" that fail and may have run it')
def given_failing(context: Context, count: int, service: str) -> None:
    """Add agents whose worker fails amid the call."""
    failing = Script(refuse=Reason.WORKER_FAILED, verdict=Verdict.MAY_HAVE_RUN)
    for _ in range(count):
        add_agent(context, service, failing)


@given(
    '{count:d} agents of "{service}" that restart after they accepted a'
    ' request'
)
def given_all_restart(context: Context, count: int, service: str) -> None:
    """Add agents that forget what they accepted."""
    for _ in range(count):
        add_agent(context, service, Script(restart_on_accept=True))


@given(
    'an agent of "{service}" that restarts once after it accepted a request'
)
def given_restarting(context: Context, service: str) -> None:
    """Add an agent that forgets the first request."""
    add_agent(context, service, Script(restart_on_accept=True), Script())


@given(
    'an agent of "{service}" that streams {count:d} tokens and cuts the'
    ' link after {cut:d}'
)
def given_cutting(
    context: Context, service: str, count: int, cut: int
) -> None:
    """Add an agent whose link breaks amid a stream."""
    add_agent(
        context, service, replace(stream_script(count), cut_link_after=cut)
    )


@given(
    'an agent of "{service}" that streams {count:d} tokens with crossed'
    ' and repeated frames'
)
def given_crossing(context: Context, service: str, count: int) -> None:
    """Add an agent that sends what belongs elsewhere."""
    script = replace(stream_script(count), cross_after=2, repeat_after=4)
    add_agent(context, service, script)


@given(
    'an agent of "{service}" that streams {count:d} tokens and holds'
    ' after {held:d}'
)
def given_holding(
    context: Context, service: str, count: int, held: int
) -> None:
    """Add an agent that goes on only when told."""
    add_agent(context, service, replace(stream_script(count), hold_after=held))


@given('an agent of "{service}" that chats {count:d} words')
def given_chatting(context: Context, service: str, count: int) -> None:
    """Add an agent that streams a chat, or the rest of one."""
    add_agent(context, service, chat_script(count))


@given(
    'an agent of "{service}" that chats {count:d} words and vanishes'
    ' after {last:d}'
)
def given_vanishing(
    context: Context, service: str, count: int, last: int
) -> None:
    """Add an agent that goes away for good amid a stream."""
    script = replace(chat_script(count), vanish_after=last)
    add_agent(context, service, script)


@given(
    '{agents:d} agents of "{service}" that chat {count:d} words and fail'
    ' after {last:d}'
)
def given_failing_amid(
    context: Context, agents: int, service: str, count: int, last: int
) -> None:
    """Add agents whose worker fails amid a stream."""
    script = replace(chat_script(count), fail_after=last)
    for _ in range(agents):
        add_agent(context, service, script)


@given('an agent of "{service}" that freezes after it accepted a request')
def given_freezing(context: Context, service: str) -> None:
    """Add an agent that falls silent with its links open."""
    add_agent(context, service, Script(freeze_on_accept=True))


@given('an agent of "{service}" that answers {size:d} MB and obeys the window')
def given_large(context: Context, service: str, size: int) -> None:
    """Add an agent with a long answer."""
    piece = b'x' * (64 * 1024)
    chunks = (piece,) * (size * MB // len(piece))
    add_agent(context, service, Script(chunks=chunks, obey_window=True))


@given('an answering agent of "{service}" with the weights "{weights}"')
def given_weights(context: Context, service: str, weights: str) -> None:
    """Add an agent whose worker has other weights."""
    models = (f'handbook:{weights}',)
    add_agent(context, service, Script(), models=models)


@given(
    'an agent of "{service}" that streams {count:d} tokens but leaves out'
    ' the fourth'
)
def given_skipping(context: Context, service: str, count: int) -> None:
    """Add an agent that leaves a chunk out until it is asked."""
    add_agent(context, service, replace(stream_script(count), skip_after=3))
