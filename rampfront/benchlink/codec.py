"""The wire's words and units against ours. Times on the wire are milliseconds, ours whole nanoseconds."""

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


def ms(nanos):
    return nanos / 1e6
