"""Compare two values of an entry by the order of their writes."""

from lacewing_daemon.direct._routing_config import RoutingConfig
from lacewing_daemon.direct._upstream import ReleasedWeights
from lacewing_daemon.direct._upstream import Upstream


def is_older_routing_config(
    value: RoutingConfig, known: RoutingConfig
) -> bool:
    """Return whether a configuration precedes the known one."""
    return value.version < known.version


def is_older_release(value: ReleasedWeights, known: ReleasedWeights) -> bool:
    """Return whether a version was released before the known one."""
    return value.version < known.version


def is_older_upstream(value: Upstream, known: Upstream) -> bool:
    """Return whether an upstream wrote an entry before the known one.

    An incarnation starts to leave only once, and its weights go back to an
    earlier version only by a delayed order.
    """
    if value.started_ms != known.started_ms:
        return value.started_ms < known.started_ms
    if value.leaving != known.leaving:
        return known.leaving
    for model, version in value.weights.items():
        if version < known.weights.get(model, 0):
            return True
    return False
