"""Commands that ask no node: a small system on this machine, and the shell's completion."""

import asyncio
import json
import os
import shlex
import signal
import sys
from pathlib import Path

import click

from .frame import REFUSED, WRONG, Ended, checked

COMPLETE = "_RAMPFRONT_SYSTEM_COMPLETE"  # the variable by which a shell asks for words


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell):
    """Print a function `rampfront-system` and its completion for SHELL, to be read by it at its start."""
    from click.shell_completion import get_completion_class

    name, root = "rampfront-system", str(Path(__file__).resolve().parents[2])
    paths = [root, *(os.path.abspath(part) for part in os.environ.get("PYTHONPATH", "").split(os.pathsep) if part)]
    command = f"env PYTHONPATH={shlex.quote(os.pathsep.join(dict.fromkeys(paths)))} {sys.executable} -m rampfront.operator_cli"
    source = get_completion_class(shell)(click.get_current_context().find_root().command, {}, name, COMPLETE).source()
    for asked in "$1", name:  # click's scripts ask the command by its name, which is a function here: what is behind it
        for before in f"{COMPLETE}={shell}_complete", "(commandline -t)":
            source = source.replace(f"{before} {asked}", f"{before} {command}")
    body = "$argv" if shell == "fish" else '"$@"'
    click.echo(f"function {name}; {command} {body}; end" if shell == "fish" else f"{name}() {{ {command} {body}; }}")
    click.echo(source)


@click.command()
@click.option("--nodes", "count", type=click.IntRange(1, 32), default=4, show_default=True, help="Pilots.")
@click.option(
    "--servers", "each", type=click.IntRange(1, 64), default=4, show_default=True, help="Stand-ins of a service."
)
@click.option("--base", default="127.0.0.11", show_default=True, help="Address of the first; the others follow.")
@click.option(
    "--config", "-c", "file", type=click.Path(exists=True, dir_okay=False), help="Instead of the one built in."
)
@click.option("--seconds", type=click.FloatRange(min=0.1), help="End after so long, counted from when it serves.")
@click.option(
    "--patience", type=click.FloatRange(min=1), default=60.0, show_default=True, help="Seconds it has to come up."
)
@click.option("--keep", type=click.Path(file_okay=False), help="Folder for settings, data and logs, kept at the end.")
@click.option("--json", "as_json", is_flag=True, help="Say where it stands as one line of JSON.")
def up(count, each, base, file, seconds, patience, keep, as_json):
    """Run a small system on loopback until Ctrl-C: pilots as processes, stand-ins for platform and servers.

    Says where to send a request. A pilot that ends is started again, as the platform does. Exit 1 if the system does
    not come up, or a pilot ends again and again.
    """
    import ipaddress

    from . import local_system

    try:
        ipaddress.IPv4Address(base) + count - 1
    except ValueError as trouble:
        raise Ended(f"--base: {trouble}; name an IPv4 address of this machine, as 127.0.0.11", WRONG) from None
    body = checked(file)[0] if file else None
    if keep:
        Path(keep).mkdir(parents=True, exist_ok=True)

    async def run():
        loop, ended = asyncio.get_running_loop(), asyncio.Event()
        for number in signal.SIGINT, signal.SIGTERM, signal.SIGHUP:
            loop.add_signal_handler(number, ended.set)
        slip = local_system.LocalSystem(loop, count, base, each, body, folder=keep)
        try:
            starting, asked = loop.create_task(slip.start(patience)), loop.create_task(ended.wait())
            await asyncio.wait((starting, asked), return_when=asyncio.FIRST_COMPLETED)
            if not starting.done():  # Ctrl-C while it comes up
                starting.cancel()
                await asyncio.gather(starting, return_exceptions=True)
                return
            starting.result()
            click.echo(json.dumps(slip.told()) if as_json else slip.greeting())
            sys.stdout.flush()
            await slip.watch(ended, seconds, lambda text: click.echo(text, err=True))
        finally:
            await slip.end()
            click.echo("ended", err=True)

    try:
        asyncio.run(run())
    except (local_system.Stranded, OSError) as trouble:
        raise Ended(f"up: {trouble}", REFUSED) from None
