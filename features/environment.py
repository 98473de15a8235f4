"""Prepare and clean up each scenario."""

import gc
from contextlib import ExitStack

from behave.model import Scenario
from behave.runner import Context


def before_all(_context: Context) -> None:
    """Exclude objects created during startup from garbage collection.

    A full collection that traverses them stalls the routers and stand-ins in
    this process, for seconds on a busy machine, and requests then fail with
    503 or 504.
    """
    gc.collect()
    gc.freeze()


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Give the scenario a stack of things to close."""
    context.resources = ExitStack()


def after_scenario(context: Context, scenario: Scenario) -> None:
    """Close what the scenario opened, last first."""
    context.resources.close()
