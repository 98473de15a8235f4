"""Compare expected with observed first events in request logs."""

from lacewing_bench.calibration._sends import calibrate
from lacewing_bench.calibration._sends import Calibration
from lacewing_bench.calibration._sends import EngineErrors
from lacewing_bench.calibration._sends import ExpectedGroup
from lacewing_bench.calibration._sends import read_sends

__all__ = [
    'Calibration',
    'EngineErrors',
    'ExpectedGroup',
    'calibrate',
    'read_sends',
]
