"""Name the faults that a run may bring."""

from enum import Enum


class FaultKind(Enum):
    """Name a fault; the value stands in reports."""

    ENGINE_CRASH = 'engine-crash'
    ENGINE_PAUSE = 'engine-pause'
    ENGINE_SLOW = 'engine-slow'
    EVENTS_LOST = 'events-lost'
    EVENTS_DELAYED = 'events-delayed'
    STREAMS_CUT = 'streams-cut'
    ANSWERS_LATE = 'answers-late'
    ANSWERS_CROSSED = 'answers-crossed'
    LOAD_LATE = 'load-late'
    PLAIN_CRASH = 'plain-crash'
    PLAIN_PAUSE = 'plain-pause'
    PLAIN_LATE = 'plain-late'
    PLAIN_CROSSED = 'plain-crossed'
    AGENT_KILL = 'agent-kill'
    AGENT_FREEZE = 'agent-freeze'
    AGENT_TERM = 'agent-term'
    VM_LEAVING = 'vm-leaving'
    ROUTER_KILL = 'router-kill'
    ROUTER_DRAIN = 'router-drain'
    ROUTER_HERD = 'router-herd'
    PLATFORM_DOWN = 'platform-down'
    PLATFORM_DROPS = 'platform-drops'
    PLATFORM_SLOW = 'platform-slow'
    PLATFORM_LOSES = 'platform-loses-answers'
    HOT_SHIFT = 'hot-shift'
    BUNDLE_ROLL = 'bundle-roll'


OF_ENGINE = (
    FaultKind.ENGINE_CRASH,
    FaultKind.ENGINE_PAUSE,
    FaultKind.ENGINE_SLOW,
    FaultKind.EVENTS_LOST,
    FaultKind.EVENTS_DELAYED,
    FaultKind.STREAMS_CUT,
    FaultKind.ANSWERS_LATE,
    FaultKind.ANSWERS_CROSSED,
    FaultKind.LOAD_LATE,
)
OF_PLAIN = (
    FaultKind.PLAIN_CRASH,
    FaultKind.PLAIN_PAUSE,
    FaultKind.PLAIN_LATE,
    FaultKind.PLAIN_CROSSED,
)
OF_AGENT = (
    FaultKind.AGENT_KILL,
    FaultKind.AGENT_FREEZE,
    FaultKind.AGENT_TERM,
    FaultKind.VM_LEAVING,
)
OF_ROUTER = (FaultKind.ROUTER_KILL, FaultKind.ROUTER_DRAIN)
OF_PLATFORM = (
    FaultKind.PLATFORM_DOWN,
    FaultKind.PLATFORM_DROPS,
    FaultKind.PLATFORM_SLOW,
    FaultKind.PLATFORM_LOSES,
)
# A caller of a router that is killed sees a broken connection and nothing
# else; of all other faults it must not.
KILLS_ROUTERS = (FaultKind.ROUTER_KILL, FaultKind.ROUTER_HERD)
