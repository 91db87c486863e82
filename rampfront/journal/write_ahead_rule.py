"""The write-ahead rule, which decides when a submission of a once-only transaction may be sent. No I/O, no clock.

A submission is sent only after its intent is durable. One table gives the journal's next state when a write ends,
another the effect on each intent in that write. The caller must apply each effect exactly once.

An intent waits from `add` until the write that contains it ends. `max_waiting` limits the number of waiting intents.
"""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple


class JournalState(Enum):
    """Whether the journal can be written. The values appear in the log."""

    WRITABLE = "well"
    UNWRITABLE = "full"  # after any failed write: no space, a disk fault, or a fault of the folder


class WriteResult(Enum):
    """The result of a write."""

    DURABLE = "durable"
    FAILED = "failed"


class IntentState(Enum):
    """The state of an intent whose write has not ended."""

    WAITING = "waiting"
    WITHDRAWN = "withdrawn"  # its submission must not be sent, whatever the result of the write


class IntentEffect(Enum):
    """The action required for an intent whose write has ended."""

    SEND = "send"  # its submission may be sent
    REFUSE = "refuse"  # its submission must not be sent
    RECORD_NOT_RUN = "record not run"  # its intent is durable but it was not sent, which the journal must record


_JOURNAL_TRANSITIONS: dict[tuple[JournalState, WriteResult], JournalState] = {
    (JournalState.WRITABLE, WriteResult.DURABLE): JournalState.WRITABLE,
    (JournalState.WRITABLE, WriteResult.FAILED): JournalState.UNWRITABLE,
    (JournalState.UNWRITABLE, WriteResult.DURABLE): JournalState.WRITABLE,
    (JournalState.UNWRITABLE, WriteResult.FAILED): JournalState.UNWRITABLE,
}
_INTENT_EFFECTS: dict[tuple[IntentState, WriteResult], IntentEffect | None] = {
    (IntentState.WAITING, WriteResult.DURABLE): IntentEffect.SEND,
    (IntentState.WAITING, WriteResult.FAILED): IntentEffect.REFUSE,
    (IntentState.WITHDRAWN, WriteResult.DURABLE): IntentEffect.RECORD_NOT_RUN,
    (IntentState.WITHDRAWN, WriteResult.FAILED): None,
}


class WriteCompletion(NamedTuple):
    """The consequences of the end of a write.

    Attributes:
        effects: (number of the intent, effect), in the order of the write.
        state_changed: whether the journal's state has changed.
    """

    effects: list[tuple[int, IntentEffect]]
    state_changed: bool


class WriteAheadRule:
    """The state of the journal and of the waiting intents.

    Attributes:
        state: the state of the journal.
    """

    def __init__(self, max_waiting: int = 4096) -> None:
        """Creates a writable journal state, with room for `max_waiting` waiting intents."""
        self.state = JournalState.WRITABLE
        self._max_waiting = max_waiting
        self._waiting: dict[int, IntentState] = {}

    def __len__(self) -> int:
        """The number of waiting intents, including withdrawn ones."""
        return len(self._waiting)

    def accepts_intents(self) -> bool:
        """Whether a once-only transaction may be accepted; otherwise it is declined before anything is sent."""
        return self.state == JournalState.WRITABLE and len(self._waiting) < self._max_waiting

    def add(self, number: int) -> bool:
        """Adds an intent that is to be written. Returns False if it is refused and must not be written."""
        if not self.accepts_intents():
            return False
        self._waiting[number] = IntentState.WAITING
        return True

    def withdraw(self, number: int) -> bool:
        """Withdraws a waiting intent. Returns whether its submission has not been sent and never will be."""
        if self._waiting.get(number) != IntentState.WAITING:
            return False
        self._waiting[number] = IntentState.WITHDRAWN
        return True

    def write_ended(self, result: WriteResult, numbers: Iterable[int]) -> WriteCompletion:
        """Updates the state after a write has ended. `numbers` are those of the intents in the write."""
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
        return WriteCompletion(effects, self.state != previous)
