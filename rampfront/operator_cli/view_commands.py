"""Commands that print the nodes' views: servers, nodes, quotas, the system's status, and how a request is handled."""

import asyncio
import sys

import click
from result import Ok

from ..settings import configuration_reader
from .control_answers import Json
from .errors import InvalidInputError, UsageError
from .exit_codes import ExitCode
from .explanation import NodeView, explain, split_url
from .explanation_text import format_explanation
from .formatting import format_duration, format_table, yes_or_no
from .session import Session, with_session
from .status_text import format_status
from .system_status import collect

SERVER_HEADINGS = ("ID", "SERVICE", "ADDRESS", "ZONE", "SLOTS", "STATE", "COLD", "LINKS")
NODE_HEADINGS = ("NODE", "ZONE", "FRONT", "CONTROL", "READY")
QUOTA_HEADINGS = ("TENANT", "PER S", "BURST", "LEFT", "ASKED/S", "HERE", "ELSEWHERE")


def _staleness_warning(view: Json) -> str:
    """Returns a warning for a node's view that may be stale; empty while the node is in touch with the core."""
    out_of_touch_ms = view.get("OutOfTouchMs")  # nodes of earlier versions do not report it
    if out_of_touch_ms is None:
        return ""
    return f"\n! this node is out of touch with the core for {format_duration(out_of_touch_ms)}: its view may be stale"


@click.command()
@click.option("--of", default="", help="Of this service alone.")
@with_session
def servers(session: Session, of: str) -> None:
    """Print the platform's servers as one node knows them."""
    query = {"of": of} if of else {}
    rows, last_page = session.read_list("servers.read", "Servers", query)
    text = (
        f"{format_table(SERVER_HEADINGS, [_server_cells(row) for row in rows])}\n\n"
        f"{len(rows)} servers; the list last changed {format_duration(last_page['ChangedMs'])} ago"
        f"{_staleness_warning(last_page)}"
    )
    session.print({"Servers": rows, "ChangedMs": last_page["ChangedMs"]}, text)


def _server_cells(row: Json) -> tuple[object, ...]:
    return (
        row["Id"],
        row["Service"],
        row["Address"],
        row["Zone"],
        row["Capacity"],
        row["State"] + (", zone emptied" if row["Emptied"] else ""),
        format_duration(row["ColdMs"]) if row["ColdMs"] else "-",
        row["Links"],
    )


@click.command()
@with_session
def nodes(session: Session) -> None:
    """Print the nodes of the system as one of them knows them."""
    rows, last_page = session.read_list("nodes.read", "Nodes")
    cells = [(row["Name"], row["Zone"], row["Front"] or "-", row["Control"], yes_or_no(row["Ready"])) for row in rows]
    session.print({"Nodes": rows}, format_table(NODE_HEADINGS, cells) + _staleness_warning(last_page))


@click.command()
@with_session
def quotas(session: Session) -> None:
    """Print the tenants that have a quota, what is left of it, and the demand, as one node knows them."""
    rows, last_page = session.read_list("quotas.read", "Quotas")
    table = format_table(QUOTA_HEADINGS, [_quota_cells(row) for row in rows])
    if last_page["Alone"]:
        alone = "\n! no other node answers this node's counts: it uses its even part of each quota"
    else:
        alone = ""
    session.print(
        {"Quotas": rows, "Holder": last_page["Holder"], "Alone": last_page["Alone"]},
        f"{table}\n\ncounts are held by {last_page['Holder'] or 'nobody'}{alone}{_staleness_warning(last_page)}",
    )


def _quota_cells(row: Json) -> tuple[object, ...]:
    return (
        row["Tenant"],
        f"{row['PerS']:g}",
        f"{row['Burst']:g}",
        f"{row['Left']:g}",
        f"{row['AskedPerS']:g}",
        row["Own"],
        row["Others"],
    )


@click.command()
@click.option("--watch", "-w", is_flag=True, help="Repeat until Ctrl-C.")
@click.option(
    "--every", type=click.FloatRange(0.1, 3600), default=1.0, show_default=True, help="Seconds between repetitions."
)
@click.option("--rounds", type=click.IntRange(min=1), help="With --watch: end after so many repetitions.")
@click.option("--check", is_flag=True, help="Exit code 1 if there is any problem.")
@with_session
def status(session: Session, watch: bool, every: float, rounds: int | None, check: bool) -> None:
    """Print every node, the core, versions, leases and zones, and below them the problems, the most severe first."""
    try:
        repetitions = 1
        while watch and repetitions != rounds:
            _print_status(session, is_watching=True)
            asyncio.run(session.client.sleep(every))
            repetitions += 1
        found = _print_status(session, is_watching=watch, is_last=True)
    except KeyboardInterrupt:
        return
    raise click.exceptions.Exit(ExitCode.REJECTED if check and found["Amiss"] else ExitCode.DONE)


def _print_status(session: Session, is_watching: bool, is_last: bool = False) -> Json:
    """Calls all nodes and prints their status. If no node answers, a watch continues, since nodes may come back; the
    last repetition ends the command."""
    outcome = asyncio.run(collect(session.client))
    if not isinstance(outcome, Ok) and is_last:
        raise session.error_of(outcome.err_value, "state.read")
    if is_watching and not session.as_json and sys.stdout.isatty():
        click.clear()
    if not isinstance(outcome, Ok):
        click.echo(f"rampfront: {outcome.err_value}", err=True)
        return {}
    found = outcome.ok_value
    session.print(found, format_status(found), None if is_watching else 1)  # a watch prints one line per repetition
    return found


@click.command("explain")
@click.argument("url")
@click.option("--key", default="", help="The tenant's API key, as in Authorization: Bearer KEY.")
@with_session
def explain_request(session: Session, url: str, key: str) -> None:
    """Print which route, tenant, quota, services and servers a request for URL would meet, and why. None is sent."""
    try:
        split_url(url)
    except InvalidInputError as error:
        raise UsageError(str(error)) from None
    configuration = configuration_reader.read(session.required_configuration()).unwrap()
    state = session.call("state.read").document
    server_rows, _ = session.read_list("servers.read", "Servers")
    quota_rows, _ = session.read_list("quotas.read", "Quotas")
    explanation = explain(configuration, NodeView(state, server_rows, quota_rows), url, key)
    session.print(explanation, format_explanation(explanation))
