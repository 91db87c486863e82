"""The operators' commands: `python -m rampfront system ...`, or `python -m rampfront.bridge ...`.

Exit codes: 0 done; 1 refused by the system, or it does not stay up (`up`); 2 wrong words, or a file that does not hold
what it should; 3 no node gives a clear answer. A command reads, asks and words; it decides nothing.
"""

import asyncio
import json
import os
import shlex
import signal
import sys
from functools import wraps
from pathlib import Path

import click

from ..chart import chart as charts
from ..chart.words import Unfit, place as address_of
from . import difference, explain as why, survey
from .channel import Channel, Refusal, place
from .words import Misused, spell, table, yes

REFUSED, WRONG, SILENT = 1, 2, 3
HINTS = {"config.replace": "send it again unchanged when a node answers: a version has one body for ever",
         "empty.start": "order it again: twice is once", "empty.finish": "order it again: twice is once"}
COMPLETE = "_RAMPFRONT_SYSTEM_COMPLETE"  # the variable by which a shell asks for words
OLD = "the nodes run a version without this call"


class Ended(click.ClickException):
    """An error with its exit code."""

    def __init__(self, text, code):
        super().__init__(text)
        self.exit_code = code

    def show(self, file=None):
        click.echo(f"rampfront: {self.message}", err=True)


class Addresses(click.ParamType):
    name = "host:port"

    def convert(self, value, parameter, context):
        try:
            return [address_of(part) for part in value.split(",") if part] if isinstance(value, str) else value
        except Unfit as odd:
            self.fail(f"{odd.why}; write 127.0.0.1:8381, as in ListenOn.Control", parameter, context)


def talks(command):
    """Options of every command that asks the nodes; the command gets `bridge`."""
    @click.option("--at", "at", type=Addresses(), multiple=True, envvar="RAMPFRONT_CONTROL", show_envvar=True,
                  help="Control address of a node; several are asked one after another.")
    @click.option("--within", type=click.FloatRange(0.2, 600), default=6.0, show_default=True, help="Seconds to go on for.")
    @click.option("--json", "as_json", is_flag=True, help="One JSON document instead of text.")
    @click.pass_context
    @wraps(command)
    def run(context, at, within, as_json, **words):
        known = [address for some in at for address in some]
        if not known:
            raise Ended("--at: missing; name a node's control address, --at host:port, or set RAMPFRONT_CONTROL", WRONG)
        return command(Bridge(Channel(known, within, **(context.obj or {})), as_json), **words)
    return run


class Bridge:
    """What a command works with: the channel to the nodes, and the way its findings are said."""

    def __init__(self, channel, as_json):
        self.channel, self.as_json = channel, as_json

    def say(self, data, text, indent=1):
        click.echo(json.dumps(data, indent=indent) if self.as_json else text)

    def run(self, work, name=""):
        """The value of a Result, or the end of the command."""
        found = asyncio.run(work)
        if found.is_ok():
            return found.ok_value
        return self.fail(found.err_value, name)

    def fail(self, trouble, name=""):
        if type(trouble) is Refusal:
            way = f"\n  {OLD}" if trouble.status == 404 and name.endswith(".read") and name != "config.read" else ""
            raise Ended(f"{trouble}{way}", REFUSED)
        way = HINTS.get(name) if trouble.may_have_run else None
        if name in HINTS:
            taken = "it may have been taken; " + way if way else "it was not taken"
            raise Ended(f"{trouble}\n  {taken}", SILENT)
        raise Ended(f"{trouble}\n  name other nodes with --at, or allow more time with --within", SILENT)

    def call(self, name, body=b"", **query):
        return self.run(self.channel.call(name, body, **query), name)

    def all(self, name, field, **query):
        return self.run(self.channel.all(name, field, **query), name)

    def held(self):
        """The newest configuration's body, or None if there is none."""
        found = asyncio.run(self.channel.call("config.read"))
        if found.is_ok():
            return found.ok_value.body
        if type(found.err_value) is Refusal and found.err_value.status == 404:
            return None
        return self.fail(found.err_value, "config.read")

    def needed(self):
        body = self.held()
        if body is None:
            raise Ended("no configuration yet: give the first one with apply FILE", REFUSED)
        return body


def checked(path):
    """(body, tables, chart) of a configuration's file; `-`: standard input."""
    body = sys.stdin.buffer.read() if str(path) == "-" else Path(path).read_bytes()
    found = charts.read(body)
    if found.is_err():
        fault = found.err_value
        way = ("; docs/system/reference.md tells what it may hold" if fault.field else "")
        raise Ended(f"{path}: {fault}{way}", WRONG)
    return body, json.loads(body), found.ok_value


FILE = click.argument("file", type=click.Path(exists=True, dir_okay=False, allow_dash=True))


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main():
    """The whole system: run a small one, give it configurations, see what it does and why.

    Exit codes: 0 done; 1 refused by the system; 2 wrong words or a faulty file; 3 no node gives a clear answer.
    """


# ---- configurations

@main.command()
@FILE
@click.option("--json", "as_json", is_flag=True, help="One JSON document instead of text.")
def validate(file, as_json):
    """Check a configuration without sending it. Exit 2 names the field at fault."""
    _, data, chart = checked(file)
    told = {"Revision": f"r{chart.revision}", "Hosts": len(chart.hosts), "Services": len(chart.services),
            "Routes": sum(len(book.routes) for book in chart.hosts.values()), "Tenants": len(chart.named),
            "Unused": difference.unused(data)}
    if as_json:
        return click.echo(json.dumps(told, indent=1))
    click.echo(f"{file}: good; {told['Revision']}, {told['Hosts']} hosts, {told['Routes']} routes, {told['Services']} "
               f"services, {told['Tenants']} tenants")
    for path in told["Unused"]:
        click.echo(f"  note: nothing reads {path}; a slip, or meant for others")


@main.command()
@FILE
@talks
def apply(bridge, file):
    """Check a configuration and give it to the system; say which version holds then.

    Exit 1 if it changes nothing, as a higher version holds, or another body under the same one.
    """
    body, data, chart = checked(file)
    told = bridge.call("config.replace", body)
    held = bridge.needed()
    holds = charts.read(held).map(lambda other: other.revision).unwrap_or(chart.revision)
    same = holds == chart.revision and json.loads(held) == data
    if holds < chart.revision:
        raise Ended(f"r{chart.revision} was acknowledged, and r{holds} is read back: this must not be; keep the logs", REFUSED)
    if not same and holds == chart.revision:
        raise Ended(f"r{chart.revision} holds with another body: it was given before, and a version keeps its body; raise "
                    f"Revision to r{holds + 1}", REFUSED)
    if not same:
        raise Ended(f"r{chart.revision} changes nothing: r{holds} holds; raise Revision to r{holds + 1} or above",
                    REFUSED)
    bridge.say({"Acknowledged": f"r{chart.revision}", "Holds": f"r{holds}", "By": place(told.at)},
               f"r{chart.revision} is acknowledged by {place(told.at)}, and holds")


@main.command()
@click.option("--out", "-o", type=click.Path(dir_okay=False, writable=True), help="Into a file, byte for byte.")
@talks
def show(bridge, out):
    """Print the newest configuration as it was given (its keys too), or write it to a file."""
    body = bridge.needed()
    if out:
        Path(out).write_bytes(body)
        return bridge.say({"Written": str(out), "Bytes": len(body)}, f"{out}: {len(body)} bytes")
    click.echo(json.dumps(json.loads(body), indent=1))


@main.command()
@FILE
@click.option("--exit-code", is_flag=True, help="Exit 1 if they differ.")
@talks
def diff(bridge, file, exit_code):
    """What would change if FILE were applied. Keys are counted, never shown."""
    _, data, chart = checked(file)
    held = bridge.held()
    old = json.loads(held) if held else {}
    rows = difference.changes(old, data)
    was = old.get("Revision")
    lines = [difference.line(row) for row in rows]
    if was and chart.revision <= int(was[1:]):
        lines.append(f"! {file} is r{chart.revision} and {was} holds: applied, it changes nothing")
    bridge.say({"Holds": was, "File": f"r{chart.revision}", "Changes": rows},
               "\n".join([f"{was or 'nothing'} -> r{chart.revision}", *lines]) if lines else f"{was}: no difference")
    if rows and exit_code:
        raise click.exceptions.Exit(REFUSED)


# ---- zones

def zone_order(bridge, name, zone, done):
    found = asyncio.run(bridge.channel.call(name, of=zone))
    if found.is_err() and type(found.err_value) is Refusal and found.err_value.status == 400:
        known = asyncio.run(bridge.channel.call("state.read"))
        names = ", ".join(sorted(known.ok_value.said["Zones"])) if known.is_ok() else "not told"
        raise Ended(f"{found.err_value}\n  zones there are: {names}", REFUSED)
    heard = found.ok_value if found.is_ok() else bridge.fail(found.err_value, name)
    bridge.say({"Zone": zone, "Order": name, "By": place(heard.at)}, f"{zone} {done}")


@main.command()
@click.argument("zone")
@talks
def evacuate(bridge, zone):
    """Send nothing more to the servers of ZONE. What runs there is finished; `return` takes it back."""
    zone_order(bridge, "empty.start", zone, "is emptied; its servers get nothing new")


@main.command("return")
@click.argument("zone")
@talks
def take_back(bridge, zone):
    """Send to the servers of ZONE again. They are held to be cold for the Warmup of their service."""
    zone_order(bridge, "empty.finish", zone, "is taken back; its servers count as cold for their Warmup")


# ---- what there is

@main.command()
@click.option("--of", default="", help="Of one service alone.")
@talks
def servers(bridge, of):
    """The platform's servers as one node knows them."""
    rows, last = bridge.all("servers.read", "Servers", **({"of": of} if of else {}))
    text = table(("ID", "SERVICE", "ADDRESS", "ZONE", "SLOTS", "STATE", "COLD", "LINKS"), [
        (r["Id"], r["Service"], r["Address"], r["Zone"], r["Capacity"],
         r["State"] + (", zone emptied" if r["Emptied"] else ""), spell(r["ColdMs"]) if r["ColdMs"] else "-", r["Links"])
        for r in rows])
    bridge.say({"Servers": rows, "ChangedMs": last["ChangedMs"]},
               f"{text}\n\n{len(rows)} servers; the list last changed {spell(last['ChangedMs'])} ago")


@main.command()
@talks
def nodes(bridge):
    """The nodes of the system as one of them knows them."""
    rows, _ = bridge.all("nodes.read", "Nodes")
    bridge.say({"Nodes": rows}, table(("NODE", "ZONE", "FRONT", "CONTROL", "READY"), [
        (r["Name"], r["Zone"], r["Front"] or "-", r["Control"], yes(r["Ready"])) for r in rows]))


@main.command()
@click.option("--watch", "-w", is_flag=True, help="Again and again, until Ctrl-C.")
@click.option("--every", type=click.FloatRange(0.1, 3600), default=1.0, show_default=True, help="Seconds between.")
@click.option("--rounds", type=click.IntRange(min=1), help="With --watch: end after so many.")
@click.option("--check", is_flag=True, help="Exit 1 if anything is amiss.")
@talks
def status(bridge, watch, every, rounds, check):
    """Every node, core, versions, leases, zones; and what is amiss, gravest first."""
    turn = 0
    try:
        while True:
            found = asyncio.run(survey.look(bridge.channel))
            turn += 1
            last = not watch or turn == rounds
            if found.is_err() and last:
                bridge.fail(found.err_value, "state.read")
            if watch and not bridge.as_json and sys.stdout.isatty():
                click.clear()
            if found.is_ok():
                bridge.say(found.ok_value, survey.text(found.ok_value), None if watch else 1)  # a line a round
            else:  # a watch goes on: the nodes may come back
                click.echo(f"rampfront: {found.err_value}", err=True)
            if last:
                raise click.exceptions.Exit(REFUSED if check and found.ok_value["Amiss"] else 0)
            asyncio.run(bridge.channel.sleep(every))
    except KeyboardInterrupt:
        return


@main.command()
@talks
def quotas(bridge):
    """Tenants with a quota: what is left of it, and what is asked, as one node knows it."""
    rows, last = bridge.all("quotas.read", "Quotas")
    text = table(("TENANT", "PER S", "BURST", "LEFT", "ASKED/S", "HERE", "ELSEWHERE"), [
        (r["Tenant"], f"{r['PerS']:g}", f"{r['Burst']:g}", f"{r['Left']:g}", f"{r['AskedPerS']:g}", r["Own"], r["Others"])
        for r in rows])
    alone = "" if not last["Alone"] else "\n! nobody answers this node's counts: it goes by its even part of each quota"
    bridge.say({"Quotas": rows, "Holder": last["Holder"], "Alone": last["Alone"]},
               f"{text}\n\ncounts are held by {last['Holder'] or 'nobody'}{alone}")


@main.command("explain")
@click.argument("url")
@click.option("--key", default="", help="The tenant's key, as in Authorization: Bearer KEY.")
@talks
def explain_command(bridge, url, key):
    """Which route, tenant, quota, services and servers a request for URL would meet, and why. Nothing is sent."""
    try:
        why.split(url)
    except Misused as trouble:
        raise Ended(str(trouble), WRONG) from None
    chart = charts.read(bridge.needed()).unwrap()
    state = bridge.call("state.read").said
    rows, _ = bridge.all("servers.read", "Servers")
    shares, _ = bridge.all("quotas.read", "Quotas")
    told = why.explain(chart, state, rows, shares, url, key)
    bridge.say(told, why.text(told))


@main.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell):
    """Print a function `rampfront-system` and its completion for SHELL, to be read by it at its start."""
    from click.shell_completion import get_completion_class
    name, root = "rampfront-system", str(Path(__file__).resolve().parents[2])
    paths = [root, *(os.path.abspath(part) for part in os.environ.get("PYTHONPATH", "").split(os.pathsep) if part)]
    command = f"env PYTHONPATH={shlex.quote(os.pathsep.join(dict.fromkeys(paths)))} {sys.executable} -m rampfront.bridge"
    source = get_completion_class(shell)(main, {}, name, COMPLETE).source()
    for asked in "$1", name:  # click's scripts ask the command by its name, which is a function here: what is behind it
        for before in f"{COMPLETE}={shell}_complete", "(commandline -t)":
            source = source.replace(f"{before} {asked}", f"{before} {command}")
    body = "$argv" if shell == "fish" else '"$@"'
    click.echo(f"function {name}; {command} {body}; end" if shell == "fish" else f"{name}() {{ {command} {body}; }}")
    click.echo(source)


# ---- a small system

@main.command()
@click.option("--nodes", "count", type=click.IntRange(1, 32), default=4, show_default=True, help="Pilots.")
@click.option("--servers", "each", type=click.IntRange(1, 64), default=4, show_default=True, help="Stand-ins of a service.")
@click.option("--base", default="127.0.0.11", show_default=True, help="Address of the first; the others follow.")
@click.option("--config", "-c", "file", type=click.Path(exists=True, dir_okay=False), help="Instead of the one built in.")
@click.option("--seconds", type=click.FloatRange(min=0.1), help="End after so long, counted from when it serves.")
@click.option("--patience", type=click.FloatRange(min=1), default=60.0, show_default=True, help="Seconds it has to come up.")
@click.option("--keep", type=click.Path(file_okay=False), help="Folder for settings, data and logs, kept at the end.")
@click.option("--json", "as_json", is_flag=True, help="Say where it stands as one line of JSON.")
def up(count, each, base, file, seconds, patience, keep, as_json):
    """Run a small system on loopback until Ctrl-C: pilots as processes, stand-ins for platform and servers.

    Says where to send a request. A pilot that ends is started again, as the platform does. Exit 1 if the system does
    not come up, or a pilot ends again and again.
    """
    import ipaddress

    from . import slipway
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
        slip = slipway.Slipway(loop, count, base, each, body, folder=keep)
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
    except (slipway.Stranded, OSError) as trouble:
        raise Ended(f"up: {trouble}", REFUSED) from None
