"""`python -m rampfront.operator_cli`, the same as `python -m rampfront system`."""

import sys
from collections.abc import Sequence

from .exit_codes import ExitCode


def run(args: Sequence[str], name: str) -> int:
    """Runs one command and exits with its code. If a library is missing, prints its name and how to install it."""
    try:
        from .commands import main
        from .start_commands import COMPLETION_VARIABLE
    except ModuleNotFoundError as error:
        if (error.name or "").startswith("rampfront"):
            raise
        print(
            f"rampfront: {error.name} is not installed; the system's libraries come with\n"
            f"  python3 -m pip install --target target/deps -r requirements-system.txt\n"
            f"and are found with PYTHONPATH=target/deps",
            file=sys.stderr,
        )
        return ExitCode.USAGE
    main(list(args), prog_name=name, complete_var=COMPLETION_VARIABLE)  # ends the process
    return ExitCode.DONE


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:], "python -m rampfront.operator_cli"))
