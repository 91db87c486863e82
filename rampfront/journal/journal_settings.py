"""Where and how the journal is written, as the configuration's table `[journal]` has it."""

from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class JournalSettings:
    """How the journal is written.

    Attributes:
        folder: where its segments are; no other process may write there.
        node_name: of the node that writes.
        batch_delay_ns: how long a record waits for others before all are written.
        max_segment_bytes: past it a new segment begins.
        max_total_bytes: the most that all segments take together.
        retention_s: a segment that was last written so long ago is removed.
    """

    folder: Path
    node_name: str
    batch_delay_ns: int = 2_000_000
    max_segment_bytes: int = 16 << 20
    max_total_bytes: int = 256 << 20
    retention_s: float = 86400.0
