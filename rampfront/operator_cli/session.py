"""Shared by the commands: the options that name the nodes, the output as text or JSON, and the errors that end them."""

import asyncio
import json
import sys
from collections.abc import Callable, Coroutine, Mapping
from functools import update_wrapper
from http import HTTPStatus
from pathlib import Path
from typing import Any, NamedTuple, TypeVar, cast

import click
from result import Ok, Result

from ..settings import configuration_reader
from ..settings.configuration import Configuration
from ..settings.errors import FieldError
from ..settings.scalars import parse_address
from .control_answers import Address, Answer, Json, NoAnswer, Rejection
from .control_client import DEFAULT_TIMEOUT_S, ControlClient
from .errors import CommandError, NoAnswerError, RejectedError, UsageError

Value = TypeVar("Value")

# What to do if no node answered, for each call that changes something.
RETRY_HINTS = {
    "config.replace": "send it again unchanged when a node answers: a version has one body for ever",
    "empty.start": "order it again: a repeat has no further effect",
    "empty.finish": "order it again: a repeat has no further effect",
}

configuration_file = click.argument("file", type=click.Path(exists=True, dir_okay=False, allow_dash=True))
json_option = click.option("--json", "as_json", is_flag=True, help="Print one JSON document instead of text.")


class AddressList(click.ParamType[list[Address]]):
    """An address `host:port`, or several separated by commas."""

    name = "host:port"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> list[Address]:
        """Returns the addresses; ends the command if one is invalid."""
        if not isinstance(value, str):
            return cast(list[Address], value)  # already converted
        try:
            return [parse_address(part) for part in value.split(",") if part]
        except FieldError as error:
            self.fail(f"{error.reason}; write 127.0.0.1:8381, as in ListenOn.Control", param, ctx)


at_option = click.option(
    "--at",
    type=AddressList(),
    multiple=True,
    envvar="RAMPFRONT_CONTROL",
    show_envvar=True,
    help="Control address of a node; several are tried in turn.",
)
within_option = click.option(
    "--within",
    type=click.FloatRange(0.2, 600),
    default=DEFAULT_TIMEOUT_S,
    show_default=True,
    help="Time-out of a call, retries included, in seconds.",
)


def with_session(command: Callable[..., None]) -> Callable[..., None]:
    """Adds the options of commands that call nodes, and passes a `Session` as the first argument."""

    def run(
        context: click.Context, /, at: tuple[list[Address], ...], within: float, as_json: bool, **arguments: object
    ) -> None:
        """Creates the session and runs the command."""
        addresses = [address for group in at for address in group]
        if not addresses:
            raise UsageError("--at: missing; name a node's control address, --at host:port, or set RAMPFRONT_CONTROL")
        client = ControlClient(addresses, within, **(context.obj or {}))
        command(Session(client, as_json), **arguments)

    update_wrapper(run, command)
    return at_option(within_option(json_option(click.pass_context(run))))


class Session:
    """The client and the output format of one command."""

    def __init__(self, client: ControlClient, as_json: bool) -> None:
        """`as_json`: print documents instead of text."""
        self.client = client
        self.as_json = as_json

    def print(self, document: object, text: str, indent: int | None = 1) -> None:
        """Prints the result, as a JSON document (on one line if `indent` is None) or as text."""
        click.echo(json.dumps(document, indent=indent) if self.as_json else text)

    def run(self, work: Coroutine[Any, Any, Result[Value, Any]], call: str = "") -> Value:
        """Returns the value of `work`; ends the command on its error. `call`: the name of the call, for the message."""
        outcome = asyncio.run(work)
        if isinstance(outcome, Ok):
            return outcome.ok_value
        raise self.error_of(outcome.err_value, call)

    def error_of(self, failure: Rejection | NoAnswer, call: str = "") -> CommandError:
        """Returns the error that ends the command, with the failures of the nodes and the remedy."""
        if isinstance(failure, Rejection):
            is_unknown_call = (
                failure.status == HTTPStatus.NOT_FOUND and call.endswith(".read") and call != "config.read"
            )
            hint = "\n  the nodes run a version without this call" if is_unknown_call else ""
            return RejectedError(f"{failure}{hint}")
        if call not in RETRY_HINTS:
            hint = "name other nodes with --at, or allow more time with --within"
        elif failure.may_have_run:
            hint = "it may have been taken; " + RETRY_HINTS[call]
        else:
            hint = "it was not taken"
        return NoAnswerError(f"{failure}\n  {hint}")

    def call(self, name: str, body: bytes = b"", query: Mapping[str, str] | None = None) -> Answer:
        """Makes a call; ends the command if it fails."""
        return self.run(self.client.call(name, body, query), name)

    def read_list(self, name: str, field: str, query: Mapping[str, str] | None = None) -> tuple[list[Json], Json]:
        """Reads a list; returns its rows and the last page. Ends the command if that fails."""
        return self.run(self.client.read_list(name, field, query), name)

    def current_configuration(self) -> bytes | None:
        """Returns the newest configuration's body, or None if there is none."""
        outcome = asyncio.run(self.client.call("config.read"))
        if isinstance(outcome, Ok):
            return outcome.ok_value.body
        failure = outcome.err_value
        if isinstance(failure, Rejection) and failure.status == HTTPStatus.NOT_FOUND:
            return None
        raise self.error_of(failure, "config.read")

    def required_configuration(self) -> bytes:
        """Returns the newest configuration's body; ends the command if there is none."""
        body = self.current_configuration()
        if body is None:
            raise RejectedError("no configuration yet: give the first one with apply FILE")
        return body

    def replace_configuration(self, body: bytes, document: Json) -> Answer:
        """Sends a configuration (`document`: its tables) and reads back the one that is in force.

        Returns the acknowledgement. Ends the command if another version or another body of this version is in force.
        """
        revision = int(document["Revision"][1:])
        answer = self.call("config.replace", body)
        current = self.required_configuration()
        newest = configuration_reader.read(current).map(_revision).unwrap_or(revision)
        if newest < revision:
            raise RejectedError(
                f"r{revision} was acknowledged, but r{newest} is read back: a fault of the system; keep the logs"
            )
        if newest == revision and json.loads(current) != document:
            raise RejectedError(
                f"r{revision} holds with another body: it was given before, and a version keeps its body; "
                f"raise Revision to r{newest + 1}"
            )
        if newest > revision:
            raise RejectedError(
                f"r{revision} changes nothing: r{newest} holds; raise Revision to r{newest + 1} or above"
            )
        return answer


def _revision(configuration: Configuration) -> int:
    return configuration.revision


class ConfigurationFile(NamedTuple):
    """A configuration from a file: its text, its tables, and the validated object."""

    body: bytes
    document: Json
    configuration: Configuration


def read_configuration_file(path: str) -> ConfigurationFile:
    """Returns the configuration in a file, or in standard input for `-`. Ends the command if it is invalid."""
    body = sys.stdin.buffer.read() if path == "-" else Path(path).read_bytes()
    outcome = configuration_reader.read(body)
    if not isinstance(outcome, Ok):
        fault = outcome.err_value
        hint = "; docs/system/reference.md describes the fields" if fault.field else ""
        raise UsageError(f"{path}: {fault}{hint}")
    return ConfigurationFile(body, json.loads(body), outcome.ok_value)
