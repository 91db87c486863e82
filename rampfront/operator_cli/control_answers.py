"""The required fields of the nodes' answers to control calls, and the results that the client returns for them.

The fields are those of PROTOCOL.md ("The operator") and docs/system/operating.md ("The read calls"). Only fields that a
command reads are checked, so that newer nodes may add others.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from types import NoneType
from typing import Any, NamedTuple, TypeAlias

Json: TypeAlias = dict[str, Any]  # a table of a JSON document
Address: TypeAlias = tuple[str, int]
FieldType: TypeAlias = type | tuple[type, ...]

MAX_REASON_CHARS = 500
_NUMBER = (int, float)


class AnswerShape(NamedTuple):
    """The types of an answer's fields, and of the fields in each row of the list in `rows_field`, if it has one."""

    fields: Mapping[str, FieldType]
    rows_field: str = ""
    row_fields: Mapping[str, FieldType] = {}


ANSWER_SHAPES: dict[str, AnswerShape] = {
    "state.read": AnswerShape(
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
            "Revision": (str, NoneType),
            "Members": list,
            "Core": (dict, NoneType),
            "Emptied": list,
            "Zones": dict,
            "WordAgeMs": (int, NoneType),
            "LeaseMs": int,
            "Fresh": bool,
            "Counts": dict,
        }
    ),
    "evacuations.read": AnswerShape({"Revision": (str, NoneType), "Emptied": list}),
    "nodes.read": AnswerShape(
        {"Nodes": list},
        "Nodes",
        {"Name": str, "Ip": str, "Zone": str, "Front": str, "Control": str, "Ready": bool},
    ),
    "servers.read": AnswerShape(
        {"Servers": list, "ChangedMs": int},
        "Servers",
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
    "quotas.read": AnswerShape(
        {"Quotas": list, "Alone": bool},
        "Quotas",
        {
            "Tenant": str,
            "PerS": _NUMBER,
            "Burst": _NUMBER,
            "Left": _NUMBER,
            "AskedPerS": _NUMBER,
            "Own": _NUMBER,
            "Others": _NUMBER,
        },
    ),
}


@dataclass(frozen=True, slots=True)
class Answer:
    """A node carried out a call: its address, the body, and the checked document if the call reads something."""

    address: Address
    body: bytes
    document: Json


@dataclass(frozen=True, slots=True)
class Rejection:
    """A node definitely refused the call, or its answer is invalid."""

    address: Address
    status: int
    reason: str

    def __str__(self) -> str:
        """Returns the message for operators."""
        return f"{format_address(self.address)} says {self.status}: {self.reason}"


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """No node gave a definite answer in time. `failures`: "host:port: reason" for each node's last failure."""

    failures: tuple[str, ...]
    may_have_run: bool

    def __str__(self) -> str:
        """Returns the message for operators."""
        return "no node gives a clear answer: " + "; ".join(self.failures)


def format_address(address: Address) -> str:
    """Returns an address as `host:port`."""
    host, port = address
    return f"{host}:{port}"


def parse_answer(call: str, body: bytes) -> Json:
    """Returns the document in an answer's body, or an empty one for a call whose answer is not read.

    Raises:
        ValueError: the body is not JSON, or a field that commands read is missing or of another type.
        RecursionError: its tables are nested too deeply.
    """
    shape = ANSWER_SHAPES.get(call)
    if shape is None:
        return {}
    document = json.loads(body)
    _check_fields(document, shape.fields, call)
    if shape.rows_field:
        for row in document[shape.rows_field]:
            _check_fields(row, shape.row_fields, call)
    table: Json = document
    return table


def _check_fields(table: object, fields: Mapping[str, FieldType], call: str) -> None:
    for field, kind in fields.items():
        if not isinstance(table, dict) or not isinstance(table.get(field), kind):
            raise ValueError(
                f"{field} is missing in its answer to {call}, or has another type; it may run another version"
            )


def rejection_reason(body: bytes) -> str:
    """Returns the reason in the body of a rejection, cut if it is long, with control characters replaced by spaces."""
    try:
        document = json.loads(body)
        text = document.get("Message") if isinstance(document, dict) else document
    except (ValueError, RecursionError):
        text = body.decode("utf-8", "replace")
    printable = "".join(character if character.isprintable() else " " for character in str(text))
    return printable[:MAX_REASON_CHARS]
