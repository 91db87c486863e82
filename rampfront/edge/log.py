"""The log: one JSON line an event on standard error, and the counters of what is taken in, sent and answered.

It owns the counters and the record of what was lately said. It must never be called once a txn with a line to
write: what happens to txns is counted, and printed on request (SIGUSR1) and at exit.
"""

import sys
import time
from contextlib import suppress
from typing import Any, BinaryIO

import orjson
import structlog

from ..net.event_log import SHARED_COUNTERS, EventLog

COUNTED = (
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

EventDict = dict[str, Any]  # a line's fields, as structlog passes them on
LEVELS = ("debug", "info", "warning", "error")
# Which module an event is of, and its level; all others are `node`, `info`.
EVENTS = {
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
        self, name: str, quiet: int, out: BinaryIO | None = None, levels: dict[str, str] | None = None
    ) -> None:
        """`levels`: module to the least level that is written; the empty module stands for all others."""
        super().__init__(name, quiet, COUNTED)
        self.levels = levels or {"": "info"}
        self.logger = structlog.wrap_logger(
            structlog.BytesLogger(sys.stderr.buffer if out is None else out),
            processors=[self.dress, structlog.processors.JSONRenderer(serializer=orjson.dumps, default=str)],
            wrapper_class=structlog.BoundLogger,
        )

    def dress(self, logger: object, method: str, row: EventDict) -> EventDict:
        """The fields that every line has, in their order; drops what its module's level leaves out."""
        event = row.pop("event")
        module, level = EVENTS.get(event, ("node", "info"))
        if LEVELS.index(level) < LEVELS.index(self.levels.get(module, self.levels[""])):
            raise structlog.DropEvent
        return {"at": round(time.time(), 3), "node": self.name, "level": level, "event": event, **row}

    def record(self, event: str, **more: object) -> None:
        """Writes a line. Where nobody reads the log, txns go on."""
        with suppress(OSError):
            self.logger.msg(event, **more)
