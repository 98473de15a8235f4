"""Decide which worker holds which model, and bring workers to it."""

from lacewing_daemon.lease import Lease
from lacewing_daemon.lease import LeaseHeld
from lacewing_daemon.lease import LeaseNotHeld
from lacewing_daemon.placement._members import ServiceMembers
from lacewing_daemon.placement._order_client import OrderClient
from lacewing_daemon.placement._orders import Orders
from lacewing_daemon.placement._orders import OrderSettings
from lacewing_daemon.placement._placement import AgentSide
from lacewing_daemon.placement._placement import Placement
from lacewing_daemon.placement._plan_store import PlanStore
from lacewing_daemon.placement._planner import make_plan
from lacewing_daemon.placement._planner import PlanInput
from lacewing_daemon.placement._planner import PlanRules
from lacewing_daemon.placement._report_book import ReportBook
from lacewing_daemon.placement._reporter import Reporter
from lacewing_daemon.placement._reports import ModelDemand
from lacewing_daemon.placement._reports import WorkerReport

__all__ = [
    'AgentSide',
    'LeaseHeld',
    'Lease',
    'ModelDemand',
    'LeaseNotHeld',
    'OrderClient',
    'OrderSettings',
    'Orders',
    'Placement',
    'PlanInput',
    'PlanRules',
    'PlanStore',
    'ReportBook',
    'Reporter',
    'ServiceMembers',
    'WorkerReport',
    'make_plan',
]
