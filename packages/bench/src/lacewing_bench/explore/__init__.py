"""Run the real protocol code through all orders of faults up to a depth."""

from lacewing_bench.explore._attempts import explore_attempts
from lacewing_bench.explore._claims import explore_claims
from lacewing_bench.explore._search import Findings

__all__ = ['Findings', 'explore_attempts', 'explore_claims']
