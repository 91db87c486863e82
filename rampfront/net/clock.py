"""The clock of a process: the wall clock at start, advanced by the monotonic clock."""

import time


class Clock:
    """Returns the time in ns since the Unix epoch.

    The wall clock is comparable between machines, but it may be set back. This clock equals the wall clock when it is
    created and never runs backwards afterwards.

    Attributes:
        offset_ns: the wall clock minus the monotonic clock.
    """

    def __init__(self) -> None:
        """Reads the wall clock."""
        self.offset_ns = time.time_ns() - time.monotonic_ns()

    def __call__(self) -> int:
        """Returns the current time in ns."""
        return self.offset_ns + time.monotonic_ns()
