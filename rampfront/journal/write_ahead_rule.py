"""The write-ahead rule: when the submission of a once-only transaction may leave. No I/O, no clock.

A submission leaves once its intent is durable, and not before. One table says what the end of a write makes of the
journal, another what becomes of an intent that it held. Whoever carries out an effect does so once.

Intents wait from `add` to the end of the write that holds them: what comes within one batch, bounded by `max_waiting`.
"""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple


class JournalState(Enum):
    """Whether the journal can be written. The values stand in the log."""

    WRITABLE = "well"
    FULL = "full"  # any failure to write: of room, of the disk, of the folder


class WriteResult(Enum):
    """How a write ended."""

    DURABLE = "durable"
    FAILED = "failed"


class IntentState(Enum):
    """An intent that waits for a write."""

    WAITING = "waiting"
    WITHDRAWN = "withdrawn"  # its submission is not to leave, whatever the write does


class IntentEffect(Enum):
    """What is to be done with an intent whose write has ended."""

    SEND = "send"  # its submission may leave
    REFUSE = "refuse"  # it cannot leave
    RECORD_NOT_RUN = "record not run"  # it never left, though its intent is durable: the journal must say so


_JOURNAL_TRANSITIONS: dict[tuple[JournalState, WriteResult], JournalState] = {
    (JournalState.WRITABLE, WriteResult.DURABLE): JournalState.WRITABLE,
    (JournalState.WRITABLE, WriteResult.FAILED): JournalState.FULL,
    (JournalState.FULL, WriteResult.DURABLE): JournalState.WRITABLE,
    (JournalState.FULL, WriteResult.FAILED): JournalState.FULL,
}
_INTENT_EFFECTS: dict[tuple[IntentState, WriteResult], IntentEffect | None] = {
    (IntentState.WAITING, WriteResult.DURABLE): IntentEffect.SEND,
    (IntentState.WAITING, WriteResult.FAILED): IntentEffect.REFUSE,
    (IntentState.WITHDRAWN, WriteResult.DURABLE): IntentEffect.RECORD_NOT_RUN,
    (IntentState.WITHDRAWN, WriteResult.FAILED): None,
}


class WriteEnd(NamedTuple):
    """What the end of a write asks for.

    Attributes:
        effects: (number of the intent, effect), in the order of the write.
        state_changed: whether the journal's state is another than before.
    """

    effects: list[tuple[int, IntentEffect]]
    state_changed: bool


class WriteAheadRule:
    """The state of the journal and of the intents that wait.

    Attributes:
        state: of the journal.
    """

    def __init__(self, max_waiting: int = 4096) -> None:
        """Writable, and nothing waits. `max_waiting`: the most intents that wait."""
        self.state = JournalState.WRITABLE
        self._max_waiting = max_waiting
        self._waiting: dict[int, IntentState] = {}

    def __len__(self) -> int:
        """Intents that wait, withdrawn ones included."""
        return len(self._waiting)

    def accepts_intents(self) -> bool:
        """Whether a once-only transaction may be accepted; else it is declined before anything is sent."""
        return self.state == JournalState.WRITABLE and len(self._waiting) < self._max_waiting

    def add(self, number: int) -> bool:
        """An intent is to be written. Returns False if it is refused at once, and nothing is to be written."""
        if not self.accepts_intents():
            return False
        self._waiting[number] = IntentState.WAITING
        return True

    def withdraw(self, number: int) -> bool:
        """Returns whether the submission has not left, and now never will."""
        if self._waiting.get(number) != IntentState.WAITING:
            return False
        self._waiting[number] = IntentState.WITHDRAWN
        return True

    def write_ended(self, result: WriteResult, numbers: Iterable[int]) -> WriteEnd:
        """A write has ended. `numbers`: of the intents that it held."""
        previous = self.state
        self.state = _JOURNAL_TRANSITIONS[previous, result]
        effects = []
        for number in numbers:
            intent_state = self._waiting.pop(number, None)
            if intent_state is None:
                continue
            effect = _INTENT_EFFECTS[intent_state, result]
            if effect is not None:
                effects.append((number, effect))
        return WriteEnd(effects, self.state != previous)
