"""The settings of the journal, from the configuration's table `[journal]`."""

from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class JournalSettings:
    """The settings of the journal.

    Attributes:
        folder: the folder of the segments; no other process may write there.
        node_name: the name of the node that writes the journal.
        batch_delay_ns: how long a record is held so that later ones are written in the same batch.
        max_segment_bytes: the size beyond which a new segment begins.
        max_total_bytes: the maximum total size of the segments.
        retention_s: a segment is removed once this long has passed since its last write.
    """

    folder: Path
    node_name: str
    batch_delay_ns: int = 2_000_000
    max_segment_bytes: int = 16 << 20
    max_total_bytes: int = 256 << 20
    retention_s: float = 86400.0
