"""Where and how decisions are sent, as the configuration's table `[syslog]` has it."""

from dataclasses import dataclass
from pathlib import Path

from .decision_messages import DOCUMENTATION_ENTERPRISE_NUMBER


@dataclass(frozen=True, slots=True)
class SyslogSettings:
    """How decisions are sent.

    Attributes:
        collector_address: host and port.
        node_name: the HOSTNAME of the messages.
        buffer_folder: where messages are stored in an outage; None: memory alone bridges it.
        max_buffer_bytes: the most that they may take there.
        max_queued_messages: the most that wait in memory.
        enterprise_number: within the SD-ID of the decisions' parameters.
        udp: one datagram a message in place of TCP.
    """

    collector_address: tuple[str, int]
    node_name: str
    buffer_folder: Path | None = None
    max_buffer_bytes: int = 64 << 20
    max_queued_messages: int = 16384
    enterprise_number: int = DOCUMENTATION_ENTERPRISE_NUMBER
    udp: bool = False
