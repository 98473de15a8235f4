"""Bound teams over all routers without a message for each request."""

from lacewing_daemon.limits._holder import LimitHolder
from lacewing_daemon.limits._limiter import TeamLimiter
from lacewing_daemon.limits._shares import BUCKETS
from lacewing_daemon.limits._shares import team_bucket

__all__ = ['BUCKETS', 'LimitHolder', 'TeamLimiter', 'team_bucket']
