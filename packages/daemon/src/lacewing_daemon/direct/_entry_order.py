"""Tell which of two values of an entry was written first."""

from lacewing_daemon.direct._routing_config import RoutingConfig
from lacewing_daemon.direct._upstream import ReleasedWeights
from lacewing_daemon.direct._upstream import Upstream


def is_older_routing_config(
    value: RoutingConfig, known: RoutingConfig
) -> bool:
    """Tell whether a configuration comes before the known one."""
    return value.version < known.version


def is_older_release(value: ReleasedWeights, known: ReleasedWeights) -> bool:
    """Tell whether a version was named before the known one."""
    return value.version < known.version


def is_older_upstream(value: Upstream, known: Upstream) -> bool:
    """Tell whether an upstream wrote an entry before the known one.

    It leaves only once, and its weights go back only by a late order.
    """
    if value.started_ms != known.started_ms:
        return value.started_ms < known.started_ms
    if value.leaving != known.leaving:
        return known.leaving
    for model, version in value.weights.items():
        if version < known.weights.get(model, 0):
            return True
    return False
