"""What every command is framed by: where the nodes are, how findings are said, how errors end it and with which code."""

import asyncio
import json
import sys
from functools import wraps
from pathlib import Path

import click

from ..settings import configuration_reader
from ..settings.errors import FieldError
from ..settings.scalars import parse_address
from .control_client import Channel, Refusal

REFUSED, WRONG, SILENT = 1, 2, 3
HINTS = {
    "config.replace": "send it again unchanged when a node answers: a version has one body for ever",
    "empty.start": "order it again: twice is once",
    "empty.finish": "order it again: twice is once",
}
OLD = "the nodes run a version without this call"


class Ended(click.ClickException):
    """An error with its exit code."""

    def __init__(self, text, code):
        super().__init__(text)
        self.exit_code = code

    def show(self, file=None):
        click.echo(f"rampfront: {self.message}", err=True)


class Addresses(click.ParamType):
    name = "host:port"

    def convert(self, value, parameter, context):
        try:
            return [parse_address(part) for part in value.split(",") if part] if isinstance(value, str) else value
        except FieldError as odd:
            self.fail(f"{odd.reason}; write 127.0.0.1:8381, as in ListenOn.Control", parameter, context)


def talks(command):
    """Options of every command that asks the nodes; the command gets `bridge`."""

    @click.option(
        "--at",
        "at",
        type=Addresses(),
        multiple=True,
        envvar="RAMPFRONT_CONTROL",
        show_envvar=True,
        help="Control address of a node; several are asked one after another.",
    )
    @click.option(
        "--within", type=click.FloatRange(0.2, 600), default=6.0, show_default=True, help="Seconds to go on for."
    )
    @click.option("--json", "as_json", is_flag=True, help="One JSON document instead of text.")
    @click.pass_context
    @wraps(command)
    def run(context, at, within, as_json, **words):
        known = [address for some in at for address in some]
        if not known:
            raise Ended("--at: missing; name a node's control address, --at host:port, or set RAMPFRONT_CONTROL", WRONG)
        return command(Bridge(Channel(known, within, **(context.obj or {})), as_json), **words)

    return run


class Bridge:
    """What a command works with: the channel to the nodes, and the way its findings are said."""

    def __init__(self, channel, as_json):
        self.channel, self.as_json = channel, as_json

    def say(self, data, text, indent=1):
        click.echo(json.dumps(data, indent=indent) if self.as_json else text)

    def run(self, work, name=""):
        """The value of a Result, or the end of the command."""
        found = asyncio.run(work)
        if found.is_ok():
            return found.ok_value
        return self.fail(found.err_value, name)

    def fail(self, trouble, name=""):
        if type(trouble) is Refusal:
            way = f"\n  {OLD}" if trouble.status == 404 and name.endswith(".read") and name != "config.read" else ""
            raise Ended(f"{trouble}{way}", REFUSED)
        way = HINTS.get(name) if trouble.may_have_run else None
        if name in HINTS:
            taken = "it may have been taken; " + way if way else "it was not taken"
            raise Ended(f"{trouble}\n  {taken}", SILENT)
        raise Ended(f"{trouble}\n  name other nodes with --at, or allow more time with --within", SILENT)

    def call(self, name, body=b"", **query):
        return self.run(self.channel.call(name, body, **query), name)

    def all(self, name, field, **query):
        return self.run(self.channel.all(name, field, **query), name)

    def held(self):
        """The newest configuration's body, or None if there is none."""
        found = asyncio.run(self.channel.call("config.read"))
        if found.is_ok():
            return found.ok_value.body
        if type(found.err_value) is Refusal and found.err_value.status == 404:
            return None
        return self.fail(found.err_value, "config.read")

    def needed(self):
        body = self.held()
        if body is None:
            raise Ended("no configuration yet: give the first one with apply FILE", REFUSED)
        return body

    def give(self, body, data):
        """Gives a configuration, whose tables are `data`, and reads back what holds; returns who acknowledged it. Ends the
        command where another version holds, or another body."""
        revision = int(data["Revision"][1:])
        told, held = self.call("config.replace", body), self.needed()
        holds = configuration_reader.read(held).map(lambda other: other.revision).unwrap_or(revision)
        if holds < revision:
            raise Ended(
                f"r{revision} was acknowledged, and r{holds} is read back: this must not be; keep the logs", REFUSED
            )
        if holds == revision and json.loads(held) != data:
            raise Ended(
                f"r{revision} holds with another body: it was given before, and a version keeps its body; "
                f"raise Revision to r{holds + 1}",
                REFUSED,
            )
        if holds > revision:
            raise Ended(
                f"r{revision} changes nothing: r{holds} holds; raise Revision to r{holds + 1} or above", REFUSED
            )
        return told


def checked(path):
    """(body, tables, chart) of a configuration's file; `-`: standard input."""
    body = sys.stdin.buffer.read() if str(path) == "-" else Path(path).read_bytes()
    found = configuration_reader.read(body)
    if found.is_err():
        fault = found.err_value
        way = "; docs/system/reference.md tells what it may hold" if fault.field else ""
        raise Ended(f"{path}: {fault}{way}", WRONG)
    return body, json.loads(body), found.ok_value


FILE = click.argument("file", type=click.Path(exists=True, dir_okay=False, allow_dash=True))
