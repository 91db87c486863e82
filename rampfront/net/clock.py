"""The clock of a process: the wall clock at start, counted on monotonically."""

import time


class Clock:
    """Gives the time in ns since the epoch.

    All machines share the wall clock, but it may be set back. This one is the wall clock when it is made and never goes
    back afterwards.

    Attributes:
        offset_ns: the wall clock less the monotonic one.
    """

    def __init__(self) -> None:
        """Reads the wall clock."""
        self.offset_ns = time.time_ns() - time.monotonic_ns()

    def __call__(self) -> int:
        """The time now, in ns."""
        return self.offset_ns + time.monotonic_ns()
