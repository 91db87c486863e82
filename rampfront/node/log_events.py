"""The events of the log of a node's process, declared in one place: name, level, fields, meaning.

`docs/` contains this table, and a test compares the two. Events of the shared packages (`net/`, `transport/`) are
included, because they appear in a node's log. A line is `NODE EVENT field=value ...` on standard error. Events with the
field `party` are rate limited to one line per event and party in ten seconds; `more` is the number of suppressed lines.
"""

from __future__ import annotations


class LogEvent(str):
    """The name of a log event, with its description. Not an enumeration, which would slow down each start."""

    level: str
    fields: tuple[str, ...]
    meaning: str

    def __new__(cls, name: str, level: str, fields: str, meaning: str) -> LogEvent:
        """`fields`: names separated by spaces."""
        event = super().__new__(cls, name)
        event.level = level
        event.fields = tuple(fields.split())
        event.meaning = meaning
        return event


# The process.
STARTED = LogEvent("started", "info", "zone disk first_boot", "the process serves; `disk`: it is a member of the core")
READY = LogEvent("ready", "info", "", "the node asks for clients")
NOT_READY = LogEvent("not ready", "warning", "", "the node asks for no more clients: no lease, no server, or it ends")
SHUTDOWN_STARTED = LogEvent("shutting down", "info", "", "SIGTERM came: clients are served on, then the process ends")
TOTALS = LogEvent("totals", "info", "why", "every counter, on SIGUSR1 and at the end")
REFUSAL = LogEvent(
    "refusal",
    "info",
    "try attempts age_ms",
    "with `totals`: a 503 to a request that had been written to servers; `attempts`: server/connection:ground of each",
)
INTERNAL_ERROR = LogEvent(
    "internal error", "error", "party error", "a defect in an operator's call (`party`: its path)"
)

# Settings and state.
SETTINGS_RELOADED = LogEvent("settings reloaded", "info", "", "the settings file was read again and taken over")
SETTINGS_REJECTED = LogEvent("settings rejected", "error", "error", "the settings file is faulty: nothing changed")
CONFIGURATION_APPLIED = LogEvent("configuration applied", "info", "revision", "a revision is in force at this node")
CONFIGURATION_UNREADABLE = LogEvent(
    "configuration unreadable",
    "error",
    "revision error",
    "this program can't read a revision that the core took: it is older than the configuration",
)
BODIES_TOO_LARGE = LogEvent(
    "bodies too large",
    "warning",
    "max_body_bytes memory_bytes",
    "a request of `MaxBodyBytes` finds no memory on this machine (`memory_bytes`: the most that one gets): it gets 503",
)
EVACUATIONS_CHANGED = LogEvent("evacuations changed", "info", "zones", "the zones that are evacuated from now on")

# The core.
LEADERSHIP_GAINED = LogEvent("leadership gained", "info", "term", "this node leads the core")
LEADERSHIP_LOST = LogEvent("leadership lost", "info", "term", "this node no longer leads the core")
CORE_MEMBERS_CHANGED = LogEvent("core members changed", "info", "members", "the members of the core from now on")
CORE_BELOW_TARGET = LogEvent(
    "core below target",
    "warning",
    "party wanted for_ms",
    "at the leader: fewer members answer than are wanted, for over 4 s; a successor is missing or is not taken in",
)
OUTSIDE_CORE = LogEvent(
    "outside the core",
    "warning",
    "party for_ms",
    "this node has a disk and has been no member of the core for over 4 s: it counts in no majority",
)
RECORD_UNREADABLE = LogEvent(
    "record unreadable",
    "error",
    "error",
    "the core's record on disk can't be read: the node serves clients, but is no member until it starts anew",
)
STORE_FAILED = LogEvent("store failed", "error", "party error", "the disk refused the core's record: tried again")
ORDER_GIVEN_UP = LogEvent(
    "order given up",
    "info",
    "party age_ms",
    "an order on a zone (`party`: its kind) was not carried out: its caller no longer waited for the answer, or may "
    "not have; `age_ms`: it was sent no longer ago",
)
ORDER_REPLY_DROPPED = LogEvent(
    "order reply dropped",
    "info",
    "party reason",
    "a reply to an operator's order came late, or from a node (`party`) that was not asked",
)

# Between nodes, and towards servers and the platform.
FRAME_INVALID = LogEvent(
    "invalid frame",
    "warning",
    "party error kind",
    "a frame of the node `party` is not valid: dropped; `kind` of the frame is left out where it is the core's",
)
ANSWER_INVALID = LogEvent("odd answer", "warning", "party why", "a server's answer is not valid (`party`: its id)")
CHECK_STATUS_UNKNOWN = LogEvent("odd status", "warning", "party status", "the status of a health check is unknown")
CHECK_REPORT_INVALID = LogEvent("odd report", "warning", "party", "a server's answer to a health check can't be read")
REQUEST_FAULT = LogEvent("fault", "error", "party trouble at", "a defect in the handling of a request")
SERVER_LIST_POLL_FAILED = LogEvent(
    "server list poll failed",
    "warning",
    "party error",
    "a round of the platform's list failed",
)


def all_events() -> dict[str, LogEvent]:
    """Return all events by the names of their constants, for the docs' table and for tests."""
    return {name: value for name, value in globals().items() if isinstance(value, LogEvent)}
