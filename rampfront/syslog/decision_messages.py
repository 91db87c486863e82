"""Maps decisions to syslog messages with their MSGID, severity and parameters. No I/O, no clock."""

from typing import Literal, NamedTuple

from .message import FACILITY_LOCAL0, Message, Severity

APP_NAME = "rampfront"
DOCUMENTATION_ENTERPRISE_NUMBER = 32473  # reserved by RFC 5612 for documentation; an installation sets its own

Decision = Literal["declined", "voided", "settled", "drain", "removed", "up", "counter"]
"""The kind of a decision, which is also the MSGID of its message."""


class _MessageTemplate(NamedTuple):
    """The severity and the free text of a decision's message."""

    severity: Severity
    text: str


_TEMPLATES: dict[Decision, _MessageTemplate] = {
    "declined": _MessageTemplate(Severity.NOTICE, "txn declined"),
    "voided": _MessageTemplate(Severity.WARNING, "txn voided"),
    "settled": _MessageTemplate(Severity.INFO, "txn settled"),
    "drain": _MessageTemplate(Severity.NOTICE, "registry box drains"),
    "removed": _MessageTemplate(Severity.NOTICE, "registry box removed"),
    "up": _MessageTemplate(Severity.INFO, "registry box in service"),
    "counter": _MessageTemplate(Severity.WARNING, "news of the counter"),
}


class DecisionRecord(NamedTuple):
    """A decision queued for sending.

    Attributes:
        decision: what was decided.
        parameters: names and values, in order; parameters whose value is None or empty are omitted from the message.
        decided_at_ns: Unix time in ns.
    """

    decision: Decision
    parameters: tuple[tuple[str, object], ...]
    decided_at_ns: int


class Origin(NamedTuple):
    """The originator of the messages.

    Attributes:
        node_name: the HOSTNAME field.
        process_id: the PROCID field.
        enterprise_number: the private enterprise number in the SD-ID of the parameters.
    """

    node_name: str
    process_id: str
    enterprise_number: int


def decision_message(record: DecisionRecord, sequence_id: int, origin: Origin) -> Message:
    """Returns the message of a decision. A collector detects duplicates by `sequence_id` (section 7.3.1)."""
    template = _TEMPLATES[record.decision]
    parameters = [(name, str(value)) for name, value in record.parameters if value is not None and value != ""]
    return Message(
        timestamp_ns=record.decided_at_ns,
        message_id=record.decision,
        severity=template.severity,
        facility=FACILITY_LOCAL0,
        hostname=origin.node_name,
        app_name=APP_NAME,
        process_id=origin.process_id,
        structured_data={
            f"decision@{origin.enterprise_number}": parameters,
            "meta": [("sequenceId", str(sequence_id))],
        },
        text=template.text,
    )
