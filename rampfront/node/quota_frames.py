"""The two frames that carry the exchange of quota counts between nodes.

The quota package defines the messages (`quota/messages.py`); a frame adds the kind by which it is dispatched. The
frames' short keys are defined only here.
"""

from ..quota.codec import WireMap
from ..transport.frames import Message

# Keys and kinds of the frames on the wire.
KIND = "k"
MESSAGE = "m"
QUOTA_ADD = "add"  # a proxy's counts, to the counter
QUOTA_SUM = "sum"  # the counter's totals, to a proxy


def quota_add(message: WireMap) -> Message:
    """Return the frame with a proxy's counts."""
    return {KIND: QUOTA_ADD, MESSAGE: message}


def quota_sum(message: WireMap) -> Message:
    """Return the frame with a counter's totals."""
    return {KIND: QUOTA_SUM, MESSAGE: message}
