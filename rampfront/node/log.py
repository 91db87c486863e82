"""The log of a node's process: changes of state as lines on standard error, counters for everything else.

The events are declared in `log_events.py`, the counters in `metrics.py`. Lines are written by `picologging`, which has
the interface of the standard library's `logging` and needs less processor time. It has no wheel for Python 3.13 and
later, where the standard library is used instead.
"""

import sys
from importlib import import_module
from types import ModuleType
from typing import TextIO

from ..net.event_log import EventLog
from .metrics import COUNTERS

RATE_LIMIT_NS = 10 * 10**9  # one line per event and party
LIBRARIES = "picologging", "logging"  # the first that is installed is used


def logging_library() -> ModuleType:
    """Return the logging library to use. Both libraries have the classes that are used here."""
    for name in LIBRARIES:
        try:
            return import_module(name)
        except ImportError:
            continue
    raise ImportError(f"none of {LIBRARIES} is installed")


class Log(EventLog):
    """Lines on standard error, `name event key=value ...`."""

    def __init__(self, name: str, out: TextIO | None = None) -> None:
        """`name`: of the node; `out`: the stream for lines, by default standard error."""
        super().__init__(name, RATE_LIMIT_NS, COUNTERS)
        library = logging_library()
        self._logger = library.Logger(name, library.INFO)
        handler = library.StreamHandler(out or sys.stderr)
        handler.setFormatter(library.Formatter("%(name)s %(message)s"))
        self._logger.addHandler(handler)

    def record(self, event: str, **more: object) -> None:
        """Write a line."""
        self._logger.info(event + "".join([f" {key}={value}" for key, value in more.items()]))
