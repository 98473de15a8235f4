"""Describe the settings of the stand-in, read from JSON."""

import msgspec
from lacewing_common.store import Vm


class WeightSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Set the weight store: seconds a load, loads at full speed at once."""

    load_s: float = 0.4
    loads_at_once: int = 2


class PlatformSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Hold the settings of the stand-in; rates are in calls a second."""

    name: str = 'platform'
    listen: str = '127.0.0.1:0'
    writes_per_s: float = 300.0
    reads_per_s: float = 2000.0
    vm_lag_s: float = 5.0
    vms: tuple[Vm, ...] = ()
    weights: WeightSettings = WeightSettings()
