"""The list of commands: `python -m rampfront system ...`, or `python -m rampfront.operator_cli ...`."""

import click

from . import configuration_commands, start_commands, view_commands, zone_commands
from .snapshot_commands import snapshot


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """The system as a whole: run a small one, give it configurations, see its status and why requests are handled so.

    Exit codes: 0 done; 1 rejected by the system; 2 invalid arguments or file; 3 no node gave a clear answer.
    """


for _command in (
    configuration_commands.validate,
    configuration_commands.apply,
    configuration_commands.show,
    configuration_commands.diff,
    zone_commands.evacuate,
    zone_commands.take_back,
    view_commands.servers,
    view_commands.nodes,
    view_commands.status,
    view_commands.quotas,
    view_commands.explain_request,
    start_commands.up,
    start_commands.completion,
    snapshot,
):
    main.add_command(_command)
