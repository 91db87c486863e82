"""`python -m rampfront.node`: runs one process of the system with the settings file at the path in RAMPFRONT_SETTINGS.

SIGTERM and SIGINT shut it down gracefully, with exit status 0. SIGHUP reads the settings again and applies the
platform's address, the seeds and new zones. SIGUSR1 prints the latest refusals and the counters. If the settings file
is invalid, the process prints the error on standard error and exits with status 2.
"""

from __future__ import annotations

import gc
import os
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from asyncio import AbstractEventLoop
    from collections.abc import Awaitable, Callable

    from ..net.startup_signals import StartupSignals
    from .node_process import NodeProcess

os.environ.setdefault("UV_USE_IO_URING", "0")  # must be set before the loop is created; some machines lack io_uring

DEFAULT_SETTINGS_PATH = "/etc/rampfront/local.json"
SEED_BYTES = 8
EXIT_OK = 0
EXIT_INVALID_SETTINGS = 2


def main(
    build: Callable[..., NodeProcess] | None = None,
    open_listeners: Callable[[NodeProcess], Awaitable[None]] | None = None,
) -> int:
    """Run a node until it shuts down, and return the exit status.

    The laboratory passes `build` and `open_listeners` to replace `build_node_process` and `open_listeners`. The imports
    are inside this function because they must follow the change of the environment above.
    """
    from ..net.startup_signals import StartupSignals

    startup_signals = StartupSignals()

    import uvloop
    from result import Err

    from ..settings import settings_reader
    from . import assembly, endpoints
    from .log import Log

    path = os.environ.get("RAMPFRONT_SETTINGS", DEFAULT_SETTINGS_PATH)
    found = settings_reader.load(path)
    if isinstance(found, Err):
        print(f"rampfront: {found.err_value}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    settings = found.ok_value
    loop = uvloop.new_event_loop()
    log = Log(settings.name)
    seed = int.from_bytes(os.urandom(SEED_BYTES), "big")
    node = (build or assembly.build_node_process)(loop, settings, log, seed)
    loop.run_until_complete((open_listeners or endpoints.open_listeners)(node))
    run_node(loop, node, path, startup_signals)
    return EXIT_OK


def run_node(loop: AbstractEventLoop, node: NodeProcess, settings_path: str, startup_signals: StartupSignals) -> None:
    """Start a node whose listeners are open, and return when it has shut down."""
    node.start()
    node.settings_reloader.watch(settings_path)
    gc.collect()
    gc.freeze()  # exempts the objects created at startup from garbage collection
    handle_signals(loop, node, settings_path)
    if startup_signals.reload_requested:
        node.settings_reloader.reload(settings_path)
    loop.run_forever()
    node.record_diagnostics("end")


def handle_signals(loop: AbstractEventLoop, node: NodeProcess, settings_path: str) -> None:
    """Connect the process' signals to their handlers."""
    import signal

    loop.add_signal_handler(signal.SIGTERM, node.shutdown.begin)
    loop.add_signal_handler(signal.SIGINT, node.shutdown.begin)
    loop.add_signal_handler(signal.SIGHUP, node.settings_reloader.reload, settings_path)
    loop.add_signal_handler(signal.SIGUSR1, node.record_diagnostics, "signal")


if __name__ == "__main__":
    code = main()
    sys.stderr.flush()
    os._exit(code)  # skips joining the disk thread, which may hang; all accepted requests have been answered
