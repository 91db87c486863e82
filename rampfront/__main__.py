"""`python -m rampfront` starts an edge node; with arguments it runs the command line (`cli/`), and with `system` as the
first argument the operators' command line of the system (`operator_cli/`).

Each is imported only when it is used, since they need different libraries.
"""

import sys


def main() -> int | None:
    """Runs the program that the arguments select; returns its exit code."""
    if sys.argv[1:2] == ["system"]:
        from .operator_cli.__main__ import run

        return run(sys.argv[2:], "python -m rampfront system" if __name__ == "__main__" else "rampfront system")
    if len(sys.argv) > 1:
        from .cli import main as command_line

        return command_line()
    from .edge.node import serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
