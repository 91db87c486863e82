"""The log of a node's process: lines for changes of state on standard error, counters of all else.

The events are declared in `log_events.py`, the counters in `metrics.py`. Lines are written by `picologging`, which does
so in less processor time than the standard library's logging.
"""

import sys
from typing import TextIO

import picologging

from ..net.event_log import EventLog
from .metrics import COUNTERS

RATE_LIMIT_NS = 10 * 10**9  # one line an event and party


class Log(EventLog):
    """Lines on standard error, `name event key=value ...`."""

    def __init__(self, name: str, out: TextIO | None = None) -> None:
        """`name`: of the node; `out`: where lines go in place of standard error."""
        super().__init__(name, RATE_LIMIT_NS, COUNTERS)
        self._logger = picologging.Logger(name, picologging.INFO)
        handler = picologging.StreamHandler(out or sys.stderr)
        handler.setFormatter(picologging.Formatter("%(name)s %(message)s"))
        self._logger.addHandler(handler)

    def record(self, event: str, **more: object) -> None:
        """Write a line."""
        self._logger.info(event + "".join([f" {key}={value}" for key, value in more.items()]))
