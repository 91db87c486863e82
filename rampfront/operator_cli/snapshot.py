"""Snapshots: what a running system holds (its configuration, byte for byte as it was sent, and the zones it has emptied)
in one file that is checked without a system and given back through the operators' ordinary calls.

The file: a line `rampfront-snapshot 1 SHA256` over all that follows, a line of JSON (`Revision`, `Step`, `Emptied`,
`Zones`, `Bytes`, `TakenAt`), and the configuration. Tenants' keys are in it: it is written for its owner alone.
`pack`, `unpack`, `raised` and `steps` do no I/O.
"""

import hashlib
import json
import os
import re
from dataclasses import dataclass
from datetime import datetime, timezone
from pathlib import Path

import click
from result import Err, Ok

from ..settings import configuration_reader
from . import difference, survey
from .control_client import place
from .frame import FILE, REFUSED, WRONG, Ended, talks

MAGIC, FORM = b"rampfront-snapshot", 1
MOST = 64 << 20  # bytes of a file
HEAD = {"Revision": str, "Step": int, "Emptied": list, "Zones": dict, "Bytes": int, "TakenAt": str}
ROUNDS = 5  # of reads, until configuration and zones are of one state
REVISION = re.compile(rb'("Revision"\s*:\s*")r\d+(")')


@dataclass(frozen=True, slots=True)
class Kept:
    """A snapshot that was checked."""

    head: dict
    body: bytes
    data: dict
    revision: int


def pack(body, head):
    rest = json.dumps({**head, "Bytes": len(body)}, separators=(",", ":")).encode() + b"\n" + body
    return b"%s %d %s\n" % (MAGIC, FORM, hashlib.sha256(rest).hexdigest().encode()) + rest


def unpack(raw):
    """Result[Kept, str]: the text names what is wrong, and the way out."""
    first, _, rest = raw.partition(b"\n")
    words = first.split(b" ")
    if len(words) != 3 or words[0] != MAGIC:
        return Err("it is no snapshot; `snapshot save FILE` writes one, and a configuration alone goes by `apply FILE`")
    if words[1] != b"%d" % FORM:
        return Err(
            f"its form is {words[1][:20].decode('latin-1')!r} and this program reads {FORM}: use the one that wrote it"
        )
    if hashlib.sha256(rest).hexdigest().encode() != words[2]:
        return Err(
            f"its checksum does not fit its {len(rest)} bytes: it is cut short or was changed; take another copy"
        )
    line, _, body = rest.partition(b"\n")
    try:
        head = json.loads(line)
    except (ValueError, RecursionError):
        return Err("its second line is no JSON; take another copy")
    for field, kind in HEAD.items():
        if not isinstance(head, dict) or type(head.get(field)) is not kind:
            return Err(f"{field}: missing, or not what it was; take another copy")
    if head["Bytes"] != len(body):
        return Err(f"Bytes: {head['Bytes']}, and {len(body)} are there; take another copy")
    for zone in head["Emptied"]:
        if zone not in head["Zones"]:
            return Err(f"Emptied: no such zone: {zone!r}")
    found = configuration_reader.read(body)
    if found.is_err():
        return Err(f"its configuration: {found.err_value}; docs/system/reference.md tells what it may hold")
    if head["Revision"] != f"r{found.ok_value.revision}":
        return Err(f"Revision: {head['Revision']}, and its configuration is r{found.ok_value.revision}")
    return Ok(Kept(head, body, json.loads(body), found.ok_value.revision))


def raised(kept, revision):
    """Its configuration under another version: all else byte for byte, where the text allows that."""
    data, told = {**kept.data, "Revision": f"r{revision}"}, b"r%d" % revision
    body, times = REVISION.subn(lambda found: found[1] + told + found[2], kept.body)
    return (body if times == 1 and json.loads(body) == data else json.dumps(data).encode()), data


def steps(kept, held, emptied):
    """What a restore would do. `held`: (tables, revision) of the configuration in force, or None; `emptied`: zones now."""
    changes = difference.changes(held[0] if held else {}, kept.data)
    same = held is not None and {**held[0], "Revision": ""} == {**kept.data, "Revision": ""}
    revision = kept.revision if held is None or kept.revision > held[1] else held[1] + 1
    wanted = set(kept.head["Emptied"])
    return {
        "Holds": f"r{held[1]}" if held else None,
        "Snapshot": f"r{kept.revision}",
        "Same": same,
        "Gives": None if same else f"r{revision}",
        "Raised": not same and revision != kept.revision,
        "Changes": changes,
        "Evacuates": sorted(wanted - set(emptied)),
        "Emptied": sorted(set(emptied) - wanted),
    }


def loaded(path):
    path = Path(path)
    if path.stat().st_size > MOST:
        raise Ended(f"{path}: larger than {MOST >> 20} MiB; no snapshot is", WRONG)
    found = unpack(path.read_bytes())
    if found.is_err():
        raise Ended(f"{path}: {found.err_value}", WRONG)
    return found.ok_value


def written(path, raw):
    """Whole or not at all, and read by its owner alone: a snapshot that was there stays until the new one is on disk."""
    path = Path(path)
    beside = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        with open(os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600), "wb") as file:
            file.write(raw)
            file.flush()
            os.fsync(file.fileno())
        os.replace(beside, path)
    except OSError as trouble:
        beside.unlink(missing_ok=True)
        raise Ended(f"{path}: {trouble.strerror}; name another file", WRONG) from None


@click.group()
def snapshot():
    """Keep what the system holds in one file; check such a file; give it back."""


@snapshot.command()
@click.argument("file", type=click.Path(dir_okay=False, writable=True))
@talks
def save(bridge, file):
    """Write the configuration and the emptied zones into FILE. It holds the tenants' keys: its owner alone may read it."""
    for _ in range(ROUNDS):
        # The body first: the state that is read behind it under the same version has it, so the two were one state.
        body = bridge.needed()
        told = bridge.run(survey.look(bridge.channel), "state.read")
        if told["Leader"] is None:
            raise Ended(
                "no node that answers leads the core, so what holds is not known: ask others with --at", REFUSED
            )
        revision = (
            configuration_reader.read(body).map(lambda configuration: f"r{configuration.revision}").unwrap_or(None)
        )
        if revision is not None and told["Revision"] == revision:
            break
    else:
        raise Ended(
            f"the configuration changes under the reads ({revision}, then {told['Revision']}): save it again", REFUSED
        )
    head = {
        "Revision": revision,
        "Step": max(row["Index"] for row in told["Nodes"] if row["Answers"]),
        "Emptied": told["Emptied"],
        "Zones": told["Zones"],
        "TakenAt": datetime.now(timezone.utc).isoformat(timespec="seconds"),
    }
    raw = pack(body, head)
    unpack(raw).unwrap()
    written(file, raw)
    bridge.say(
        {"Written": str(file), "Bytes": len(raw), **head},
        f"{file}: {revision}, {len(body)} bytes as sent, zones emptied: {', '.join(told['Emptied']) or 'none'}",
    )


@snapshot.command()
@FILE
@click.option("--json", "as_json", is_flag=True, help="One JSON document instead of text.")
def verify(file, as_json):
    """Check a snapshot without a system: its checksum, its configuration, its zones. Exit 2 names what is wrong."""
    kept = loaded(file)
    told = {
        **kept.head,
        "Tenants": len(kept.data.get("Customers") or ()),
        "Services": len(kept.data.get("Groups") or ()),
    }
    click.echo(
        json.dumps(told, indent=1)
        if as_json
        else f"{file}: good; r{kept.revision} taken {kept.head['TakenAt']} at step {kept.head['Step']}, {told['Services']} "
        f"services, {told['Tenants']} tenants, zones emptied: {', '.join(kept.head['Emptied']) or 'none'}"
    )


@snapshot.command()
@FILE
@click.option("--dry-run", is_flag=True, help="Say what would be done, and give nothing.")
@click.option("--take-back", is_flag=True, help="Also take back the zones that are emptied now and were not then.")
@click.option("--only", type=click.Choice(["configuration", "zones"]), help="This part alone.")
@talks
def restore(bridge, file, dry_run, take_back, only):
    """Give the system what FILE holds: zones first, then the configuration.

    Where the system holds its version or a later one, the configuration is given under the next one: nothing goes back.
    Exit 1 if another version holds behind it.
    """
    kept = loaded(file)
    body = bridge.held()
    configuration = configuration_reader.read(body).unwrap() if body is not None else None
    state = bridge.run(survey.look(bridge.channel), "state.read")
    told = steps(kept, configuration and (json.loads(body), configuration.revision), state["Emptied"])
    if only == "zones":
        told |= {"Same": True, "Gives": None, "Raised": False, "Changes": []}
    elif only == "configuration":
        told |= {"Evacuates": [], "Emptied": []}
    for zone in told["Evacuates"]:
        if zone not in state["Zones"]:
            raise Ended(
                f"{file}: Emptied: this system has no zone {zone!r}, it has {', '.join(sorted(state['Zones']))}\n  "
                "restore without its zones: --only configuration",
                WRONG,
            )
    back = told["Emptied"] if take_back else []
    told |= {
        "TakesBack": back,
        "StayEmptied": [zone for zone in told.pop("Emptied") if zone not in back],
        "Done": not dry_run,
    }
    if not dry_run:
        for name, zones in (("empty.start", told["Evacuates"]), ("empty.finish", back)):
            for zone in zones:
                bridge.call(name, of=zone)
        if told["Gives"]:
            # Guards against another operator between the read above and this: `give` reads back what holds.
            told["By"] = place(
                bridge.give(*raised(kept, int(told["Gives"][1:])) if told["Raised"] else (kept.body, kept.data)).at
            )
    bridge.say(told, words(told))


def words(told):
    """What a restore did, or would do, a line for each thing."""
    did = (lambda done, would: done) if told["Done"] else (lambda done, would: would)
    lines = [f"zone {zone} {did('is', 'would be')} emptied" for zone in told["Evacuates"]]
    lines += [f"zone {zone} {did('is', 'would be')} taken back" for zone in told["TakesBack"]]
    lines += [
        f"zone {zone} is emptied now and was not then: it stays so; --take-back takes it back"
        for zone in told["StayEmptied"]
    ]
    lines += [difference.line(row) for row in told["Changes"]] if not told["Done"] else []
    if told["Gives"]:
        why = f", raised from {told['Snapshot']} as {told['Holds']} holds" if told["Raised"] else ""
        lines.append(
            f"configuration {did('given', 'would be given')} as {told['Gives']}{why}"
            + (f"; acknowledged by {told['By']}, and holds" if told["Done"] else "")
        )
    elif told["Same"] and told["Holds"]:
        lines.append(f"configuration: {told['Holds']} stays")
    return "\n".join(lines if told["Done"] else [*lines, "nothing was given: --dry-run"])
