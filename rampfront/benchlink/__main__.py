"""`python -m rampfront.benchlink`: plays the wire on standard input and output until input ends."""

import sys

from .host import Host, Malformed


def main():
    try:
        Host(sys.stdout.buffer).serve(sys.stdin.buffer)
    except Malformed as trouble:
        print(f"rampfront: {trouble}", file=sys.stderr)
        return 2
    except (KeyboardInterrupt, BrokenPipeError):
        return 1
    return 0


sys.exit(main())
