"""The grounds for concluding that a submission was not run by any server.

A transaction may be answered with the promise that it has not run only if every one of its submissions ended on one of
these grounds. A submission that ended otherwise may have run.
"""

from enum import Enum

from .. import terms as t


class NonExecution(Enum):
    """The ground on which a submission counts as not run, and the outcome that the decision module is given for it."""

    NO_CONNECTION = "no_connection"  # the server is not up, or the limit of connections is reached
    CONNECT_FAILED = "connect_failed"  # the connect failed, so nothing was written
    CONNECT_TIMED_OUT = "connect_timed_out"  # the connect was abandoned, so nothing was written
    DELISTED = "delisted"  # the server was no longer up when the connect ended, so nothing was written
    EXPIRED = "expired"  # the time was over before the request was written
    REJECTED = "rejected"  # the response names the request, and states that it has not run
    REJECTED_UNNAMED = "rejected_unnamed"  # it names no request, but is the first response on its connection
    MISDIRECTED = "misdirected"  # another server has the address, and does not run the request

    @property
    def outcome(self) -> int:
        """The outcome of the submission, a constant of `terms.py`."""
        return t.CONNECT_FAILED if self in _CONNECT_GROUNDS else t.NOT_ACCEPTED

    @property
    def was_written(self) -> bool:
        """Whether the request was written to a connection, so that the conclusion relies on the server's response."""
        return self in _RESPONSE_GROUNDS


_CONNECT_GROUNDS = frozenset((NonExecution.CONNECT_FAILED, NonExecution.CONNECT_TIMED_OUT))
_RESPONSE_GROUNDS = frozenset((NonExecution.REJECTED, NonExecution.REJECTED_UNNAMED, NonExecution.MISDIRECTED))
