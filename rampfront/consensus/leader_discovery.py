"""Leader discovery of one member or node: the known leader, and the queries, hints and join requests that find it.

The mechanism is specific to this project; Raft leaves it to clients to find the leader (Ongaro's dissertation, section
6.2).

- A node that wants to join sends a `JoinRequest` to all known addresses, or to the leader if it has news of it. The
  leader replies with a `LeaderHint` that contains its join token for this term. Only requests with that token are
  accepted, so that a delayed request cannot bring back a removed incarnation.
- A member without a leader for a long time queries the seeds too, since all members it knows may have been replaced.
- The seeds need not have a member of the core. Whatever process a node reaches passes on the leader and the state that
  it knows (`membership/dissemination.py`); the node hands these addresses to its member as contacts.
- A hint may state that the receiver's removal is committed. The receiver then rejoins as a new incarnation
  (`receive_hint` returns the leader's address; `MessageHandler` and `Roles` do the rest).

Invariant: the information kept here determines which addresses are queried, where orders are sent and which candidates
may receive votes. It never affects what is committed. `Member` calls this module; the election uses `has_live_leader`.
"""

from .context import MemberContext
from .identifiers import MS, SEC, Incarnation, TimeNs
from .messages import JoinRequest, LeaderHint, LeaderQuery
from .persistent_state import PersistentState

LIVE_LEADER_NS = 650 * MS  # a leader is live this long after a heartbeat; other candidates get no votes meanwhile
FORGET_LEADER_NS = 4 * SEC  # a leader is forgotten after this time without news of it
FRESH_LEADER_NS = SEC  # up to this age of the last news of a leader, join requests go to it alone
JOIN_INTERVAL_NS = 280 * MS
QUERY_INTERVAL_NS = 1400 * MS
HINT_CHECK_INTERVAL_NS = 140 * MS  # between two queries to leaders that others named
MAX_SEEDS = 8  # number of seeds that are queried
LONG_AGO_NS = -FORGET_LEADER_NS


class LeaderDiscovery:
    """What one member or node knows about the leader, which may be the member itself."""

    def __init__(self, context: MemberContext, persistent: PersistentState, is_initial_member: bool) -> None:
        """`is_initial_member`: this member starts as part of the system's initial start and raises the target size."""
        self._context = context
        self._persistent = persistent
        self.leader_ip: str | None = None
        self._leader_known_at: TimeNs = LONG_AGO_NS  # when the leader was last confirmed by itself or by a hint
        self._heartbeat_at: TimeNs = LONG_AGO_NS  # when its last heartbeat in this term was received
        self._own_join_token = 0  # token of this member as the leader; 0 if it is not the leader
        self._join_token = 0  # token received from the leader, for this node's join requests
        self._requested_at: TimeNs = -3 * SEC  # when the last join request or query was sent
        self._checked_hint_at: TimeNs = -3 * SEC
        self._is_initial_member = is_initial_member

    # Known leader.

    def has_live_leader(self) -> bool:
        """Whether there is a live leader as far as this member knows, possibly itself."""
        if self._own_join_token:
            return True
        return self.leader_ip is not None and self._context.now - self._heartbeat_at < LIVE_LEADER_NS

    def redirect_ip(self) -> str | None:
        """Returns where to redirect an order that this member cannot accept; None if no other leader is known."""
        return self.leader_ip if self.leader_ip != self._context.settings.ip else None

    def heartbeat_received(self, ip: str) -> None:
        """Records a heartbeat from the member at `ip`, which leads in this term."""
        now = self._context.now
        self.leader_ip = ip
        self._leader_known_at = now
        self._heartbeat_at = now

    def note_leader(self, ip: str) -> None:
        """Records that the member at `ip` leads, although this incarnation is not one of its members."""
        self._note_leader(ip)

    def forget_leader(self) -> None:
        """Clears the known leader."""
        self.leader_ip = None

    def leader_ended(self) -> None:
        """Records that the leader has stepped down, so that candidates may receive votes at once."""
        self.leader_ip = None
        self._heartbeat_at = LONG_AGO_NS

    def became_leader(self, join_token: int) -> None:
        """Records that this member is the leader. `join_token`: the token that join requests must contain."""
        self._own_join_token = join_token
        self._note_leader(self._context.settings.ip)

    def leadership_ended(self) -> None:
        """Records that this member is no longer the leader."""
        self._own_join_token = 0
        self.leader_ended()

    def restart(self, leader_ip: str | None) -> None:
        """Resets the state for a new incarnation of this member, which asks to join at once."""
        self._is_initial_member = False
        self._requested_at = -SEC
        self.leader_ip = leader_ip
        self._leader_known_at = self._context.now

    def _note_leader(self, ip: str) -> None:
        self.leader_ip = ip
        self._leader_known_at = self._context.now

    def _known_ips(self) -> list[str]:
        """Returns all addresses to query, without this node's own; those from the settings come first."""
        entry = self._persistent.entry
        ips = dict.fromkeys(self._context.seeds[:MAX_SEEDS])
        ips.update(dict.fromkeys(entry.addresses() if entry is not None else ()))
        ips.update(dict.fromkeys(self._persistent.member_ips))
        ips.update(dict.fromkeys(self._context.contacts))
        if self.leader_ip is not None:
            ips[self.leader_ip] = None
        ips.pop(self._context.settings.ip, None)
        return list(ips)

    # Queries and join requests.

    def expire(self) -> None:
        """Forgets the leader after `FORGET_LEADER_NS` without news of it."""
        if self.leader_ip is not None and self._context.now - self._leader_known_at > FORGET_LEADER_NS:
            self.leader_ip = None

    def request_to_join(self) -> None:
        """Asks to be added to the members, at most once per `JOIN_INTERVAL_NS`; called on a non-member.

        No request is sent before the incarnation is on disk: after a restart, an added member would have another one.
        """
        now = self._context.now
        if not self._persistent.identity_is_durable() or now - self._requested_at < JOIN_INTERVAL_NS:
            return
        self._requested_at = now
        is_fresh = self.leader_ip is not None and now - self._leader_known_at < FRESH_LEADER_NS
        request = JoinRequest(self._persistent.key, self._join_token, self._is_initial_member)
        self._context.broadcast([self.leader_ip] if is_fresh else self._known_ips(), request)

    def query_if_lost(self) -> None:
        """Queries the seeds too, if a candidate has found no leader for `FORGET_LEADER_NS`.

        All members it knows may have been replaced while it was down. If it was removed itself, the leader says so in
        its hint.
        """
        now = self._context.now
        is_lost = self.leader_ip is None and now - self._heartbeat_at > FORGET_LEADER_NS
        if is_lost and now - self._requested_at >= QUERY_INTERVAL_NS:
            self._requested_at = now
            self._context.broadcast(self._known_ips(), LeaderQuery(self._persistent.key))

    # Hints.

    def send_hint(self, ip: str, excluded: Incarnation = 0) -> None:
        """Sends a hint about the leader; there must be an entry.

        `excluded`: the receiver's incarnation if its removal is committed, or 0.
        """
        entry = self._persistent.entry
        assert entry is not None
        known_ip = self.leader_ip if self.has_live_leader() else None
        leader_ip = self._context.settings.ip if self._own_join_token else known_ip
        hint = LeaderHint(
            self._persistent.term,
            leader_ip or "",
            entry.addresses(),
            self._own_join_token,
            bool(excluded),
            excluded or None,
        )
        self._context.send(ip, hint)

    def receive_hint(self, ip: str, hint: LeaderHint) -> str | None:
        """Handles a hint about the leader from the member or node at `ip`.

        Returns the leader's IP address if the hint is credible and says that this incarnation is not a member, else
        None.
        """
        is_member = self._persistent.is_member()
        if hint.member_ips and not is_member and hint.member_ips != self._persistent.member_ips:
            self._persistent.learn_members(hint.member_ips)
        is_current = hint.term >= self._persistent.term
        is_from_leader = ip == hint.leader_ip
        is_excluded = hint.receiver_is_excluded and is_current
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
        """Adopts the leader named in a hint; called on a non-member."""
        self._note_leader(hint.leader_ip)
        if hint.join_token and hint.join_token != self._join_token and is_from_leader:
            self._join_token = hint.join_token
            self._requested_at = -SEC
            self.request_to_join()

    def _check_hint(self, leader_ip: str) -> None:
        """Queries the node that a hint names as the leader; called on a member without a leader."""
        if self._context.now - self._checked_hint_at >= HINT_CHECK_INTERVAL_NS:
            self._checked_hint_at = self._context.now
            self._context.broadcast([leader_ip], LeaderQuery(self._persistent.key))
