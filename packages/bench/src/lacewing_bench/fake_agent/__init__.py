"""Fake an agent at its end of the link, for focused tests of a router."""

from lacewing_bench.fake_agent._agent import FakeAgent
from lacewing_bench.fake_agent._agent import until
from lacewing_bench.fake_agent._chat import chat_events
from lacewing_bench.fake_agent._chat import ChatPart
from lacewing_bench.fake_agent._script import Script

__all__ = ['ChatPart', 'FakeAgent', 'Script', 'chat_events', 'until']
