"""Calls of the operator to the nodes that serve `control`, as PROTOCOL.md ("The operator") has them made.

A call goes to one node after another, with a pause that grows, until one gives a clear answer: none is a failure, a 5xx,
408, 429 or silence. A call sent again is unchanged; all calls of ours may be given twice. A clear no is a `Refusal`,
nothing clear within the time is a `Silence`, which tells of each node why, and whether the order may have been taken.
"""

import asyncio
import json
import time
from dataclasses import dataclass
from urllib.parse import quote, urlsplit

from result import Err, Ok

from ..net.http_client import HttpRequest, send_request

SILENT_S, PER_MB_S = 1.2, 1.0  # a node that says nothing for so long, and longer for large bodies, is passed over
PAUSE_S, GROWS, LONGEST_S = 0.05, 1.6, 1.0
RPC = "/api/rpc?call="
MOVES = 2  # redirections that are followed
AGAIN = frozenset((408, 429))
MOST = 64 << 20  # bytes of an answer
ROWS = 100_000  # of a list
NUMBER = (int, float)
FIELDS = {  # what is read of answers: of the answer itself, and of each row of its list
    "state.read": (
        {
            "Node": str,
            "Ip": str,
            "Zone": str,
            "Ready": bool,
            "Ending": bool,
            "Disk": bool,
            "Leads": bool,
            "Term": int,
            "Index": int,
            "Revision": (str, type(None)),
            "Members": list,
            "Core": (dict, type(None)),
            "Emptied": list,
            "Zones": dict,
            "WordAgeMs": (int, type(None)),
            "LeaseMs": int,
            "Fresh": bool,
            "Counts": dict,
        },
        {},
    ),
    "nodes.read": ({"Nodes": list}, {"Name": str, "Ip": str, "Zone": str, "Front": str, "Control": str, "Ready": bool}),
    "servers.read": (
        {"Servers": list, "ChangedMs": int},
        {
            "Id": str,
            "Service": str,
            "Address": str,
            "Zone": str,
            "Capacity": int,
            "State": str,
            "Emptied": bool,
            "ColdMs": int,
            "Links": int,
        },
    ),
    "quotas.read": (
        {"Quotas": list, "Alone": bool},
        {
            "Tenant": str,
            "PerS": NUMBER,
            "Burst": NUMBER,
            "Left": NUMBER,
            "AskedPerS": NUMBER,
            "Own": NUMBER,
            "Others": NUMBER,
        },
    ),
}


@dataclass(frozen=True, slots=True)
class Heard:
    """A clear yes: who gave it, its body, and for a call that reads what it says."""

    at: tuple
    body: bytes
    said: dict


@dataclass(frozen=True, slots=True)
class Refusal:
    """A clear no."""

    at: tuple
    status: int
    why: str

    def __str__(self):
        return f"{place(self.at)} says {self.status}: {self.why}"


@dataclass(frozen=True, slots=True)
class Silence:
    """No clear answer. `tried`: "host:port: why" of each node, as it last was."""

    tried: tuple
    may_have_run: bool

    def __str__(self):
        return "no node gives a clear answer: " + "; ".join(self.tried)


def place(address):
    return "%s:%d" % address


def read(name, body):
    """What an answer says, of which all fields that we go by are there. Raises ValueError."""
    if name not in FIELDS:
        return {}
    said, (own, rows) = json.loads(body), FIELDS[name]
    check(said, own, name)
    for field in own if rows else ():
        for row in said[field] if own[field] is list else ():
            check(row, rows, name)
    return said


def check(table, fields, name):
    for field, kind in fields.items():
        if not isinstance(table, dict) or not isinstance(table.get(field), kind):
            raise ValueError(f"{field} is missing in its answer to {name}, or not what it was: is it another version?")


def message(body):
    """The reason in a refusal's body, bounded and fit for a terminal."""
    try:
        said = json.loads(body)
        text = said.get("Message") if isinstance(said, dict) else said
    except (ValueError, RecursionError):
        text = body.decode("utf-8", "replace")
    return "".join(c if c.isprintable() else " " for c in str(text))[:500]


class Channel:
    """`ask`, `clock` (s) and `sleep` are handed in by tests."""

    def __init__(self, addresses, within_s=6.0, ask=send_request, clock=time.monotonic, sleep=asyncio.sleep):
        self.addresses, self.within_s, self.ask, self.clock, self.sleep = list(addresses), within_s, ask, clock, sleep

    async def call(self, name, body=b"", **query):
        """Result[Heard, Refusal | Silence]."""
        target = RPC + name + "".join(f"&{key}={quote(value, safe='')}" for key, value in query.items())
        until, pause, tried, ran, turn = self.clock() + self.within_s, PAUSE_S, {}, False, 0
        while True:
            address = self.addresses[turn % len(self.addresses)]
            found = await self.one(address, name, target, body, until - self.clock())
            if found.is_ok():
                # Whoever answered is asked first from now on: a command's calls then show one node's view.
                turn %= len(self.addresses)
                self.addresses = self.addresses[turn:] + self.addresses[:turn]
                return found
            if type(found.err_value) is Refusal:
                return found
            why, sent = found.err_value
            tried[address], ran, turn = why, ran or sent, turn + 1
            if self.clock() + pause >= until:
                return Err(Silence(tuple(f"{place(at)}: {why}" for at, why in tried.items()), ran))
            await self.sleep(pause)
            pause = min(LONGEST_S, pause * GROWS)

    async def one(self, address, name, target, body=b"", left_s=SILENT_S):
        """Asks one node once: Heard, Refusal, or (why, whether it may have been taken)."""
        wait = max(0.1, min(SILENT_S + PER_MB_S * len(body) / 1e6, left_s))
        loop, headers = asyncio.get_running_loop(), ((b"Content-Type", b"application/json"),) if body else ()
        for _ in range(MOVES + 1):
            found = await self.ask(loop, address, HttpRequest("POST", target, body, headers), wait, MOST)
            if found.is_err():
                return Err((str(found.err_value), found.err_value.may_have_run))
            reply = found.ok_value
            if 200 <= reply.status < 300:
                try:
                    return Ok(Heard(address, reply.body, read(name, reply.body)))
                except (ValueError, RecursionError) as odd:
                    return Err(Refusal(address, reply.status, str(odd)))
            if reply.status != 307:
                break
            to = urlsplit(reply.headers.get(b"location", b"").decode("latin-1"))
            try:
                if to.scheme != "http" or not to.hostname or not to.port:
                    raise ValueError
            except ValueError:  # a port that is none says so only when it is asked for
                return Err(("sends us on to nowhere", False))
            address, target = (to.hostname, to.port), to.path + (f"?{to.query}" if to.query else "")
        if reply.status >= 500 or reply.status in AGAIN or reply.status == 307:
            return Err((f"{reply.status} {message(reply.body)}".strip(), reply.status >= 500))
        return Err(Refusal(address, reply.status, message(reply.body)))

    async def all(self, name, field, **query):
        """A list that comes in pages, whole: Result[(its rows, the last page), Refusal | Silence]."""
        rows, then = [], {}
        while True:
            found = await self.call(name, **query, **then)
            if found.is_err():
                return found
            said = found.ok_value.said
            rows += said[field]
            if not said.get("Next"):
                return Ok((rows, said))
            if len(rows) > ROWS or type(said["Next"]) is not str or then.get("after", "") >= said["Next"]:
                return Err(Refusal(found.ok_value.at, 200, "its pages do not end, or go round in a circle"))
            then = {"after": said["Next"]}
