"""Commands that do not call nodes: a small system on this machine, and shell completion."""

import asyncio
import ipaddress
import json
import os
import shlex
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING, TypedDict, Unpack

import click

from .errors import RejectedError, UsageError
from .session import read_configuration_file

if TYPE_CHECKING:
    from .local_system import LocalSystem

COMPLETION_VARIABLE = "_RAMPFRONT_SYSTEM_COMPLETE"  # environment variable with which a shell requests completions
FUNCTION_NAME = "rampfront-system"  # of the shell function that `completion` defines


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print a function `rampfront-system` and its completion for SHELL, to be sourced at its start."""
    from click.shell_completion import get_completion_class

    command = _program_command()
    completion_class = get_completion_class(shell)
    assert completion_class is not None
    root_command = click.get_current_context().find_root().command
    source = completion_class(root_command, {}, FUNCTION_NAME, COMPLETION_VARIABLE).source()
    # click's scripts call the command by its name, which is a shell function here; they need the command that it runs.
    for called in ("$1", FUNCTION_NAME):
        for before in (f"{COMPLETION_VARIABLE}={shell}_complete", "(commandline -t)"):
            source = source.replace(f"{before} {called}", f"{before} {command}")
    if shell == "fish":
        click.echo(f"function {FUNCTION_NAME}; {command} $argv; end")
    else:
        click.echo(f'{FUNCTION_NAME}() {{ {command} "$@"; }}')
    click.echo(source)


def _program_command() -> str:
    """Returns the command that starts this program from any working directory."""
    root = str(Path(__file__).resolve().parents[2])
    given = [os.path.abspath(part) for part in os.environ.get("PYTHONPATH", "").split(os.pathsep) if part]
    paths = os.pathsep.join(dict.fromkeys([root, *given]))
    return f"env PYTHONPATH={shlex.quote(paths)} {sys.executable} -m rampfront.operator_cli"


class UpOptions(TypedDict):
    """The options of `up`."""

    node_count: int
    servers_per_service: int
    base: str
    file: str | None
    seconds: float | None
    patience: float
    keep: str | None
    as_json: bool


@click.command()
@click.option(
    "--nodes", "node_count", type=click.IntRange(1, 32), default=4, show_default=True, help="Number of nodes."
)
@click.option(
    "--servers",
    "servers_per_service",
    type=click.IntRange(1, 64),
    default=4,
    show_default=True,
    help="Simulated servers of each service.",
)
@click.option(
    "--base", default="127.0.0.11", show_default=True, help="IP address of the first node; the others follow it."
)
@click.option(
    "--config",
    "-c",
    "file",
    type=click.Path(exists=True, dir_okay=False),
    help="First configuration, in place of the built-in one.",
)
@click.option("--seconds", type=click.FloatRange(min=0.1), help="End after so long, from when it is ready.")
@click.option(
    "--patience", type=click.FloatRange(min=1), default=60.0, show_default=True, help="Time-out for it to get ready, s."
)
@click.option("--keep", type=click.Path(file_okay=False), help="Folder for settings, data and logs, kept at the end.")
@click.option("--json", "as_json", is_flag=True, help="Print where it runs as one line of JSON.")
def up(**options: Unpack[UpOptions]) -> None:
    """Run a small system on loopback until Ctrl-C: nodes as processes, simulated platform and servers.

    Prints where to send a request. A node that ends is restarted, as the platform does. Exit code 1 if the system does
    not get ready, or a node ends again and again.
    """
    from .local_layout import LocalSystemError
    from .local_system import LocalSystem, SystemSize

    try:
        ipaddress.IPv4Address(options["base"]) + options["node_count"] - 1
    except ValueError as error:
        raise UsageError(f"--base: {error}; name an IPv4 address of this machine, such as 127.0.0.11") from None
    body = read_configuration_file(options["file"]).body if options["file"] else None
    if options["keep"]:
        Path(options["keep"]).mkdir(parents=True, exist_ok=True)
    size = SystemSize(options["node_count"], options["base"], options["servers_per_service"])
    try:
        with asyncio.Runner() as runner:
            system = LocalSystem(runner.get_loop(), size, body, folder=options["keep"])
            runner.run(_run_until_ended(system, options))
    except (LocalSystemError, OSError) as error:
        raise RejectedError(f"up: {error}") from None


async def _run_until_ended(system: "LocalSystem", options: UpOptions) -> None:
    """Starts the system, prints its addresses, and ends all its processes after a signal or `--seconds`."""
    loop = asyncio.get_running_loop()
    ended = asyncio.Event()
    for signal_number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        loop.add_signal_handler(signal_number, ended.set)
    try:
        if await _start_unless_ended(system, ended, options["patience"]):
            click.echo(json.dumps(system.describe()) if options["as_json"] else system.startup_message())
            sys.stdout.flush()
            await system.supervise(ended, options["seconds"], _print_error)
    finally:
        await system.end()
        click.echo("ended", err=True)


async def _start_unless_ended(system: "LocalSystem", ended: asyncio.Event, patience: float) -> bool:
    """Starts the system and returns True when it is ready, or False after a signal. Raises the errors of the start."""
    starting = asyncio.ensure_future(system.start(patience))
    waiting = asyncio.ensure_future(ended.wait())
    await asyncio.wait((starting, waiting), return_when=asyncio.FIRST_COMPLETED)
    if starting.done():
        starting.result()
        return True
    starting.cancel()
    await asyncio.gather(starting, return_exceptions=True)
    return False


def _print_error(text: str) -> None:
    click.echo(text, err=True)
