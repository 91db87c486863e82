"""Reads a journal's folder for people: every submission with what became of it.

It never writes and needs no node: a journal may be read while a node writes it.
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
_ENDING_TEXTS = {Ending.SUCCEEDED: "settled", Ending.NOT_RUN: "not_run", Ending.DOUBT: "doubt"}


@dataclass(slots=True)
class JournalEntry:
    """One submission.

    Attributes:
        intent: its intent.
        outcome: how it ended; None: no record of its end, so it is in doubt.
    """

    intent: Intent
    outcome: Outcome | None = None

    @property
    def in_doubt(self) -> bool:
        """Whether it may or may not have run."""
        return self.outcome is None or self.outcome.ending == Ending.DOUBT

    @property
    def ending_text(self) -> str:
        """How it ended, for people."""
        return "doubt (no outcome)" if self.outcome is None else _ENDING_TEXTS[self.outcome.ending]

    def line(self) -> str:
        """A line for people."""
        intent = self.intent
        took = ""
        if self.outcome is not None:
            took = f" after {(self.outcome.at_ns - intent.at_ns) / _NS_PER_MS:.1f} ms"
        return (
            f"{format_time(intent.at_ns)} #{intent.number} {intent.transaction_id} {intent.product} "
            f"account {intent.account} to {intent.server}, try {intent.attempt + 1}: {self.ending_text}{took}"
        )


@dataclass(frozen=True, slots=True)
class EntryFilter:
    """Which entries are asked for; an attribute that is empty or None asks for all.

    Attributes:
        transaction_id: the client's id.
        account: the customer.
        server: the id of the server.
        in_doubt: only submissions that may or may not have run.
        since_ns: from this Unix time on.
        until_ns: up to this Unix time.
    """

    transaction_id: str = ""
    account: str = ""
    server: str = ""
    in_doubt: bool = False
    since_ns: int | None = None
    until_ns: int | None = None

    def matches(self, entry: JournalEntry) -> bool:
        """Whether an entry is asked for."""
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
    """All that a folder holds.

    Attributes:
        entries: number to submission, in the order of the numbers.
        damage: damaged spans, in the order of the files.
        starts: processes that began to write.
        segment_count: files.
        size_bytes: of all files.
        orphans: outcomes whose intent went with an older file or a damaged record.
    """

    entries: dict[int, JournalEntry] = field(default_factory=dict)
    damage: list[SegmentDamage] = field(default_factory=list)
    starts: list[Start] = field(default_factory=list)
    segment_count: int = 0
    size_bytes: int = 0
    orphans: int = 0

    def select(self, wanted: EntryFilter) -> list[JournalEntry]:
        """The entries that match."""
        return [entry for entry in self.entries.values() if wanted.matches(entry)]

    def damage_lines(self) -> list[str]:
        """A line for people of each damaged span."""
        return [
            f"damaged: {span.segment} at {span.offset}, {span.size_bytes} bytes: {span.reason}" for span in self.damage
        ]

    def summary(self) -> str:
        """A line of totals for people."""
        totals = Counter(entry.outcome.ending if entry.outcome else None for entry in self.entries.values())
        endings = [f"{totals[ending]} {text}" for ending, text in _ENDING_TEXTS.items()]
        orphans = f"; {self.orphans} outcomes whose intent went with an older file or a damaged record"
        return (
            f"{self.segment_count} files, {self.size_bytes} bytes, {len(self.starts)} starts, "
            f"{len(self.entries)} submissions: {', '.join(endings)}, {totals[None]} no outcome"
            f"{orphans if self.orphans else ''}"
        )

    def add(self, record: Record) -> None:
        """Takes the next record."""
        if isinstance(record, Start):
            self.starts.append(record)
        elif isinstance(record, Intent):
            self.entries.setdefault(record.number, JournalEntry(record))  # one that compaction wrote again is the same
        elif entry := self.entries.get(record.number):
            entry.outcome = record
        else:
            self.orphans += 1


def read_journal(folder: Path) -> JournalContents:
    """Reads all segments of a folder. Raises `OSError` if one cannot be read."""
    contents = JournalContents()
    for path in segment_paths(folder):
        data = path.read_bytes()
        contents.segment_count += 1
        contents.size_bytes += len(data)
        scanned = scan_records(data)
        contents.damage += scanned.damage_in(path.name)
        for record in scanned.records:
            contents.add(record)
    contents.entries = dict(sorted(contents.entries.items()))  # what compaction wrote again stands behind later ones
    return contents


def format_time(at_ns: int) -> str:
    """Unix time in ns as a date and time in UTC."""
    return datetime.fromtimestamp(at_ns / _NS_PER_S, UTC).strftime("%Y-%m-%dT%H:%M:%S.%f") + "Z"
