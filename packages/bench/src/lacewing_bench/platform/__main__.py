"""Run the platform stand-in as a process."""

import asyncio
import json
import signal
from pathlib import Path

import fire
import msgspec

from lacewing_bench.platform._server import PlatformServer
from lacewing_bench.platform._settings import PlatformSettings


def main(config: str = '') -> None:
    """Serve until SIGTERM or SIGINT; ``config`` is a JSON file."""
    text = Path(config).read_bytes() if config else b'{}'
    settings = msgspec.json.decode(text, type=PlatformSettings)
    asyncio.run(_serve(settings))


async def _serve(settings: PlatformSettings) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    server = PlatformServer(settings)
    await server.start()
    listening = {
        'event': 'listening',
        'name': settings.name,
        'kind': 'platform',
        'address': server.address,
    }
    print(json.dumps(listening), flush=True)
    await stopping.wait()
    await server.close()


if __name__ == '__main__':
    fire.Fire(main)
