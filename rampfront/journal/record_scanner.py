"""Reads all records of a segment, and names what is damaged. No I/O.

Each record stands alone: behind a damaged one reading goes on at the next mark that a complete record follows.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from .records import RECORD_MARK, DamagedRecordError, Record, decode_record


class Damage(NamedTuple):
    """A damaged span of a segment.

    Attributes:
        offset: where it begins.
        size_bytes: up to the next complete record, or to the end of the file.
        reason: what is wrong at its beginning.
    """

    offset: int
    size_bytes: int
    reason: str


class SegmentDamage(NamedTuple):
    """A `Damage` with the file that has it."""

    segment: str
    offset: int
    size_bytes: int
    reason: str


@dataclass(slots=True)
class ScanResult:
    """What a segment holds.

    Attributes:
        records: the complete ones, in order.
        damage: what else there is.
    """

    records: list[Record] = field(default_factory=list)
    damage: list[Damage] = field(default_factory=list)

    def damage_in(self, segment: str) -> list[SegmentDamage]:
        """The damage, with the name of the segment."""
        return [SegmentDamage(segment, *damage) for damage in self.damage]


def scan_records(data: bytes) -> ScanResult:
    """Reads the bytes of a segment."""
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
    """The offset of the first complete record from `offset` on; the end of the data if there is none."""
    position = data.find(RECORD_MARK, offset)
    while position >= 0:
        try:
            decode_record(data, position)
        except DamagedRecordError:
            position = data.find(RECORD_MARK, position + 1)
        else:
            return position
    return len(data)
