"""Compare the start of the gateway daemon with that of a bare aiohttp server.

Prints the processor time until the server listens, in seconds, and the peak
memory by then, in MiB.
"""

import asyncio
import resource
import sys
import time
from typing import TYPE_CHECKING, Final

from bench.report import print_row
from cassialever.types import Seconds

if TYPE_CHECKING:
    from aiohttp import web

_KIB_PER_MIB: Final = 1024
_SETTINGS: Final = """{
    "instance": {
        "instance_id": "i",
        "data_centre": "d",
        "address": "127.0.0.1"
    },
    "listen": {
        "callers": "127.0.0.1:0",
        "readiness": "127.0.0.1:0",
        "internal_port": 0
    },
    "store": "127.0.0.1:9",
    "bounds": {
        "grace_s": 6,
        "retry_ratio": 0.2, "retry_window_s": 10, "retry_allowance": 60,
        "hold_max_ms": 10000
    }
}"""


async def _listen_bare() -> None:
    # Imported here, so that the measurement includes the import.
    from aiohttp import web

    runner = web.ServerRunner(web.Server(_unreachable_handler))
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    await runner.cleanup()


async def _listen_daemon() -> None:
    from cassialever.gateway.application import Gateway
    from cassialever.gateway.settings import parse_settings

    settings = parse_settings(_SETTINGS)
    gateway = Gateway(settings)
    await gateway.core.store.start()
    await gateway.server.start()
    await gateway.abort()


async def _unreachable_handler(_: 'web.BaseRequest') -> 'web.StreamResponse':
    """Placeholder for the request handler, which is never called."""
    raise NotImplementedError


def _measure_start(name: str) -> tuple[Seconds, float]:
    """Start one of the programs in this process.

    Returns the processor time and the peak memory, in MiB, of the whole
    process, so each program needs a process of its own.
    """
    listen = {'bare': _listen_bare, 'daemon': _listen_daemon}[name]
    asyncio.run(listen())
    memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / _KIB_PER_MIB
    return time.process_time(), memory


def main() -> None:
    """Measure the program named on the command line and print a row."""
    for name in sys.argv[1:]:
        cpu_time, memory = _measure_start(name)
        print_row((name, cpu_time, memory))


if __name__ == '__main__':
    main()
