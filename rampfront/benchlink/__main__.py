"""`python -m rampfront.benchlink`: the simulator's protocol on standard input and output, until the input ends."""

import sys

from .host import Host, MalformedInputError


def main():
    """Runs until the input ends. Returns the exit status: 2 if the input was malformed, 1 if interrupted, else 0."""
    try:
        Host(sys.stdout.buffer).serve(sys.stdin.buffer)
    except MalformedInputError as error:
        print(f"rampfront: {error}", file=sys.stderr)
        return 2
    except (KeyboardInterrupt, BrokenPipeError):
        return 1
    return 0


sys.exit(main())
