"""Reads all records of a segment and reports damaged spans. No I/O.

Records are independent of each other. After a damaged one, reading continues at the next mark that begins a complete
record.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from .records import RECORD_MARK, DamagedRecordError, Record, decode_record


class Damage(NamedTuple):
    """A damaged span of a segment.

    Attributes:
        offset: the offset of its first byte.
        size_bytes: its length, up to the next complete record or the end of the file.
        reason: the fault found at `offset`.
    """

    offset: int
    size_bytes: int
    reason: str


class SegmentDamage(NamedTuple):
    """A `Damage` and the name of its segment file."""

    segment: str
    offset: int
    size_bytes: int
    reason: str


@dataclass(slots=True)
class ScanResult:
    """The contents of a segment.

    Attributes:
        records: the complete records, in order.
        damage: the spans that hold no complete record.
    """

    records: list[Record] = field(default_factory=list)
    damage: list[Damage] = field(default_factory=list)

    def damage_in(self, segment: str) -> list[SegmentDamage]:
        """Returns the damage with the name of the segment."""
        return [SegmentDamage(segment, *damage) for damage in self.damage]


def scan_records(data: bytes) -> ScanResult:
    """Decodes the bytes of a segment."""
    result = ScanResult()
    offset = 0
    while offset < len(data):
        try:
            record, offset = decode_record(data, offset)
        except DamagedRecordError as error:
            end = _next_complete_record(data, offset + 1)
            result.damage.append(Damage(offset, end - offset, str(error)))
            offset = end
        else:
            result.records.append(record)
    return result


def _next_complete_record(data: bytes, offset: int) -> int:
    """Returns the offset of the first complete record at or after `offset`; the end of the data if there is none."""
    position = data.find(RECORD_MARK, offset)
    while position >= 0:
        try:
            decode_record(data, position)
        except DamagedRecordError:
            position = data.find(RECORD_MARK, position + 1)
        else:
            return position
    return len(data)
