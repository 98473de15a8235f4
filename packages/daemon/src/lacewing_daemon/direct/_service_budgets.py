"""Hold the retry budget of each service."""

from lacewing_daemon.direct._budget import RetryBudget
from lacewing_daemon.direct._settings import Bounds


class ServiceBudgets:
    """Create the budgets of services; all have the same bounds."""

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        self._budgets: dict[str, RetryBudget] = {}

    def budget(self, service: str) -> RetryBudget:
        """Return the budget of a service; create it at the first call."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                self._bounds.repeat_ratio,
                self._bounds.repeat_slack,
                self._bounds.repeat_window_s,
            )
            self._budgets[service] = budget
        return budget

    def set_bounds(self, bounds: Bounds) -> None:
        """Apply new bounds; what has been counted stays."""
        self._bounds = bounds
        for budget in self._budgets.values():
            budget.set_bounds(
                bounds.repeat_ratio,
                bounds.repeat_slack,
                bounds.repeat_window_s,
            )
