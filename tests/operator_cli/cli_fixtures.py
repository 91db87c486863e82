"""Scripted control nodes on a fake clock, and rows as nodes answer them."""

import json
from collections import deque
from urllib.parse import parse_qsl, urlsplit

import click.testing
from result import Err, Ok

from rampfront.net.http_client import HttpResponse, RequestError
from rampfront.node.status_views import COUNTERS_SHOWN
from rampfront.operator_cli import commands
from rampfront.operator_cli.control_answers import format_address
from rampfront.operator_cli.sample_configuration import sample_configuration

A, B, C = "127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1"
ZONES = {"z1": "north", "z2": "south"}
UNREACHABLE, SILENT = "dead", "mute"  # what a node does: it refuses connections; it takes a call and does not answer


def node_state(name="n1", ip="127.0.0.1", **other):
    return {
        "Node": name,
        "Ip": ip,
        "Zone": "z1",
        "Ready": True,
        "Ending": False,
        "Disk": True,
        "Leads": name == "n1",
        "Leader": "127.0.0.1",
        "Term": 1,
        "Index": 5,
        "Revision": "r1",
        "Members": [["n1", "127.0.0.1"]],
        "Core": None,
        "Emptied": [],
        "Zones": ZONES,
        "WordAgeMs": 100,
        "LeaseMs": 4400,
        "Fresh": True,
        "Servers": 1,
        "Roster": 1,
        "Spare": {"reads": 0.4},
        "Counts": dict.fromkeys(COUNTERS_SHOWN, 0),
        **other,
    }


def node_row(name, ip, control):
    return {"Name": name, "Ip": ip, "Zone": "z1", "Front": f"{ip}:80", "Control": control, "Ready": True}


def server_row(uid, service="reads", zone="z1", **other):
    return {
        "Id": uid,
        "Service": service,
        "Address": "10.0.0.1:80",
        "Zone": zone,
        "Capacity": 2,
        "State": "ready",
        "Emptied": False,
        "ColdMs": 0,
        "Links": 0,
        **other,
    }


def quota_row(left=12.0):
    return {"Tenant": "acme", "PerS": 20.0, "Burst": 20.0, "Left": left, "AskedPerS": 3, "Own": 1, "Others": 2}


def configuration(revision="r1", **other):
    return {**sample_configuration(), "Revision": revision, **other}


class ScriptedNodes:
    """Control nodes by address, each with a deque of its answers to a call in turn (the last one is repeated for ever):
    (status, document), UNREACHABLE or SILENT. Its clock advances as commands sleep."""

    def __init__(self, **nodes):
        self.now, self.asked, self.nodes = 0.0, [], {}

    def put(self, at, **calls):
        self.nodes.setdefault(at, {}).update(
            {name.replace("_", "."): deque(said if isinstance(said, list) else [said]) for name, said in calls.items()}
        )
        return self

    async def sleep(self, seconds):
        self.now += seconds

    async def send(self, loop, address, request, wait, most):
        query = dict(parse_qsl(urlsplit(request.target).query))
        at, name = format_address(address), query.pop("call")
        self.asked.append((at, name, query, request.body))
        script = self.nodes.get(at, {}).get(name, [UNREACHABLE])
        said = script.popleft() if len(script) > 1 else script[0]
        if said in (UNREACHABLE, SILENT):
            self.now += wait if said == SILENT else 0
            return Err(RequestError(said, said == SILENT))
        status, told, *headers = said
        told = told if isinstance(told, bytes) else json.dumps(told).encode()
        return Ok(HttpResponse(status, headers[0] if headers else {}, told))

    def run(self, *words, at=(A,), code=0, typed=None):
        """What a command says: standard output if it ends with 0, else its errors."""
        told = click.testing.CliRunner().invoke(
            commands.main,
            [*words, *(part for one in at for part in ("--at", one))],
            input=typed,
            obj={"send": self.send, "sleep": self.sleep, "clock": lambda: self.now},
        )
        assert told.exit_code == code, (told.output, told.exception)
        return told.stdout if code == 0 else told.stderr or told.stdout
