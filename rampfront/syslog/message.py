"""The syslog message of RFC 5424, section 6, and the limits of its fields. No I/O, no clock."""

from collections.abc import Mapping, Sequence
from enum import IntEnum
from typing import NamedTuple

Parameter = tuple[str, str]
"""The name and the value of a structured data parameter."""

NIL_VALUE = "-"  # marks an absent field
FACILITY_LOCAL0 = 16
SEVERITIES = 8  # PRI is facility * 8 + severity
MAX_PRIORITY = 191
MAX_HOSTNAME_LENGTH = 255
MAX_APP_NAME_LENGTH = 48
MAX_PROCESS_ID_LENGTH = 128
MAX_MESSAGE_ID_LENGTH = 32
MAX_STRUCTURED_DATA_NAME_LENGTH = 32


class Severity(IntEnum):
    """The severity of a message (section 6.2.1)."""

    EMERGENCY = 0
    ALERT = 1
    CRITICAL = 2
    ERROR = 3
    WARNING = 4
    NOTICE = 5
    INFO = 6
    DEBUG = 7


class Message(NamedTuple):
    """A syslog message; absent text fields are `NIL_VALUE`.

    Attributes:
        timestamp_ns: Unix time in ns; 0 for a message without one.
        message_id: the MSGID, the type of the message.
        severity: one of `Severity`.
        facility: the facility code (section 6.2.1).
        hostname: the host or node that sends it.
        app_name: the program that sends it.
        process_id: the PROCID of the sending process.
        structured_data: parameters by SD-ID, in order; a parameter name may occur more than once.
        text: the free text (MSG); empty if there is none.
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
