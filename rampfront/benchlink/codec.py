"""Translates the protocol's names and units. Times are milliseconds on the wire, and whole nanoseconds in the code."""

from .. import terms as t

ENDINGS = {
    "done": t.DONE,
    "err": t.ERROR,
    "busy": t.NOT_ACCEPTED,
    "econnrefused": t.CONNECT_FAILED,
    "etimedout": t.TIMED_OUT,
    "econnreset": t.CONNECTION_LOST,
    "ecanceled": t.CANCELLED,
    "skipped": t.NOT_SENT,
}
STATES = {"healthy": t.UP, "cordoned": t.DRAINING, "deregistered": t.REMOVED}


def to_ms(ns):
    """Converts ns to ms."""
    return ns / 1e6
