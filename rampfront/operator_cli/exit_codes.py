"""The exit codes of every command; scripts depend on them."""

from enum import IntEnum


class ExitCode(IntEnum):
    """How a command ended."""

    DONE = 0
    REJECTED = 1  # by the system; `diff --exit-code`, `status --check`: something is found; `up`: it does not stay up
    USAGE = 2  # invalid arguments, or a file that does not contain what it should
    NO_ANSWER = 3  # no node gave a clear answer: an order may have been taken, which the message says
