"""Scripted control nodes on a fake clock, and sample rows of nodes' answers."""

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
# In place of an answer: the node refuses connections, or accepts the call and does not answer.
UNREACHABLE, SILENT = "connection refused", "no answer"


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
    """Control nodes by address. Each has a deque of answers to each call, used in turn; the last one is repeated.

    An answer is (status, document) or (status, document, headers), UNREACHABLE or SILENT.
    Sleeping advances the clock."""

    def __init__(self, **nodes):
        self.now, self.received_calls, self.nodes = 0.0, [], {}

    def put(self, at, **calls):
        self.nodes.setdefault(at, {}).update(
            {
                name.replace("_", "."): deque(answers if isinstance(answers, list) else [answers])
                for name, answers in calls.items()
            }
        )
        return self

    async def sleep(self, seconds):
        self.now += seconds

    async def send(self, loop, address, request, timeout_s, max_bytes):
        query = dict(parse_qsl(urlsplit(request.target).query))
        at, name = format_address(address), query.pop("call")
        self.received_calls.append((at, name, query, request.body))
        script = self.nodes.get(at, {}).get(name, [UNREACHABLE])
        answer = script.popleft() if len(script) > 1 else script[0]
        if answer in (UNREACHABLE, SILENT):
            self.now += timeout_s if answer == SILENT else 0
            return Err(RequestError(answer, answer == SILENT))
        status, document, *headers = answer
        body = document if isinstance(document, bytes) else json.dumps(document).encode()
        return Ok(HttpResponse(status, headers[0] if headers else {}, body))

    def run(self, *args, at=(A,), code=0, stdin=None):
        """Runs a command and checks its exit code. Returns standard output if the code is 0, else standard error."""
        result = click.testing.CliRunner().invoke(
            commands.main,
            [*args, *(part for address in at for part in ("--at", address))],
            input=stdin,
            obj={"send": self.send, "sleep": self.sleep, "clock": lambda: self.now},
        )
        assert result.exit_code == code, (result.output, result.exception)
        return result.stdout if code == 0 else result.stderr or result.stdout
