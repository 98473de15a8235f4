"""Print what the exchange costs, and what decisions gain by it."""

import argparse

from lacewing_daemon.direct.exchange._interval import FRAME_BYTES
from lacewing_daemon.direct.exchange._interval import MAX_PEERS

from lacewing_bench.exchange._cost import measure_memory
from lacewing_bench.exchange._cost import measure_messages
from lacewing_bench.exchange._cost import measure_transport
from lacewing_bench.exchange._cost import Shape
from lacewing_bench.exchange._model import Setup
from lacewing_bench.exchange._model import Simulation

_SHAPES = (
    Shape(4, 9, 12.5),
    Shape(22, 20, 7.0),
    Shape(25, 23, 8.5),
    Shape(33, 40, 12.0),
    Shape(330, 890, 23.0),
)
_MEMORY = ((24, 23), (MAX_PEERS, 890))
_LOADS = (0.7, 0.9, 1.3)
_ROUTERS = 22
_SMALL_BYTES = 60
_USUAL_BYTES = 140


def _print_cost() -> None:
    for size in (_SMALL_BYTES, _USUAL_BYTES):
        transport = measure_transport(size)
        print(
            f'message of {size} bytes: {transport.cpu_ms:.2f} ms of processor'
            f' time at both sides, {transport.wire_bytes:.0f} bytes'
        )
    print(
        'routers engines peers interval_s bytes bytes_full messages_per_s'
        ' bytes_per_s collect_ms apply_ms core_share'
    )
    for shape in _SHAPES:
        found = measure_messages(shape)
        peers = min(shape.routers - 1, MAX_PEERS)
        per_s = peers / found.interval_s
        busy_ms = per_s * (transport.cpu_ms + found.apply_ms)
        busy_ms += found.collect_ms / found.interval_s
        print(
            f'{shape.routers} {shape.engines} {peers}'
            f' {found.interval_s:.2f} {found.mean_bytes:.0f}'
            f' {found.full_bytes:.0f} {per_s:.0f}'
            f' {per_s * (found.mean_bytes + FRAME_BYTES):.0f}'
            f' {found.collect_ms:.2f} {found.apply_ms:.2f}'
            f' {busy_ms / 1000:.4f}'
        )
    for peers, engines in _MEMORY:
        held = measure_memory(peers, engines)
        print(f'memory of {peers} peers, {engines} engines: {held:.0f} KB')


def _print_model(seconds: float) -> None:
    print('load interval_s candidates in_time late refused late_p90_ms')
    for load in _LOADS:
        base = Setup(routers=_ROUTERS, load=load, seconds=seconds)
        setups = [base]
        for interval_s in (0.15, 0.3, 0.66, 1.0):
            for candidates in (3, base.candidates, base.engines):
                setups.append(
                    Setup(
                        routers=_ROUTERS,
                        load=load,
                        interval_s=interval_s,
                        candidates=candidates,
                        seconds=seconds,
                    )
                )
        for setup in setups:
            found = Simulation(setup).run()
            print(
                f'{load} {setup.interval_s} {setup.candidates}'
                f' {found.in_time:.3f} {found.late:.3f}'
                f' {found.refused:.3f} {found.late_p90_ms:.0f}',
                flush=True,
            )


def main() -> None:
    """Print the tables that the arguments ask for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('table', choices=('cost', 'model'))
    parser.add_argument('--seconds', type=float, default=10.0)
    args = parser.parse_args()
    if args.table == 'cost':
        _print_cost()
    else:
        _print_model(args.seconds)


if __name__ == '__main__':
    main()
