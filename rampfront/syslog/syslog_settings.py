"""The settings of the syslog sender, from the configuration's table `[syslog]`."""

from dataclasses import dataclass
from pathlib import Path

from .decision_messages import DOCUMENTATION_ENTERPRISE_NUMBER


@dataclass(frozen=True, slots=True)
class SyslogSettings:
    """The settings of the syslog sender.

    Attributes:
        collector_address: host and port of the collector.
        node_name: the HOSTNAME field of the messages.
        buffer_folder: the folder where messages are stored during an outage; None to buffer in memory only.
        max_buffer_bytes: the maximum size of the messages in that folder.
        max_queued_messages: the maximum number of messages queued in memory.
        enterprise_number: the private enterprise number in the SD-ID of the decisions' parameters.
        udp: whether to send each message as a UDP datagram instead of over TCP.
    """

    collector_address: tuple[str, int]
    node_name: str
    buffer_folder: Path | None = None
    max_buffer_bytes: int = 64 << 20
    max_queued_messages: int = 16384
    enterprise_number: int = DOCUMENTATION_ENTERPRISE_NUMBER
    udp: bool = False
