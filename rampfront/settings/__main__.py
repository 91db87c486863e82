"""`python -m rampfront.settings` prints the reference page, or checks a settings file or configuration before use."""

import sys
from pathlib import Path

import click

from . import configuration_reader, reference, settings_reader
from .errors import Fault


@click.group(invoke_without_command=True)
@click.pass_context
def main(context: click.Context) -> None:
    """Prints the reference of settings and configuration fields."""
    if context.invoked_subcommand is None:
        click.echo(reference.page(), nl=False)


@main.command()
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
@click.option("--settings", is_flag=True, help="The file holds a process's settings, not a configuration.")
def check(path: str, settings: bool) -> None:
    """Says whether a file can be read, or which field is at fault (exit code 1)."""
    fault = settings_reader.load(path).err() if settings else _configuration_fault(path)
    if fault:
        click.echo(f"{path}: {fault}", err=True)
        sys.exit(1)
    click.echo(f"{path}: good")


def _configuration_fault(path: str) -> Fault | None:
    return configuration_reader.read(Path(path).read_bytes()).err()


if __name__ == "__main__":
    main(prog_name="python -m rampfront.settings")
