"""One syslog message as RFC 5424 (section 6) has it, with the limits of its fields. No I/O, no clock."""

from collections.abc import Mapping, Sequence
from enum import IntEnum
from typing import NamedTuple

Parameter = tuple[str, str]
"""A parameter of structured data: its name and its value."""

NIL_VALUE = "-"  # stands for a field that is absent
FACILITY_LOCAL0 = 16
SEVERITIES = 8  # PRI is facility * 8 + severity
MAX_PRIORITY = 191
MAX_HOSTNAME_LENGTH = 255
MAX_APP_NAME_LENGTH = 48
MAX_PROCESS_ID_LENGTH = 128
MAX_MESSAGE_ID_LENGTH = 32
MAX_STRUCTURED_DATA_NAME_LENGTH = 32


class Severity(IntEnum):
    """How grave a message is (section 6.2.1)."""

    EMERGENCY = 0
    ALERT = 1
    CRITICAL = 2
    ERROR = 3
    WARNING = 4
    NOTICE = 5
    INFO = 6
    DEBUG = 7


class Message(NamedTuple):
    """A message; text fields that are absent are `NIL_VALUE`.

    Attributes:
        timestamp_ns: Unix time in ns; 0 for a message without one.
        message_id: the kind of the message, MSGID.
        severity: one of `Severity`.
        facility: the part of a machine that sends it.
        hostname: the machine or node.
        app_name: the program.
        process_id: the process, PROCID.
        structured_data: SD-ID to parameters, in order; a parameter's name may occur more than once.
        text: the free text for people; empty for none.
    """

    timestamp_ns: int
    message_id: str
    severity: int
    facility: int
    hostname: str
    app_name: str
    process_id: str
    structured_data: Mapping[str, Sequence[Parameter]]
    text: str
