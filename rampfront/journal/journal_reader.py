"""Reads a journal's folder for the command line: every submission with its outcome.

It never writes, and needs no running node. A journal may be read while a node writes it.
"""

from collections import Counter
from dataclasses import dataclass, field
from datetime import UTC, datetime
from pathlib import Path

from .record_scanner import SegmentDamage, scan_records
from .records import Ending, Intent, Outcome, Record, Start
from .segment_store import segment_paths

_NS_PER_S = 1e9
_NS_PER_MS = 1e6
_ENDING_TEXTS = {Ending.SUCCEEDED: "settled", Ending.NOT_RUN: "not_run", Ending.IN_DOUBT: "doubt"}


@dataclass(slots=True)
class JournalEntry:
    """One submission, as recorded.

    Attributes:
        intent: its intent.
        outcome: its outcome; None if none is recorded, so that it is in doubt.
    """

    intent: Intent
    outcome: Outcome | None = None

    @property
    def in_doubt(self) -> bool:
        """Whether it is unknown if the submission ran."""
        return self.outcome is None or self.outcome.ending == Ending.IN_DOUBT

    @property
    def ending_text(self) -> str:
        """The ending as displayed."""
        return "doubt (no outcome)" if self.outcome is None else _ENDING_TEXTS[self.outcome.ending]

    def line(self) -> str:
        """Formats the submission as a line of text."""
        intent = self.intent
        duration_text = ""
        if self.outcome is not None:
            duration_text = f" after {(self.outcome.at_ns - intent.at_ns) / _NS_PER_MS:.1f} ms"
        return (
            f"{format_time(intent.at_ns)} #{intent.number} {intent.transaction_id} {intent.product} "
            f"account {intent.account} to {intent.server}, try {intent.attempt + 1}: {self.ending_text}{duration_text}"
        )


@dataclass(frozen=True, slots=True)
class EntryFilter:
    """Selects entries; an attribute that is empty or None matches all.

    Attributes:
        transaction_id: the id given by the client.
        account: the customer.
        server: the id of the server.
        in_doubt: whether to select only submissions in doubt.
        since_ns: earliest Unix time in ns, inclusive.
        until_ns: latest Unix time in ns, exclusive.
    """

    transaction_id: str = ""
    account: str = ""
    server: str = ""
    in_doubt: bool = False
    since_ns: int | None = None
    until_ns: int | None = None

    def matches(self, entry: JournalEntry) -> bool:
        """Whether the filter selects an entry."""
        intent = entry.intent
        return (
            self.transaction_id in ("", intent.transaction_id)
            and self.account in ("", intent.account)
            and self.server in ("", intent.server)
            and (not self.in_doubt or entry.in_doubt)
            and (self.since_ns is None or intent.at_ns >= self.since_ns)
            and (self.until_ns is None or intent.at_ns < self.until_ns)
        )


@dataclass(slots=True)
class JournalContents:
    """The contents of a journal's folder.

    Attributes:
        entries: submissions by number, in ascending order.
        damage: damaged spans, in the order of the files.
        starts: the starts of the processes that wrote the journal.
        segment_count: the number of files.
        size_bytes: the total size of the files.
        orphans: the number of outcomes whose intent was in a removed file or a damaged record.
    """

    entries: dict[int, JournalEntry] = field(default_factory=dict)
    damage: list[SegmentDamage] = field(default_factory=list)
    starts: list[Start] = field(default_factory=list)
    segment_count: int = 0
    size_bytes: int = 0
    orphans: int = 0

    def select(self, entry_filter: EntryFilter) -> list[JournalEntry]:
        """Returns the entries that match the filter."""
        return [entry for entry in self.entries.values() if entry_filter.matches(entry)]

    def damage_lines(self) -> list[str]:
        """Formats each damaged span as a line of text."""
        return [
            f"damaged: {span.segment} at {span.offset}, {span.size_bytes} bytes: {span.reason}" for span in self.damage
        ]

    def summary(self) -> str:
        """Formats the totals as a line of text."""
        totals = Counter(entry.outcome.ending if entry.outcome else None for entry in self.entries.values())
        endings = [f"{totals[ending]} {text}" for ending, text in _ENDING_TEXTS.items()]
        orphans = f"; {self.orphans} outcomes whose intent went with an older file or a damaged record"
        return (
            f"{self.segment_count} files, {self.size_bytes} bytes, {len(self.starts)} starts, "
            f"{len(self.entries)} submissions: {', '.join(endings)}, {totals[None]} no outcome"
            f"{orphans if self.orphans else ''}"
        )

    def add(self, record: Record) -> None:
        """Adds the next record."""
        if isinstance(record, Start):
            self.starts.append(record)
        elif isinstance(record, Intent):
            self.entries.setdefault(
                record.number, JournalEntry(record)
            )  # keeps the first copy; compaction may have rewritten it
        elif entry := self.entries.get(record.number):
            entry.outcome = record
        else:
            self.orphans += 1


def read_journal(folder: Path) -> JournalContents:
    """Reads all segments of a folder. Raises `OSError` if a segment cannot be read."""
    contents = JournalContents()
    for path in segment_paths(folder):
        data = path.read_bytes()
        contents.segment_count += 1
        contents.size_bytes += len(data)
        scanned = scan_records(data)
        contents.damage += scanned.damage_in(path.name)
        for record in scanned.records:
            contents.add(record)
    contents.entries = dict(sorted(contents.entries.items()))  # rewritten intents come after later ones in the files
    return contents


def format_time(at_ns: int) -> str:
    """Formats Unix time in ns as an ISO 8601 date and time in UTC."""
    return datetime.fromtimestamp(at_ns / _NS_PER_S, UTC).strftime("%Y-%m-%dT%H:%M:%S.%f") + "Z"
