"""The two frames that carry the exchange of quota counts between nodes.

What is in a message is the quota package's (`quota/messages.py`); a frame adds the kind by which it is dispatched. The
wire's short keys stand here alone.
"""

from collections.abc import Mapping
from typing import Any, TypeAlias

Frame: TypeAlias = Mapping[str, Any]  # a message as the transport carries it

# Keys and kinds of the frames, as they stand on the wire.
KIND = "k"
MESSAGE = "m"
QUOTA_ADD = "add"  # a proxy's counts, to the counter
QUOTA_SUM = "sum"  # the counter's totals, to a proxy


def quota_add(message: Mapping[str, Any]) -> Frame:
    """Return the frame with a proxy's counts."""
    return {KIND: QUOTA_ADD, MESSAGE: message}


def quota_sum(message: Mapping[str, Any]) -> Frame:
    """Return the frame with a counter's totals."""
    return {KIND: QUOTA_SUM, MESSAGE: message}
