"""Decisions as syslog messages: which decision has which MSGID, severity and parameters. No I/O, no clock."""

from typing import Literal, NamedTuple

from .message import FACILITY_LOCAL0, Message, Severity

APP_NAME = "rampfront"
DOCUMENTATION_ENTERPRISE_NUMBER = 32473  # kept by RFC 5612 for documentation; an installation sets its own

Decision = Literal["declined", "voided", "settled", "drain", "removed", "up", "counter"]
"""What is reported; it is the message's MSGID."""


class _Wording(NamedTuple):
    """How grave a decision is, and its text for people."""

    severity: Severity
    text: str


_WORDINGS: dict[Decision, _Wording] = {
    "declined": _Wording(Severity.NOTICE, "txn declined"),
    "voided": _Wording(Severity.WARNING, "txn voided"),
    "settled": _Wording(Severity.INFO, "txn settled"),
    "drain": _Wording(Severity.NOTICE, "registry box drains"),
    "removed": _Wording(Severity.NOTICE, "registry box removed"),
    "up": _Wording(Severity.INFO, "registry box in service"),
    "counter": _Wording(Severity.WARNING, "news of the counter"),
}


class DecisionRecord(NamedTuple):
    """A decision that waits to be sent.

    Attributes:
        decision: what was decided.
        parameters: names and values, in order; values that are None or empty are left out of the message.
        decided_at_ns: Unix time in ns.
    """

    decision: Decision
    parameters: tuple[tuple[str, object], ...]
    decided_at_ns: int


class Origin(NamedTuple):
    """Who sends the messages.

    Attributes:
        node_name: the HOSTNAME.
        process_id: the PROCID.
        enterprise_number: the private enterprise number within the SD-ID of the parameters.
    """

    node_name: str
    process_id: str
    enterprise_number: int


def decision_message(record: DecisionRecord, sequence_id: int, origin: Origin) -> Message:
    """The message of a decision. `sequence_id`: by which a collector recognises a repeat (section 7.3.1)."""
    wording = _WORDINGS[record.decision]
    parameters = [(name, str(value)) for name, value in record.parameters if value is not None and value != ""]
    return Message(
        timestamp_ns=record.decided_at_ns,
        message_id=record.decision,
        severity=wording.severity,
        facility=FACILITY_LOCAL0,
        hostname=origin.node_name,
        app_name=APP_NAME,
        process_id=origin.process_id,
        structured_data={
            f"decision@{origin.enterprise_number}": parameters,
            "meta": [("sequenceId", str(sequence_id))],
        },
        text=wording.text,
    )
