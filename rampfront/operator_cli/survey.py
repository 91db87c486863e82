"""The state of the whole system, from what each of its nodes says of itself. `look` asks, `judge` reads, `text` words it.

`judge` is told what the nodes said and names what is amiss, gravest first; it asks nobody and reads no clock.
"""

import asyncio

from result import Ok

from ..consensus.core_strength import MemberCondition
from .control_client import RPC, place
from .spelling import spell, table, yes

AT_ONCE = 32  # nodes asked at the same moment
LATE_MS = 2500  # a word older than this, of a beat of a second, is worth a look


async def look(channel):
    """Result[{"Nodes": [...], "Amiss": [...], ...}]: the roster and the core's members as one node knows them, and each
    of them asked for itself, once."""
    found = await channel.all("nodes.read", "Nodes")
    if found.is_err():
        return found
    named = {row["Control"]: row for row in found.ok_value[0]}
    heard = await channel.call("state.read")
    if heard.is_err():
        return heard
    first = heard.ok_value.said
    port = heard.ok_value.at[1]
    for name, ip in first["Members"]:
        named.setdefault(f"{ip}:{port}", {"Name": name, "Ip": ip, "Zone": "?"})
    for address in channel.addresses:
        named.setdefault(place(address), {"Name": "?", "Ip": address[0], "Zone": "?"})
    client_front = asyncio.Semaphore(AT_ONCE)

    async def one(control, row):
        host, _, number = control.rpartition(":")
        async with client_front:
            said = await channel.one((host, int(number)), "state.read", RPC + "state.read")
        if said.is_ok():
            return {**said.ok_value.said, "Control": control, "Answers": True}
        return {"Node": row["Name"], "Ip": row["Ip"], "Zone": row["Zone"], "Control": control, "Answers": False}

    rows = await asyncio.gather(*(one(control, row) for control, row in named.items()))
    unique = {
        row["Ip"]: row for row in sorted(rows, key=lambda row: row["Answers"])
    }  # typed and listed may be one node
    return Ok(judge(sorted(unique.values(), key=lambda row: row["Node"]), first))


def judge(rows, first):
    """`rows`: what each node said of itself, or that it is silent; `first`: the view of the node that was asked first."""
    live = [row for row in rows if row["Answers"]]
    leaders = sorted(row["Node"] for row in live if row["Leads"])
    newest = max(live, key=lambda row: row["Index"], default=first)
    members, answering = newest["Members"], {row["Ip"] for row in live}
    lost = [name for name, ip in members if ip not in answering]
    grave, amiss = [], []
    if 2 * (len(members) - len(lost)) <= len(members):
        grave.append(
            f"the core has no majority: {', '.join(lost)} of {len(members)} members do not answer; no order is "
            f"taken, and pilots let nothing run once their word is {spell(newest['LeaseMs'])} old"
        )
    elif lost:
        amiss.append(f"of {len(members)} members of the core {len(lost)} do not answer: {', '.join(lost)}")
    core = next((row["Core"] for row in live if row["Leads"] and well_formed(row.get("Core"))), None)
    amiss += core_amiss(core, lost)
    if not leaders:
        grave.append("no node that answers leads the core")
    elif len(leaders) > 1:
        amiss.append(f"more than one says that it leads: {', '.join(leaders)} (one of them has not heard yet)")
    if newest["Revision"] is None:
        grave.append("no configuration yet: apply FILE")
    for row in rows:
        name = row["Node"] if row["Node"] != "?" else row["Control"]
        if not row["Answers"]:
            if row["Node"] not in lost:
                amiss.append(f"{name} does not answer at {row['Control']}")
            continue
        if not row["Fresh"]:
            grave.append(
                f"{name} is out of touch with the core: it lets nothing run (its word: {spell(row['WordAgeMs'])})"
            )
        elif row["WordAgeMs"] > LATE_MS:
            amiss.append(
                f"{name} has been out of touch with the core for {spell(row['WordAgeMs'])}: what it shows may be old, "
                "and it answers orders with 503"
            )
        if row["Index"] < newest["Index"]:
            amiss.append(
                f"{name} holds {row['Revision']} of step {row['Index']}, the newest is {newest['Revision']} of "
                f"step {newest['Index']}"
            )
        if not row["Ready"]:
            amiss.append(
                f"{name} is ending"
                if row["Ending"]
                else f"{name} is not ready: it knows no server, no configuration or no word of the core"
            )
        if row["Counts"].get("stores_failed"):
            amiss.append(f"the disk of {name} refused {row['Counts']['stores_failed']} writes")
        if row["Counts"].get("faults"):
            amiss.append(f"{name} met {row['Counts']['faults']} faults of ours: its log names them")
    return {
        "Revision": newest["Revision"],
        "Leader": leaders[0] if leaders else None,
        "Term": newest["Term"],
        "Members": [name for name, _ in members],
        "Core": core,
        "Emptied": newest["Emptied"],
        "Evacuations": newest.get("Evacuations", []),  # nodes of before tell none
        "Zones": newest["Zones"],
        "Amiss": grave + amiss,
        "Nodes": rows,
    }


def emptied(told: dict) -> list[str]:
    """The emptied zones, with what is known of who keeps them so where that is not one operator."""
    notes = {row["Zone"]: note(row) for row in told["Evacuations"]}
    return [f"{zone}{notes.get(zone, '')}" for zone in told["Emptied"]]


def note(row: dict) -> str:
    """Words on an evacuation as nodes tell it; none for that of one operator."""
    if not row["Operators"]:
        return " (taken back; opens by itself within seconds, as there may be one more operator)"
    many = f"{row['Operators']} more" if row["Returned"] else f"{row['Operators']} operators"
    words = [f"to be taken back by {many}"] if row["Operators"] > 1 or row["Returned"] else []
    if row["Repeated"]:
        words.append("emptied again within seconds: a repeat, or one operator more")
    return f" ({'; '.join(words)})" if words else ""


def well_formed(core: object) -> bool:
    """Whether it is what a leader of this version says of its core."""
    if not isinstance(core, dict) or not isinstance(core.get("Wanted"), int) or "FullMs" not in core:
        return False
    rows = core.get("Members")
    return isinstance(rows, list) and all(
        isinstance(row, dict) and {"Name", "Ip", "State"} <= row.keys() for row in rows
    )


def core_amiss(core: dict | None, lost: list[str]) -> list[str]:
    """What the leader says of members that are not at work. `lost`: those that are named already."""
    if core is None:
        return []
    lines = [
        f"{row['Name']} ({row['Ip']}) of the core is {row['State']}"
        for row in core["Members"]
        if row["State"] != MemberCondition.VOTER and row["Name"] not in lost
    ]
    voters = sum(row["State"] == MemberCondition.VOTER for row in core["Members"])
    if core["FullMs"] is None:
        lines.append(f"the core is not at full strength: {voters} of {core['Wanted']} members that are wanted vote")
    return lines


def core_text(told: dict) -> str:
    """The core in the first line."""
    core = told.get("Core")
    if core is None:
        return f"core of {len(told['Members'])}"
    full = "not at full strength" if core["FullMs"] is None else f"at full strength for {spell(core['FullMs'])}"
    return f"core of {len(told['Members'])} ({core['Wanted']} wanted, {full})"


def text(told):
    """The state as a table, and what is amiss below it."""
    rows = []
    for row in told["Nodes"]:
        if not row["Answers"]:
            rows.append((row["Node"], row["Zone"], row["Control"], "silent", *["-"] * 7))
            continue
        role = "leads" if row["Leads"] else "core" if row["Disk"] else "-"
        left = row["LeaseMs"] - row["WordAgeMs"] if row["WordAgeMs"] is not None else 0
        counts = row["Counts"]
        rows.append(
            (
                row["Node"],
                row["Zone"],
                row["Control"],
                role,
                yes(row["Ready"]),
                row["Revision"] or "-",
                row["Index"],
                spell(row["WordAgeMs"]),
                spell(max(0, left)),
                counts.get("taken", "-"),
                counts.get("over_quota", "-"),
            )
        )
    head = (
        f"configuration {told['Revision'] or 'none'}, led by {told['Leader'] or 'nobody'} (term {told['Term']}), "
        f"{core_text(told)}, zones emptied: {', '.join(emptied(told)) or 'none'}"
    )
    heads = ("NODE", "ZONE", "CONTROL", "ROLE", "READY", "CONFIG", "STEP", "WORD", "LEASE", "TAKEN", "429")
    return "\n".join([head, "", table(heads, rows), "", *(f"! {line}" for line in told["Amiss"] or ())]).rstrip()
