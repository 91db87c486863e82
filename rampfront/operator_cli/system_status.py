"""The status of the whole system, made of the reports of its nodes.

`collect` calls the nodes. `assess` finds the problems in their reports, the most severe first; it does no I/O and reads
no clock.
"""

import asyncio
from collections.abc import Iterator
from typing import Any, TypeGuard

from result import Ok, Result

from ..consensus.core_strength import MemberCondition
from ..net.http_client import HttpRequest
from ..settings.scalars import parse_address
from .control_answers import Json, format_address
from .control_client import ControlClient, call_target
from .formatting import format_duration

MAX_CONCURRENT_CALLS = 32  # nodes called at the same time
MAX_STATE_AGE_MS = 2500  # since a majority last confirmed a node's state, which it does every second
UNKNOWN = "?"  # name or zone of a node that is known by its address alone


async def collect(client: ControlClient) -> Result[Json, Any]:
    """Reads the list of nodes from one node, and then each node's own report, once. Returns the status that `assess`
    makes, or the `Rejection` or `NoAnswer`."""
    listed = await client.read_list("nodes.read", "Nodes")
    if not isinstance(listed, Ok):
        return listed
    answered = await client.call("state.read")
    if not isinstance(answered, Ok):
        return answered
    first = answered.ok_value
    nodes = {row["Control"]: row for row in listed.ok_value[0]}
    for name, ip in first.document["Members"]:
        nodes.setdefault(format_address((ip, first.address[1])), {"Name": name, "Ip": ip, "Zone": UNKNOWN})
    for address in client.addresses:
        nodes.setdefault(format_address(address), {"Name": UNKNOWN, "Ip": address[0], "Zone": UNKNOWN})
    reports = await _collect_reports(client, nodes)
    # A node may be both listed and named on the command line; a report that answers replaces one that does not.
    by_ip = {report["Ip"]: report for report in sorted(reports, key=_answers)}
    return Ok(assess(sorted(by_ip.values(), key=_name), first.document))


def _answers(report: Json) -> bool:
    return bool(report["Answers"])


def _name(report: Json) -> str:
    return str(report["Node"])


async def _collect_reports(client: ControlClient, nodes: dict[str, Json]) -> list[Json]:
    """Returns a report for each node; `Answers` says whether the node answered."""
    slots = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    async def read_state(control: str, node: Json) -> Json:
        """Returns one node's report."""
        async with slots:
            request = HttpRequest("POST", call_target("state.read", {}))
            outcome = await client.call_node(parse_address(control), "state.read", request)
        if isinstance(outcome, Ok):
            return {**outcome.ok_value.document, "Control": control, "Answers": True}
        return {"Node": node["Name"], "Ip": node["Ip"], "Zone": node["Zone"], "Control": control, "Answers": False}

    return list(await asyncio.gather(*(read_state(control, node) for control, node in nodes.items())))


def assess(reports: list[Json], first: Json) -> Json:
    """Returns the system's status, as `status --json` prints it.

    `reports`: what each node says of itself, or that it does not answer; `first`: the report of the node that was asked
    first, which stands in where none answers.
    """
    answering = [report for report in reports if report["Answers"]]
    newest = max(answering, key=_state_index, default=first)
    leaders = sorted(report["Node"] for report in answering if report["Leads"])
    answering_ips = {report["Ip"] for report in answering}
    lost = [name for name, ip in newest["Members"] if ip not in answering_ips]
    core = _core_report(answering)
    severe: list[str] = []
    problems: list[str] = []
    _assess_core(newest, lost, severe, problems)
    problems += core_problems(core, lost)
    _assess_leadership(leaders, severe, problems)
    if newest["Revision"] is None:
        severe.append("no configuration yet: apply FILE")
    for report in reports:
        _assess_node(report, newest, lost, severe, problems)
    return {
        "Revision": newest["Revision"],
        "Leader": leaders[0] if leaders else None,
        "Term": newest["Term"],
        "Members": [name for name, _ in newest["Members"]],
        "Core": core,
        "Emptied": newest["Emptied"],
        "Evacuations": newest.get("Evacuations", []),  # nodes of earlier versions report none
        "Zones": newest["Zones"],
        "Amiss": severe + problems,
        "Nodes": reports,
    }


def _state_index(report: Json) -> int:
    return int(report["Index"])


def _assess_core(newest: Json, lost: list[str], severe: list[str], problems: list[str]) -> None:
    """Adds a problem if members of the core do not answer, a severe one if the rest is not a majority."""
    count = len(newest["Members"])
    if 2 * (count - len(lost)) <= count:
        severe.append(
            f"the core has no majority: {', '.join(lost)} of {count} members do not answer; no order is "
            f"taken, and pilots let nothing run once their word is {format_duration(newest['LeaseMs'])} old"
        )
    elif lost:
        problems.append(f"of {count} members of the core {len(lost)} do not answer: {', '.join(lost)}")


def _assess_leadership(leaders: list[str], severe: list[str], problems: list[str]) -> None:
    """Adds a problem unless exactly one node leads."""
    if not leaders:
        severe.append("no node that answers leads the core")
    elif len(leaders) > 1:
        problems.append(f"more than one says that it leads: {', '.join(leaders)} (one of them has not heard yet)")


def _assess_node(report: Json, newest: Json, lost: list[str], severe: list[str], problems: list[str]) -> None:
    """Adds the problems of one node."""
    name = report["Node"] if report["Node"] != UNKNOWN else report["Control"]
    if not report["Answers"]:
        if report["Node"] not in lost:
            problems.append(f"{name} does not answer at {report['Control']}")
        return
    age_ms = report["WordAgeMs"]
    if not report["Fresh"]:
        severe.append(
            f"{name} is out of touch with the core: it lets nothing run (its word: {format_duration(age_ms)})"
        )
    elif age_ms > MAX_STATE_AGE_MS:
        problems.append(
            f"{name} has been out of touch with the core for {format_duration(age_ms)}: what it shows may be old, "
            "and it answers orders with 503"
        )
    elif report.get("LeaderSilentMs"):  # nodes of earlier versions do not report it
        silent_for = format_duration(report["LeaderSilentMs"])
        problems.append(
            f"{name} has had no answer of the leader for {silent_for}, and is kept up to date by other nodes: it "
            "answers orders with 503"
        )
    problems += _node_problems(name, report, newest)


def _node_problems(name: str, report: Json, newest: Json) -> Iterator[str]:
    """Yields the less severe problems of a node that answers."""
    if report["Index"] < newest["Index"]:
        yield (
            f"{name} holds {report['Revision']} of step {report['Index']}, the newest is {newest['Revision']} of "
            f"step {newest['Index']}"
        )
    if not report["Ready"]:
        if report["Ending"]:
            yield f"{name} is ending"
        else:
            yield f"{name} is not ready: it knows no server, no configuration or no word of the core"
    if report.get("OutsideCoreMs"):  # nodes of earlier versions do not report it
        yield (
            f"{name} has a disk and has been no member of the core for {format_duration(report['OutsideCoreMs'])}: it "
            "counts in no majority"
        )
    counts = report["Counts"]
    if counts.get("stores_failed"):
        yield f"the disk of {name} refused {counts['stores_failed']} writes"
    if counts.get("faults"):
        yield f"{name} met {counts['faults']} faults of ours: its log names them"


def _core_report(answering: list[Json]) -> Json | None:
    """Returns the leader's report of the core; None if no leader answers, or if it runs another version."""
    for report in answering:
        core = report.get("Core")
        if report["Leads"] and _is_core_report(core):
            return core
    return None


def _is_core_report(core: object) -> TypeGuard[Json]:
    """Returns whether this is a core report of a leader of this version."""
    if not isinstance(core, dict) or not isinstance(core.get("Wanted"), int) or "FullMs" not in core:
        return False
    rows = core.get("Members")
    return isinstance(rows, list) and all(
        isinstance(row, dict) and row.keys() >= {"Name", "Ip", "State"} for row in rows
    )


def core_problems(core: Json | None, lost: list[str]) -> list[str]:
    """Returns the problems of members that are not voters. `lost`: members already reported as not answering."""
    if core is None:
        return []
    problems = [
        f"{row['Name']} ({row['Ip']}) of the core is {row['State']}"
        for row in core["Members"]
        if row["State"] != MemberCondition.VOTER and row["Name"] not in lost
    ]
    voters = sum(row["State"] == MemberCondition.VOTER for row in core["Members"])
    if core["FullMs"] is None:
        problems.append(f"the core is not at full strength: {voters} of {core['Wanted']} members that are wanted vote")
    if core.get("BelowTargetMs"):  # leaders of earlier versions do not report it
        below_for = format_duration(core["BelowTargetMs"])
        problems.append(f"the core has been below its target of {core['Wanted']} members for {below_for}")
    return problems
