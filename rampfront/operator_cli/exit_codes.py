"""The exit codes of every command; scripts depend on them."""

from enum import IntEnum


class ExitCode(IntEnum):
    """How a command ended."""

    DONE = 0
    REJECTED = (
        1  # by the system; `diff --exit-code`: a difference; `status --check`: a problem; `up`: the system failed
    )
    USAGE = 2  # invalid arguments or an invalid file
    NO_ANSWER = 3  # no node gave a definite answer; the message says whether an order may have been carried out
