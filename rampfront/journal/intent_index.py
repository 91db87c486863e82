"""An index of submissions built from the records: those in doubt, and counts of the others. No I/O."""

from .records import Ending, Intent, Record, Start


class IntentIndex:
    """The submissions in doubt, and counts, updated record by record.

    Attributes:
        in_doubt: intents by number of submissions with unknown outcome; only the newest, as older ones are evicted and
            remain only in the files.
        last_number: the highest number of a submission.
        starts: the number of processes that began to write.
        succeeded: the number of submissions that were answered.
        not_run: the number of submissions that did not run.
        evicted: the number of submissions in doubt that were evicted from `in_doubt`.
    """

    def __init__(self, max_in_doubt: int = 100_000) -> None:
        """Creates an empty index that keeps at most `max_in_doubt` intents."""
        self.in_doubt: dict[int, Intent] = {}
        self.last_number = 0
        self.starts = 0
        self.succeeded = 0
        self.not_run = 0
        self.evicted = 0
        self._max_in_doubt = max_in_doubt

    def add(self, record: Record) -> None:
        """Adds the next record."""
        if isinstance(record, Start):
            self.starts += 1
            return
        self.last_number = max(self.last_number, record.number)
        if isinstance(record, Intent):
            self._add_intent(record)
        elif record.ending != Ending.IN_DOUBT and self.in_doubt.pop(record.number, None) is not None:
            self.succeeded += record.ending == Ending.SUCCEEDED
            self.not_run += record.ending == Ending.NOT_RUN

    def _add_intent(self, intent: Intent) -> None:
        """Adds an intent, which is in doubt until its outcome is added."""
        self.in_doubt[intent.number] = intent
        if len(self.in_doubt) > self._max_in_doubt:  # bounds memory in outages that leave all submissions in doubt
            del self.in_doubt[next(iter(self.in_doubt))]
            self.evicted += 1
