"""The edge node's log: one JSON line per event on standard error, and the counters of transactions.

Transactions are counted, not logged one by one. The counters are printed on SIGUSR1 and at exit. Events, their fields
and the counters are an interface for operators (`docs/logging.md`) and must not change.
"""

import sys
import time
from collections.abc import MutableMapping
from contextlib import suppress
from typing import Any, BinaryIO

import orjson
import structlog

from ..net.event_log import SHARED_COUNTERS, EventLog

COUNTERS = (
    *SHARED_COUNTERS,
    "adds",
    "adds_refused",
    "adds_timed_out",
    "counter_connects",
    "lists",
    "watches",
    "odd_answers",
    "faults",
    "counter_new",
    "counter_split",
    "counter_whole",
    "counter_lost",
    "counter_found",
    "storm_firsts",
    "storm_repeats",
    "storm_shed",
    "storm_spent",
    "storm_damped",
    "mqtt_clients",
    "mqtt_refused",
    "mqtt_malformed",
    "mqtt_publishes",
    "mqtt_repeats",
    "mqtt_strange",
    "mqtt_answers_dropped",
    "journal_records",
    "journal_writes",
    "journal_refused",
)

LEVELS = ("debug", "info", "warning", "error")
"""In order of increasing severity."""

OTHER_MODULES = ""
"""The key of the level for all modules without a level of their own."""

_TIME_DIGITS = 3  # milliseconds

_EventDict = MutableMapping[str, Any]  # a line's fields, as structlog passes them to processors


# Each event's module and level.
_OTHER_EVENTS = ("node", "info")
_EVENTS = {
    "counter": ("counter", "warning"),
    "counter lost": ("counter", "warning"),
    "counter refuses": ("counter", "error"),
    "watch lost": ("discovery", "warning"),
    "odd answer": ("upstream", "warning"),
    "odd status": ("upstream", "warning"),
    "odd report": ("upstream", "warning"),
    "fault": ("node", "error"),
    "configuration kept": ("node", "error"),
    "syslog": ("syslog", "info"),
    "syslog collector there": ("syslog", "info"),
    "syslog collector away": ("syslog", "warning"),
    "syslog messages dropped": ("syslog", "error"),
    "syslog spill": ("syslog", "error"),
    "syslog spill damaged": ("syslog", "error"),
    "journal": ("journal", "warning"),
    "journal read": ("journal", "info"),
    "journal damaged": ("journal", "error"),
}


class Log(EventLog):
    """Lines of JSON, filtered by module and level."""

    def __init__(
        self, name: str, quiet_ns: int, out: BinaryIO | None = None, levels: dict[str, str] | None = None
    ) -> None:
        """Starts with all counters at zero.

        Args:
            name: the node's name.
            quiet_ns: the minimum time between two rate-limited lines of one event about one subject.
            out: the stream that lines are written to; None for standard error.
            levels: the minimum level by module, including one for `OTHER_MODULES`; None for `info`.
        """
        super().__init__(name, quiet_ns, COUNTERS)
        self._levels = levels or {OTHER_MODULES: "info"}
        self._logger = structlog.wrap_logger(
            structlog.BytesLogger(sys.stderr.buffer if out is None else out),
            processors=[
                self._add_common_fields,
                structlog.processors.JSONRenderer(serializer=orjson.dumps, default=str),
            ],
            wrapper_class=structlog.BoundLogger,
        )

    def record(self, event: str, **fields: object) -> None:
        """Writes one line. Write errors are ignored, so that a broken log does not stop transactions."""
        with suppress(OSError):
            self._logger.msg(event, **fields)

    def _add_common_fields(self, logger: object, method: str, fields: _EventDict) -> _EventDict:
        """Adds the fields that every line starts with. Drops events below the level of their module."""
        event = fields.pop("event")
        module, level = _EVENTS.get(event, _OTHER_EVENTS)
        least_level = self._levels.get(module, self._levels[OTHER_MODULES])
        if LEVELS.index(level) < LEVELS.index(least_level):
            raise structlog.DropEvent
        return {"at": round(time.time(), _TIME_DIGITS), "node": self.name, "level": level, "event": event, **fields}
