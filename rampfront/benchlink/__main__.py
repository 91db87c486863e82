"""`python -m rampfront.benchlink`: the simulator's protocol on standard input and output, until the input ends."""

import sys

from .host import Host, Malformed


def main():
    try:
        Host(sys.stdout.buffer).serve(sys.stdin.buffer)
    except Malformed as error:
        print(f"rampfront: {error}", file=sys.stderr)
        return 2
    except (KeyboardInterrupt, BrokenPipeError):
        return 1
    return 0


sys.exit(main())
