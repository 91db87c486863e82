"""The operators' commands: `python -m rampfront system ...`, or `python -m rampfront.operator_cli ...`.

Exit codes: 0 done; 1 refused by the system, or it does not stay up (`up`); 2 wrong words, or a file that does not hold
what it should; 3 no node gives a clear answer. A command reads, asks and words; it decides nothing.
"""

import asyncio
import json
import sys
from pathlib import Path

import click

from ..settings import configuration_reader
from . import difference, survey
from . import explain as why
from .control_client import Refusal, place
from .frame import FILE, REFUSED, WRONG, Ended, checked, talks
from .snapshot import snapshot
from .spelling import Misused, spell, table, yes
from .start import completion, up


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
    _, data, configuration = checked(file)
    told = {
        "Revision": f"r{configuration.revision}",
        "Hosts": len(configuration.hosts),
        "Services": len(configuration.services),
        "Routes": sum(len(book.routes) for book in configuration.hosts.values()),
        "Tenants": len(configuration.customers_by_name),
        "Unused": difference.unused(data),
    }
    if as_json:
        return click.echo(json.dumps(told, indent=1))
    click.echo(
        f"{file}: good; {told['Revision']}, {told['Hosts']} hosts, {told['Routes']} routes, {told['Services']} "
        f"services, {told['Tenants']} tenants"
    )
    for path in told["Unused"]:
        click.echo(f"  note: nothing reads {path}; a slip, or meant for others")


@main.command()
@FILE
@talks
def apply(bridge, file):
    """Check a configuration and give it to the system; say which version holds then.

    Exit 1 if it changes nothing, as a higher version holds, or another body under the same one.
    """
    body, data, configuration = checked(file)
    told = bridge.give(body, data)
    bridge.say(
        {"Acknowledged": f"r{configuration.revision}", "Holds": f"r{configuration.revision}", "By": place(told.at)},
        f"r{configuration.revision} is acknowledged by {place(told.at)}, and holds",
    )


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
    _, data, configuration = checked(file)
    held = bridge.held()
    old = json.loads(held) if held else {}
    rows = difference.changes(old, data)
    was = old.get("Revision")
    lines = [difference.line(row) for row in rows]
    if was and configuration.revision <= int(was[1:]):
        lines.append(f"! {file} is r{configuration.revision} and {was} holds: applied, it changes nothing")
    bridge.say(
        {"Holds": was, "File": f"r{configuration.revision}", "Changes": rows},
        "\n".join([f"{was or 'nothing'} -> r{configuration.revision}", *lines]) if lines else f"{was}: no difference",
    )
    if rows and exit_code:
        raise click.exceptions.Exit(REFUSED)


# ---- zones


def evacuation(body: bytes) -> dict:
    """What an answer tells of the zone; nodes of before tell nothing."""
    try:
        told = json.loads(body)
    except ValueError:
        return {}
    return told if isinstance(told, dict) and {"Emptied", "Operators", "Repeated", "Returned"} <= told.keys() else {}


def zone_order(bridge, name, zone, done):
    found = asyncio.run(bridge.channel.call(name, of=zone))
    if found.is_err() and type(found.err_value) is Refusal and found.err_value.status == 400:
        known = asyncio.run(bridge.channel.call("state.read"))
        names = ", ".join(sorted(known.ok_value.said["Zones"])) if known.is_ok() else "not told"
        raise Ended(f"{found.err_value}\n  zones there are: {names}", REFUSED)
    heard = found.ok_value if found.is_ok() else bridge.fail(found.err_value, name)
    told = evacuation(heard.body)
    if name == "empty.finish" and told.get("Emptied"):
        done = f"stays emptied{survey.note(told)}"
    more = {"Evacuation": told} if told else {}
    bridge.say({"Zone": zone, "Order": name, "By": place(heard.at), **more}, f"{zone} {done}")


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


def caution(view: dict) -> str:
    """A line to stand below a node's view that may be old; empty while the node is in touch with the core."""
    silent_ms = view.get("OutOfTouchMs")  # a node of an earlier version does not tell
    return (
        ""
        if silent_ms is None
        else f"\n! this node is out of touch with the core for {spell(silent_ms)}: it may be old"
    )


@main.command()
@click.option("--of", default="", help="Of one service alone.")
@talks
def servers(bridge, of):
    """The platform's servers as one node knows them."""
    rows, last = bridge.all("servers.read", "Servers", **({"of": of} if of else {}))
    text = table(
        ("ID", "SERVICE", "ADDRESS", "ZONE", "SLOTS", "STATE", "COLD", "LINKS"),
        [
            (
                r["Id"],
                r["Service"],
                r["Address"],
                r["Zone"],
                r["Capacity"],
                r["State"] + (", zone emptied" if r["Emptied"] else ""),
                spell(r["ColdMs"]) if r["ColdMs"] else "-",
                r["Links"],
            )
            for r in rows
        ],
    )
    bridge.say(
        {"Servers": rows, "ChangedMs": last["ChangedMs"]},
        f"{text}\n\n{len(rows)} servers; the list last changed {spell(last['ChangedMs'])} ago" + caution(last),
    )


@main.command()
@talks
def nodes(bridge):
    """The nodes of the system as one of them knows them."""
    rows, last = bridge.all("nodes.read", "Nodes")
    bridge.say(
        {"Nodes": rows},
        table(
            ("NODE", "ZONE", "FRONT", "CONTROL", "READY"),
            [(r["Name"], r["Zone"], r["Front"] or "-", r["Control"], yes(r["Ready"])) for r in rows],
        )
        + caution(last),
    )


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
    text = table(
        ("TENANT", "PER S", "BURST", "LEFT", "ASKED/S", "HERE", "ELSEWHERE"),
        [
            (
                r["Tenant"],
                f"{r['PerS']:g}",
                f"{r['Burst']:g}",
                f"{r['Left']:g}",
                f"{r['AskedPerS']:g}",
                r["Own"],
                r["Others"],
            )
            for r in rows
        ],
    )
    alone = "" if not last["Alone"] else "\n! nobody answers this node's counts: it goes by its even part of each quota"
    bridge.say(
        {"Quotas": rows, "Holder": last["Holder"], "Alone": last["Alone"]},
        f"{text}\n\ncounts are held by {last['Holder'] or 'nobody'}{alone}{caution(last)}",
    )


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
    configuration = configuration_reader.read(bridge.needed()).unwrap()
    state = bridge.call("state.read").said
    rows, _ = bridge.all("servers.read", "Servers")
    shares, _ = bridge.all("quotas.read", "Quotas")
    told = why.explain(configuration, state, rows, shares, url, key)
    bridge.say(told, why.text(told))


main.add_command(up)
main.add_command(completion)
main.add_command(snapshot)
