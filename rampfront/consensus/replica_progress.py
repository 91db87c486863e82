"""Replication progress of one member or learner, kept by the leader (Raft paper, figure 2: nextIndex, matchIndex)."""

from rampfront.terms import slotted

from .identifiers import MS, NO_POSITION, SEC, DurationNs, LogPosition, RoundNumber, TimeNs

RESEND_NS = 150 * MS  # base timeout until an unacknowledged entry is sent again
RESEND_NS_PER_BYTE = 8_000  # added to the timeout for each byte of the entry
MAX_RESEND_NS = 2 * SEC
MAX_DOUBLINGS = 2  # of the timeout, for a transfer that repeatedly gets no answer
TRANSFER_BYTES = 1000  # entries of this size count as transfers, of which each replica receives one at a time


@slotted
class ReplicaProgress:
    """Replication progress of one replica.

    `match_position`, `body_digest`: position and body digest of the entry on its disk. `acknowledged_round`: the newest
    round that it answered. `last_contact_at`: when it last answered or asked to join. `is_shutting_down`: as of its
    last answer. `sent_position`, `sent_at`, `send_attempts`: position, time and number of attempts of the entry sent
    last. `sent_bytes`: size of that entry's body and versions as sent.
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

    def record_send(self, position: LogPosition, now: TimeNs) -> None:
        """Records that an entry is being sent; `add_sent_bytes` records its size."""
        self.send_attempts = self.send_attempts + 1 if self.sent_position == position else 1
        self.sent_position = position
        self.sent_at = now
        self.sent_bytes = 0

    def add_sent_bytes(self, count: int) -> None:
        """Adds the size of the body or the versions to that of the entry being sent."""
        self.sent_bytes += count

    def resend_timeout(self) -> DurationNs:
        """Returns the time until the entry sent last is considered lost.

        It grows with the size of the entry, so that a slow link does not carry a second copy beside the first.
        """
        timeout = RESEND_NS + RESEND_NS_PER_BYTE * self.sent_bytes
        if self.sent_bytes >= TRANSFER_BYTES:
            timeout <<= min(MAX_DOUBLINGS, max(0, self.send_attempts - 1))
        return min(timeout, MAX_RESEND_NS)

    def is_overdue(self, now: TimeNs) -> bool:
        """Whether the entry sent last is considered lost."""
        return now - self.sent_at >= self.resend_timeout()

    def is_receiving(self, now: TimeNs) -> bool:
        """Whether a transfer to the replica is in progress.

        The next entry is sent only after the answer, so that at least one transfer completes.
        """
        is_transfer = self.sent_bytes >= TRANSFER_BYTES and self.sent_position > self.match_position
        return is_transfer and not self.is_overdue(now)

    def acknowledged(self, position: LogPosition, body_digest: bytes) -> None:
        """Records the entry on the replica's disk; delayed answers about older entries are ignored."""
        if position >= self.match_position:
            self.match_position = position
            self.body_digest = body_digest

    def set_address(self, ip: str) -> None:
        """Sets the replica's address."""
        self.ip = ip

    def record_join_request(self, ip: str, now: TimeNs) -> None:
        """Records a join request from the replica."""
        self.ip = ip
        self.last_contact_at = now

    def record_response(self, number: RoundNumber, now: TimeNs, is_shutting_down: bool) -> None:
        """Records the replica's answer to a round."""
        self.acknowledged_round = max(self.acknowledged_round, number)
        self.last_contact_at = now
        self.is_shutting_down = is_shutting_down
