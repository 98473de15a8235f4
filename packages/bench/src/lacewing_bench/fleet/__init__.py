"""Start and stop a whole fleet of processes on one machine.

For the demo, the load tool and the tests only: in production nothing
starts processes.
"""

from lacewing_bench.fleet._deployment import Deployment
from lacewing_bench.fleet._deployment import deployment_named
from lacewing_bench.fleet._deployment import LAHORE
from lacewing_bench.fleet._deployment import MODEL_WEIGHTS
from lacewing_bench.fleet._deployment import MORAVIA
from lacewing_bench.fleet._deployment import TeamSize
from lacewing_bench.fleet._fleet import Fleet
from lacewing_bench.fleet._fleet import FleetOptions
from lacewing_bench.fleet._process import FleetError

__all__ = [
    'LAHORE',
    'MODEL_WEIGHTS',
    'MORAVIA',
    'Deployment',
    'Fleet',
    'FleetError',
    'FleetOptions',
    'TeamSize',
    'deployment_named',
]
