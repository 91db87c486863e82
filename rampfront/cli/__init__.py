"""The command line. `python -m rampfront` without arguments starts an edge node; with arguments it calls `main`.

Exit codes: 0 success; 1 failure while running; 2 invalid arguments or an invalid file; 3 a run that must not be
reported since the load tool fell behind. The edge node never imports the laboratory: each command imports what it needs
when it is called.
"""

from collections.abc import Sequence

import typer

from .. import __doc__ as description
from . import journal, lab, lab_system, node, report

app = typer.Typer(help=description, no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False)
lab.app.add_typer(lab_system.app, name="system")
app.add_typer(node.app)
app.add_typer(lab.app, name="lab")
app.add_typer(lab.load_app)
app.add_typer(report.app, name="report")
app.add_typer(journal.app, name="journal")


def main(args: Sequence[str] | None = None) -> None:
    """Runs the command in `args`, by default the arguments of the process."""
    app(args=args, prog_name="rampfront")
