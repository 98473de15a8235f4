"""Prepare and clean up each scenario."""

from contextlib import ExitStack

from behave.model import Scenario
from behave.runner import Context


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Give the scenario a stack of things to close."""
    context.resources = ExitStack()


def after_scenario(context: Context, scenario: Scenario) -> None:
    """Close what the scenario opened, last first."""
    context.resources.close()
