"""The system's log: lines for changes of state on standard error, counters of all else. House rule: `picologging`."""

import sys
from typing import TextIO

import picologging

from ..net.event_log import SHARED_COUNTERS, EventLog

COUNTED = (
    *SHARED_COUNTERS,
    "odd_answers",
    "faults",
    "frames_sent",
    "transfers_started",
    "frames_lost",
    "frames_replaced",
    "frames_invalid",
    "frames_truncated",
    "unknown_route",
    "unknown_key",
    "over_quota",
    "no_word",
    "no_server",
    "misplaced",
    "lists",
    "lists_failed",
    "orders",
    "orders_refused",
    "orders_repeated",
    "orders_busy",
    "orders_abandoned",
    "replies_unasked",
    "stores",
    "stores_failed",
)
QUIET = 10 * 10**9  # ns: one line an event and party


class Log(EventLog):
    """Lines on standard error, `name event key=value ...`."""

    def __init__(self, name: str, out: TextIO | None = None) -> None:
        """`out`: where lines go in place of standard error."""
        super().__init__(name, QUIET, COUNTED)
        self.logger = picologging.Logger(name, picologging.INFO)
        handler = picologging.StreamHandler(out or sys.stderr)
        handler.setFormatter(picologging.Formatter("%(name)s %(message)s"))
        self.logger.addHandler(handler)

    def record(self, event: str, **more: object) -> None:
        """Writes a line."""
        self.logger.info(event + "".join([f" {key}={value}" for key, value in more.items()]))
