"""Describe an upstream as the platform lists it."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True)
class Upstream:
    """Hold one incarnation of an upstream.

    ``leaving``: it takes no new work. ``weights`` maps each model to the
    version of its weights that the upstream last reported.
    """

    upstream_id: str
    service: str
    address: str
    availability_zone: str
    slots: int
    leaving: bool
    weights: Mapping[str, int]


@dataclass(frozen=True)
class NamedWeights:
    """Hold the version of a model's weights that operators named last."""

    model: str
    version: int
