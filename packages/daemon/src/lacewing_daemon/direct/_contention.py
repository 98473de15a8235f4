"""Tell which services share their machines or are short of capacity."""

from collections.abc import Iterable
from enum import Enum

from lacewing_common.log import get_log
from lacewing_common.log import Part

from lacewing_daemon.direct._metrics import CONTENDED

_log = get_log(Part.PLACEMENT)


class Contention(Enum):
    """Name when services count as contended.

    AUTO: once one of their upstreams reports the slowdown of its machine.
    """

    AUTO = 'auto'
    ON = 'on'
    OFF = 'off'


class ContendedServices:
    """Hold which services are contended; one that is remains so.

    Where machines are shared or capacity is limited, one figure for all
    engines of a service misleads decisions. Elsewhere it serves as well.
    """

    def __init__(self, contention: Contention) -> None:
        self._contention = contention
        self._contended: set[str] = set()

    def is_contended(self, service: str) -> bool:
        """Return whether a service is contended."""
        if self._contention is Contention.AUTO:
            return service in self._contended
        return self._contention is Contention.ON

    def add_services(self, services: Iterable[str]) -> None:
        """Report services of a configuration in the metrics."""
        for service in services:
            if self._contention is Contention.ON:
                self._report(service, 'the settings say so')
            elif service not in self._contended:
                CONTENDED.labels(service).set(0)

    def record_shared_machine(self, service: str) -> None:
        """Record that an upstream reports the slowdown of its machine."""
        if self._contention is Contention.AUTO:
            self._report(service, 'an upstream reports its slowdown')

    def _report(self, service: str, cause: str) -> None:
        if service in self._contended:
            return
        self._contended.add(service)
        CONTENDED.labels(service).set(1)
        _log.info('A service is contended.', service=service, cause=cause)
