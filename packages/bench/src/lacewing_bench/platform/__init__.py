"""Stand in for the platform: object API, VM list and weight store."""

from lacewing_bench.platform._objects import ObjectKey
from lacewing_bench.platform._server import PlatformServer
from lacewing_bench.platform._service import PlatformService
from lacewing_bench.platform._settings import PlatformSettings
from lacewing_bench.platform._settings import WeightSettings
from lacewing_bench.platform._switches import Down
from lacewing_bench.platform._switches import FaultSwitches

__all__ = [
    'Down',
    'FaultSwitches',
    'ObjectKey',
    'PlatformServer',
    'PlatformService',
    'PlatformSettings',
    'WeightSettings',
]
