"""What a leader knows of one other member or learner (Raft paper, figure 2, nextIndex and matchIndex)."""

from rampfront.terms import slotted

from .identifiers import MS, NO_POSITION, SEC, DurationNs, LogPosition, RoundNumber, TimeNs

RESEND_NS = 150 * MS  # until an entry without an answer is sent again ...
RESEND_NS_PER_BYTE = 8_000  # ... and for each byte of it
MAX_RESEND_NS = 2 * SEC
MAX_DOUBLINGS = 2  # of the time-out, for a transfer that goes without an answer again and again
TRANSFER_BYTES = 1000  # from which on an entry goes as a transfer of its own: one is under way to a member at a time


@slotted
class ReplicaProgress:
    """How far a replica has come.

    `match_position`, `body_digest`: of the entry on its disk. `acknowledged_round`: the newest round that it answered.
    `last_contact_at`: when it last answered, or asked to join. `is_shutting_down`: as it said then. `sent_position`,
    `sent_at`, `send_attempts`: of the entry that was sent last; `sent_bytes`: of its body and versions.
    """

    ip: str
    match_position: LogPosition = NO_POSITION
    body_digest: bytes = b""
    acknowledged_round: RoundNumber = 0
    last_contact_at: TimeNs = 0
    is_shutting_down: bool = False
    sent_position: LogPosition = NO_POSITION
    sent_at: TimeNs = 0
    sent_bytes: int = 0
    send_attempts: int = 0

    def sending(self, position: LogPosition, now: TimeNs) -> None:
        """An entry is being sent; its size is set by `sending_bytes`."""
        self.send_attempts = self.send_attempts + 1 if self.sent_position == position else 1
        self.sent_position = position
        self.sent_at = now
        self.sent_bytes = 0

    def sending_bytes(self, count: int) -> None:
        """So many bytes of the entry that is being sent are its body's, or its versions'."""
        self.sent_bytes += count

    def resend_timeout(self) -> DurationNs:
        """Until the entry sent last counts as lost. Guards slow links against a second copy beside the first."""
        timeout = RESEND_NS + RESEND_NS_PER_BYTE * self.sent_bytes
        if self.sent_bytes >= TRANSFER_BYTES:
            timeout <<= min(MAX_DOUBLINGS, max(0, self.send_attempts - 1))
        return min(timeout, MAX_RESEND_NS)

    def is_overdue(self, now: TimeNs) -> bool:
        """Whether the entry sent last counts as lost."""
        return now - self.sent_at >= self.resend_timeout()

    def is_receiving(self, now: TimeNs) -> bool:
        """Whether a transfer is under way to it: the next entry waits for the answer, so that one arrives whole."""
        is_transfer = self.sent_bytes >= TRANSFER_BYTES and self.sent_position > self.match_position
        return is_transfer and not self.is_overdue(now)

    def acknowledged(self, position: LogPosition, body_digest: bytes) -> None:
        """That entry is on its disk; late answers change nothing."""
        if position >= self.match_position:
            self.match_position = position
            self.body_digest = body_digest

    def reached_at(self, ip: str) -> None:
        """It has that address now."""
        self.ip = ip

    def requested_to_join(self, ip: str, now: TimeNs) -> None:
        """A request to join came from it."""
        self.ip = ip
        self.last_contact_at = now

    def answered(self, number: RoundNumber, now: TimeNs, is_shutting_down: bool) -> None:
        """It has answered a round."""
        self.acknowledged_round = max(self.acknowledged_round, number)
        self.last_contact_at = now
        self.is_shutting_down = is_shutting_down
