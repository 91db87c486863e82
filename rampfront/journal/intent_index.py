"""What the records say of all submissions: which are in doubt, and how many ended in which way. No I/O."""

from .records import Ending, Intent, Record, Start


class IntentIndex:
    """Built up record by record.

    Attributes:
        in_doubt: number to intent of submissions whose outcome is not known; the newest only, as older ones stand in
            the files alone.
        last_number: the highest number of a submission.
        starts: processes that began to write.
        succeeded: submissions that were answered.
        not_run: submissions that did not run.
        forgotten: submissions in doubt that are not in `in_doubt` any more.
    """

    def __init__(self, max_in_doubt: int = 100_000) -> None:
        """Empty. `max_in_doubt`: the most intents that are kept."""
        self.in_doubt: dict[int, Intent] = {}
        self.last_number = 0
        self.starts = 0
        self.succeeded = 0
        self.not_run = 0
        self.forgotten = 0
        self._max_in_doubt = max_in_doubt

    def add(self, record: Record) -> None:
        """Takes the next record."""
        if isinstance(record, Start):
            self.starts += 1
            return
        self.last_number = max(self.last_number, record.number)
        if isinstance(record, Intent):
            self._add_intent(record)
        elif record.ending != Ending.DOUBT and self.in_doubt.pop(record.number, None) is not None:
            self.succeeded += record.ending == Ending.SUCCEEDED
            self.not_run += record.ending == Ending.NOT_RUN

    def _add_intent(self, intent: Intent) -> None:
        """It is in doubt until its outcome comes."""
        self.in_doubt[intent.number] = intent
        if len(self.in_doubt) > self._max_in_doubt:  # guards memory against outages that leave all in doubt
            del self.in_doubt[next(iter(self.in_doubt))]
            self.forgotten += 1
