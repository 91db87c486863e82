"""The commands `snapshot ...`: save the state of a running system (its configuration and its evacuated zones) in one
file, check such a file, and restore it with the ordinary calls for operators."""

import asyncio
import json
from datetime import UTC, datetime
from http import HTTPStatus
from pathlib import Path

import click
from result import Ok

from ..settings import configuration_reader
from . import snapshot_file
from .control_answers import Json, Rejection, format_address
from .errors import RejectedError, UsageError
from .restore_plan import CurrentConfiguration, format_restore, plan_restore, with_revision
from .session import Session, configuration_file, json_option, with_session
from .snapshot_file import Snapshot
from .system_status import collect

MAX_READS = 5  # attempts to read a configuration and a status of the same version


@click.group()
def snapshot() -> None:
    """Save what the system has in force in one file; check such a file; restore it."""


@snapshot.command()
@click.argument("file", type=click.Path(dir_okay=False, writable=True))
@with_session
def save(session: Session, file: str) -> None:
    """Write the configuration and the evacuated zones into FILE. It contains API keys: its owner alone may read it."""
    body, status = _read_consistently(session)
    header = {
        "Revision": status["Revision"],
        "Step": max(report["Index"] for report in status["Nodes"] if report["Answers"]),
        "Emptied": status["Emptied"],
        "Zones": status["Zones"],
        "TakenAt": datetime.now(UTC).isoformat(timespec="seconds"),
    }
    raw = snapshot_file.pack(body, header)
    snapshot_file.unpack(raw).unwrap()
    snapshot_file.write(Path(file), raw)
    zones = ", ".join(status["Emptied"]) or "none"
    session.print(
        {"Written": file, "Bytes": len(raw), **header},
        f"{file}: {status['Revision']}, {len(body)} bytes as sent, zones emptied: {zones}",
    )


def _read_consistently(session: Session) -> tuple[bytes, Json]:
    """Returns the configuration's body and the system's status, of one version; ends the command if all reads differ.

    The body is read first, so a status that is read after it and has the same version belongs to the same state.
    """
    for _ in range(MAX_READS):
        body = session.required_configuration()
        status = session.run(collect(session.client), "state.read")
        if status["Leader"] is None:
            raise RejectedError(
                "no node that answers leads the core, so the state in force is not known: name others with --at"
            )
        revision = configuration_reader.read(body).map(lambda read: f"r{read.revision}").unwrap_or(None)
        status |= _confirmed_evacuations(session)
        if revision is not None and status["Revision"] == revision:
            return body, status
    raise RejectedError(
        f"the configuration changed during the reads ({revision}, then {status['Revision']}): save it again"
    )


def _confirmed_evacuations(session: Session) -> Json:
    """Returns the evacuated zones and the version of the configuration, as a majority of the core confirms them.

    A status is one node's view: if the leader changes at that moment, it may lack the newest evacuation. The result is
    empty for nodes of earlier versions, which do not have this call.
    """
    outcome = asyncio.run(session.client.call("evacuations.read"))
    if isinstance(outcome, Ok):
        document = outcome.ok_value.document
        return {"Revision": document["Revision"], "Emptied": document["Emptied"]}
    if isinstance(outcome.err_value, Rejection) and outcome.err_value.status == HTTPStatus.NOT_FOUND:
        return {}
    raise session.error_of(outcome.err_value, "evacuations.read")


@snapshot.command()
@configuration_file
@json_option
def verify(file: str, as_json: bool) -> None:
    """Check a snapshot without a system: checksum, configuration, zones. Exit code 2 comes with what is wrong."""
    saved = snapshot_file.load(Path(file))
    header = saved.header
    summary = {
        **header,
        "Tenants": len(saved.document.get("Customers") or ()),
        "Services": len(saved.document.get("Groups") or ()),
    }
    if as_json:
        click.echo(json.dumps(summary, indent=1))
        return
    click.echo(
        f"{file}: good; r{saved.revision} taken {header['TakenAt']} at step {header['Step']}, "
        f"{summary['Services']} services, {summary['Tenants']} tenants, "
        f"zones emptied: {', '.join(header['Emptied']) or 'none'}"
    )


@snapshot.command()
@configuration_file
@click.option("--dry-run", is_flag=True, help="Print what would be done, and change nothing.")
@click.option("--take-back", is_flag=True, help="Also take back zones that are evacuated now and were not then.")
@click.option("--only", type=click.Choice(["configuration", "zones"]), help="Restore this part alone.")
@with_session
def restore(session: Session, file: str, dry_run: bool, take_back: bool, only: str | None) -> None:
    """Give the system what FILE contains: zones first, then the configuration.

    Where the system has its version or a later one in force, the configuration is given under the next version: nothing
    goes back. Exit code 1 if another version is in force behind it.
    """
    saved = snapshot_file.load(Path(file))
    plan = _plan(session, saved, only, file)
    not_evacuated_then = plan.pop("Emptied")
    plan["TakesBack"] = not_evacuated_then if take_back else []
    plan["StayEmptied"] = [] if take_back else not_evacuated_then
    plan["Done"] = not dry_run
    if not dry_run:
        _execute(session, saved, plan)
    session.print(plan, format_restore(plan))


def _plan(session: Session, saved: Snapshot, only: str | None, file: str) -> Json:
    """Returns the steps of the restore; ends the command if the system lacks one of the zones."""
    body = session.current_configuration()
    current = None
    if body is not None:
        current = CurrentConfiguration(json.loads(body), configuration_reader.read(body).unwrap().revision)
    status = session.run(collect(session.client), "state.read")
    plan = plan_restore(saved, current, status["Emptied"])
    if only == "zones":
        plan |= {"Same": True, "Gives": None, "Raised": False, "Changes": []}
    elif only == "configuration":
        plan |= {"Evacuates": [], "Emptied": []}
    for zone in plan["Evacuates"]:
        if zone not in status["Zones"]:
            raise UsageError(
                f"{file}: Emptied: this system has no zone {zone!r}, it has {', '.join(sorted(status['Zones']))}\n  "
                "restore without its zones: --only configuration"
            )
    return plan


def _execute(session: Session, saved: Snapshot, plan: Json) -> None:
    """Executes the plan, zones first, so that the configuration never reaches servers that were excluded."""
    for zone in plan["Evacuates"]:
        session.call("empty.start", query={"of": zone})
    for zone in plan["TakesBack"]:
        session.call("empty.finish", query={"of": zone})
    if not plan["Gives"]:
        return
    body, document = saved.body, saved.document
    if plan["Raised"]:
        body, document = with_revision(saved, int(plan["Gives"][1:]))
    # Another operator may have changed the configuration since the read; `replace_configuration` detects that.
    plan["By"] = format_address(session.replace_configuration(body, document).address)
