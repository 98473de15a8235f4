"""Weigh ways to name the part of prompts that crashes upstreams."""

from lacewing_bench.crash_parts._load import Load
from lacewing_bench.crash_parts._load import Outcome
from lacewing_bench.crash_parts._loads import WAVE_LOADS
from lacewing_bench.crash_parts._rules import RULES
from lacewing_bench.crash_parts._rules import USED
from lacewing_bench.crash_parts._simulation import play

__all__ = ['Load', 'Outcome', 'RULES', 'USED', 'WAVE_LOADS', 'play']
