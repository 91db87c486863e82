"""Who leads, as far as one member or node knows, and how it finds out: queries, hints and requests to join.

The mechanism is our own; Raft leaves it to clients to find the leader (Ongaro's dissertation, section 6.2).

- A node without a disk asks the leader it knows, or else all it knows, who leads.
- A newcomer sends `JoinRequest` to them. The leader answers with a `LeaderHint` with its password of this term;
  only a request with that password counts, so that no late one brings back an incarnation that was removed.
- A member that finds no leader for long asks the seeds too: all whom it knows may have been replaced.
- A hint may say that it is committed that the receiver is no member any more. The receiver then comes back as another
  incarnation (`receive_hint` returns who said so; `Member` does the rest).

Invariant: what is known here decides whom to ask, whom to send orders to and which candidates may get votes. It never
decides what is committed. Called by `Member`; the election asks `has_live_leader`.
"""

from .context import MemberContext
from .identifiers import MS, SEC, Incarnation, TimeNs
from .messages import JoinRequest, LeaderHint, LeaderQuery
from .persistent_state import PersistentState

LIVE_LEADER_NS = 650 * MS  # a leader whose heartbeat came within this time is a live one: no votes against it
FORGET_LEADER_NS = 4 * SEC  # a leader that nothing was known of for so long is unknown
FRESH_LEADER_NS = SEC  # a leader known for less than this is asked alone
JOIN_INTERVAL_NS = 280 * MS
QUERY_INTERVAL_NS = 1400 * MS
HINT_CHECK_INTERVAL_NS = 140 * MS  # between two queries to leaders that others named
MAX_SEEDS = 8  # that are asked
LONG_AGO_NS = -FORGET_LEADER_NS


class LeaderDiscovery:
    """What one member knows of the leader, itself included."""

    def __init__(self, context: MemberContext, persistent: PersistentState, counts_towards_size: bool) -> None:
        """`counts_towards_size`: of the core, once this member is added: it starts with the whole system."""
        self._context = context
        self._persistent = persistent
        self.leader_ip: str | None = None
        self._leader_known_at: TimeNs = LONG_AGO_NS  # when somebody last said that it leads
        self._heartbeat_at: TimeNs = LONG_AGO_NS  # when its last heartbeat came, in this term
        self._own_password = 0  # as the leader; 0: this member does not lead
        self._password = 0  # as the leader named it to this one, which wants to join
        self._requested_at: TimeNs = -3 * SEC  # when the last request to join, or query, left
        self._checked_hint_at: TimeNs = -3 * SEC
        self._counts_towards_size = counts_towards_size

    # What is known.

    def has_live_leader(self) -> bool:
        """Whether somebody leads as far as this member can tell, itself included."""
        if self._own_password:
            return True
        return self.leader_ip is not None and self._context.now - self._heartbeat_at < LIVE_LEADER_NS

    def redirect_ip(self) -> str | None:
        """Where an order belongs that this member can't take; None if that is not known."""
        return self.leader_ip if self.leader_ip != self._context.settings.ip else None

    def heartbeat_received(self, ip: str) -> None:
        """The member at `ip` leads in this term."""
        now = self._context.now
        self.leader_ip = ip
        self._leader_known_at = now
        self._heartbeat_at = now

    def note_leader(self, ip: str) -> None:
        """The member at `ip` leads, though it does not count this one as a member."""
        self._note_leader(ip)

    def forget_leader(self) -> None:
        """Nobody is known to lead."""
        self.leader_ip = None

    def leader_ended(self) -> None:
        """The leader says that it leads no longer, so candidates may get votes at once."""
        self.leader_ip = None
        self._heartbeat_at = LONG_AGO_NS

    def became_leader(self, password: int) -> None:
        """This member leads; `password`: what requests to join must contain."""
        self._own_password = password
        self._note_leader(self._context.settings.ip)

    def leadership_ended(self) -> None:
        """This member leads no longer."""
        self._own_password = 0
        self.leader_ended()

    def restart(self, leader_ip: str | None) -> None:
        """This member is another incarnation from now on, and asks to join at once."""
        self._counts_towards_size = False
        self._requested_at = -SEC
        self.leader_ip = leader_ip
        self._leader_known_at = self._context.now

    def _note_leader(self, ip: str) -> None:
        self.leader_ip = ip
        self._leader_known_at = self._context.now

    def _known_ips(self) -> list[str]:
        """All ips worth asking, without the own, those of the settings first."""
        entry = self._persistent.entry
        ips = dict.fromkeys(self._context.seeds[:MAX_SEEDS])
        ips.update(dict.fromkeys(entry.addresses() if entry is not None else ()))
        ips.update(dict.fromkeys(self._persistent.member_ips))
        if self.leader_ip is not None:
            ips[self.leader_ip] = None
        ips.pop(self._context.settings.ip, None)
        return list(ips)

    # Questions.

    def tick_without_disk(self) -> None:
        """Of a node that is never a member: asks who leads, the more often while nobody is known."""
        now = self._context.now
        is_known = self.leader_ip is not None and now - self._leader_known_at < FORGET_LEADER_NS
        if not is_known:
            self.leader_ip = None
        if now - self._requested_at >= (QUERY_INTERVAL_NS if is_known else JOIN_INTERVAL_NS):
            self._requested_at = now
            self._context.broadcast([self.leader_ip] if is_known else self._known_ips(), LeaderQuery())

    def expire(self) -> None:
        """Forgets a leader that nothing was known of for long."""
        if self.leader_ip is not None and self._context.now - self._leader_known_at > FORGET_LEADER_NS:
            self.leader_ip = None

    def request_to_join(self) -> None:
        """Of one that is no member: asks to be added, now and then.

        Not before its incarnation is on disk: it would be a member that can't remember who it is.
        """
        now = self._context.now
        if not self._persistent.identity_is_durable() or now - self._requested_at < JOIN_INTERVAL_NS:
            return
        self._requested_at = now
        is_fresh = self.leader_ip is not None and now - self._leader_known_at < FRESH_LEADER_NS
        request = JoinRequest(self._persistent.key, self._password, self._counts_towards_size)
        self._context.broadcast([self.leader_ip] if is_fresh else self._known_ips(), request)

    def query_if_lost(self) -> None:
        """Of a candidate: asks the seeds too. It may have been away while all whom it knows as members were replaced,
        and if it is no member any more, whoever leads says so."""
        now = self._context.now
        is_lost = self.leader_ip is None and now - self._heartbeat_at > FORGET_LEADER_NS
        if is_lost and now - self._requested_at >= QUERY_INTERVAL_NS:
            self._requested_at = now
            self._context.broadcast(self._known_ips(), LeaderQuery(self._persistent.key))

    # Hints.

    def send_hint(self, ip: str, excluded: Incarnation = 0) -> None:
        """Tells who leads. `excluded`: the receiver's incarnation that is known to be no member, or 0.

        Only called where there is an entry.
        """
        entry = self._persistent.entry
        assert entry is not None
        known_ip = self.leader_ip if self.has_live_leader() else None
        leader_ip = self._context.settings.ip if self._own_password else known_ip
        hint = LeaderHint(
            self._persistent.term,
            leader_ip or "",
            entry.addresses(),
            self._own_password,
            bool(excluded),
            excluded or None,
        )
        self._context.send(ip, hint)

    def receive_hint(self, ip: str, hint: LeaderHint) -> str | None:
        """Takes what the member or node at `ip` tells of the leader.

        Returns the leader's ip if it says, for one to be believed, that this incarnation is no member; else None.
        """
        has_disk, is_member = self._context.settings.has_disk, self._persistent.is_member()
        if hint.member_ips and not is_member and hint.member_ips != self._persistent.member_ips:
            self._persistent.learn_members(hint.member_ips)
        is_current = hint.term >= self._persistent.term
        is_from_leader = ip == hint.leader_ip
        is_excluded = hint.receiver_is_excluded and is_current and has_disk
        if is_excluded and is_from_leader and not is_member:
            return ip
        if hint.leader_ip and is_current and not is_member:
            self._follow_hint(hint, is_from_leader)
        elif is_excluded and not self.has_live_leader():
            return hint.leader_ip
        elif hint.leader_ip not in ("", ip) and not self.has_live_leader():
            self._check_hint(hint.leader_ip)
        return None

    def _follow_hint(self, hint: LeaderHint, is_from_leader: bool) -> None:
        """Of one that is no member: there is the leader."""
        self._note_leader(hint.leader_ip)
        if not self._context.settings.has_disk:
            self._persistent.follow_term(hint.term)
        elif hint.password and hint.password != self._password and is_from_leader:
            self._password = hint.password
            self._requested_at = -SEC
            self.request_to_join()

    def _check_hint(self, leader_ip: str) -> None:
        """Of a member without a leader: asks the one that is said to lead."""
        if self._context.now - self._checked_hint_at >= HINT_CHECK_INTERVAL_NS:
            self._checked_hint_at = self._context.now
            self._context.broadcast([leader_ip], LeaderQuery(self._persistent.key))
