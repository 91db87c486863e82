"""Commands that check, apply, show and compare configurations."""

import json
from pathlib import Path

import click

from ..settings.configuration import Configuration
from .configuration_diff import changes, format_change, unused_fields
from .control_answers import Json, format_address
from .exit_codes import ExitCode
from .session import Session, configuration_file, json_option, read_configuration_file, with_session


@click.command()
@configuration_file
@json_option
def validate(file: str, as_json: bool) -> None:
    """Check a configuration without sending it. Exit code 2 comes with the path of the invalid field."""
    given = read_configuration_file(file)
    summary = _summarize(given.document, given.configuration)
    if as_json:
        click.echo(json.dumps(summary, indent=1))
        return
    click.echo(
        f"{file}: good; {summary['Revision']}, {summary['Hosts']} hosts, {summary['Routes']} routes, "
        f"{summary['Services']} services, {summary['Tenants']} tenants"
    )
    for path in summary["Unused"]:
        click.echo(f"  note: no part of the system reads {path}; it may be misspelled, or meant for other programs")


def _summarize(document: Json, configuration: Configuration) -> Json:
    return {
        "Revision": f"r{configuration.revision}",
        "Hosts": len(configuration.hosts),
        "Services": len(configuration.services),
        "Routes": sum(len(host_routes.routes) for host_routes in configuration.hosts.values()),
        "Tenants": len(configuration.customers_by_name),
        "Unused": unused_fields(document),
    }


@click.command()
@configuration_file
@with_session
def apply(session: Session, file: str) -> None:
    """Check a configuration, give it to the system, and print which version is in force then.

    Exit code 1 if it changes nothing: a higher version is in force, or another body under the same one.
    """
    given = read_configuration_file(file)
    answer = session.replace_configuration(given.body, given.document)
    node = format_address(answer.address)
    revision = f"r{given.configuration.revision}"
    session.print(
        {"Acknowledged": revision, "Holds": revision, "By": node},
        f"{revision} is acknowledged by {node}, and is in force",
    )


@click.command()
@click.option("--out", "-o", type=click.Path(dir_okay=False, writable=True), help="Write it to this file, unchanged.")
@with_session
def show(session: Session, out: str | None) -> None:
    """Print the newest configuration as it was given, API keys included, or write it to a file."""
    body = session.required_configuration()
    if out:
        Path(out).write_bytes(body)
        session.print({"Written": out, "Bytes": len(body)}, f"{out}: {len(body)} bytes")
        return
    click.echo(json.dumps(json.loads(body), indent=1))


@click.command()
@configuration_file
@click.option("--exit-code", is_flag=True, help="Exit code 1 if they differ.")
@with_session
def diff(session: Session, file: str, exit_code: bool) -> None:
    """Print what would change if FILE were applied. API keys are counted, never shown."""
    given = read_configuration_file(file)
    body = session.current_configuration()
    old = json.loads(body) if body else {}
    rows = changes(old, given.document)
    revision = f"r{given.configuration.revision}"
    current = old.get("Revision")
    lines = [format_change(row) for row in rows]
    if current and given.configuration.revision <= int(current[1:]):
        lines.append(f"! {file} is {revision} and {current} holds: applied, it changes nothing")
    text = "\n".join([f"{current or 'nothing'} -> {revision}", *lines]) if lines else f"{current}: no difference"
    session.print({"Holds": current, "File": revision, "Changes": rows}, text)
    if rows and exit_code:
        raise click.exceptions.Exit(ExitCode.REJECTED)
