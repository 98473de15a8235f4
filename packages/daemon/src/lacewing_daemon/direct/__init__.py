"""Route requests of callers to upstreams that run without agents."""

from lacewing_daemon.direct._call import CallerRequest
from lacewing_daemon.direct._call import Prompt
from lacewing_daemon.direct._call import PromptPart
from lacewing_daemon.direct._clock import process_start_s
from lacewing_daemon.direct._contention import Contention
from lacewing_daemon.direct._read_bounds import MAX_ORDER_ANSWER_BYTES
from lacewing_daemon.direct._read_bounds import MAX_REPORT_BYTES
from lacewing_daemon.direct._read_bounds import MAX_STORE_ANSWER_BYTES
from lacewing_daemon.direct._read_bounds import ReadSource
from lacewing_daemon.direct._read_bounds import record_cut
from lacewing_daemon.direct._router import DirectRouter
from lacewing_daemon.direct._routing_config import DEFAULT_HEAD_S
from lacewing_daemon.direct._routing_config import DEFAULT_HEADER_BYTES
from lacewing_daemon.direct._routing_config import Engine
from lacewing_daemon.direct._routing_config import KvStore
from lacewing_daemon.direct._routing_config import Limits
from lacewing_daemon.direct._routing_config import LimitUnit
from lacewing_daemon.direct._routing_config import Quota
from lacewing_daemon.direct._routing_config import Route
from lacewing_daemon.direct._routing_config import RoutingConfig
from lacewing_daemon.direct._routing_config import Service
from lacewing_daemon.direct._routing_config import Team
from lacewing_daemon.direct._routing_config import TrafficShare
from lacewing_daemon.direct._settings import decode_direct_settings
from lacewing_daemon.direct._settings import DirectSettings
from lacewing_daemon.direct._settings import read_direct_settings
from lacewing_daemon.direct._settings import read_settings_file
from lacewing_daemon.direct._site import Changes
from lacewing_daemon.direct._site import Collection
from lacewing_daemon.direct._site import Dispatch
from lacewing_daemon.direct._site import HistoryExpired
from lacewing_daemon.direct._site import Listing
from lacewing_daemon.direct._site import LoadOrder
from lacewing_daemon.direct._site import OrderVerdict
from lacewing_daemon.direct._site import ReplyHead
from lacewing_daemon.direct._site import Site
from lacewing_daemon.direct._site import SwitchMode
from lacewing_daemon.direct._site import Unstated
from lacewing_daemon.direct._site import UpstreamControl
from lacewing_daemon.direct._site import UpstreamLoad
from lacewing_daemon.direct._site import UpstreamReport
from lacewing_daemon.direct._site import Wire
from lacewing_daemon.direct._upstream import ReleasedWeights
from lacewing_daemon.direct._upstream import Upstream

__all__ = [
    'CallerRequest',
    'Changes',
    'Collection',
    'Contention',
    'DirectRouter',
    'DirectSettings',
    'DEFAULT_HEADER_BYTES',
    'DEFAULT_HEAD_S',
    'RoutingConfig',
    'Dispatch',
    'Engine',
    'HistoryExpired',
    'KvStore',
    'Limits',
    'LimitUnit',
    'Quota',
    'Listing',
    'LoadOrder',
    'MAX_ORDER_ANSWER_BYTES',
    'MAX_REPORT_BYTES',
    'MAX_STORE_ANSWER_BYTES',
    'ReadSource',
    'ReleasedWeights',
    'OrderVerdict',
    'Prompt',
    'PromptPart',
    'ReplyHead',
    'Route',
    'Service',
    'TrafficShare',
    'Site',
    'SwitchMode',
    'Team',
    'Unstated',
    'Upstream',
    'UpstreamControl',
    'UpstreamLoad',
    'UpstreamReport',
    'Wire',
    'decode_direct_settings',
    'process_start_s',
    'read_direct_settings',
    'read_settings_file',
    'record_cut',
]
