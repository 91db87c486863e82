"""`python -m rampfront.bridge`, the same as `python -m rampfront system`."""

import sys

from .commands import COMPLETE, main

if __name__ == "__main__":
    sys.exit(main(prog_name="python -m rampfront.bridge", complete_var=COMPLETE))
