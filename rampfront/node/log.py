"""The log of a node's process: lines for changes of state on standard error, counters of all else.

The events are declared in `log_events.py`, the counters in `metrics.py`. Lines are written by `picologging`, which does
so in less processor time than the standard library's logging, and has the same interface. It has no wheel for Python
3.13 and later; there the standard library's serves.
"""

import sys
from importlib import import_module
from types import ModuleType
from typing import TextIO

from ..net.event_log import EventLog
from .metrics import COUNTERS

RATE_LIMIT_NS = 10 * 10**9  # one line an event and party
LIBRARIES = "picologging", "logging"  # the first that is installed is used


def logging_library() -> ModuleType:
    """The library that writes lines: both have the classes that are used here."""
    for name in LIBRARIES:
        try:
            return import_module(name)
        except ImportError:
            continue
    raise ImportError(f"none of {LIBRARIES} is installed")


class Log(EventLog):
    """Lines on standard error, `name event key=value ...`."""

    def __init__(self, name: str, out: TextIO | None = None) -> None:
        """`name`: of the node; `out`: where lines go in place of standard error."""
        super().__init__(name, RATE_LIMIT_NS, COUNTERS)
        library = logging_library()
        self._logger = library.Logger(name, library.INFO)
        handler = library.StreamHandler(out or sys.stderr)
        handler.setFormatter(library.Formatter("%(name)s %(message)s"))
        self._logger.addHandler(handler)

    def record(self, event: str, **more: object) -> None:
        """Write a line."""
        self._logger.info(event + "".join([f" {key}={value}" for key, value in more.items()]))
