"""What a leader does: rounds of beats, new entries, orders, and who is taken in. It ends with its term."""

from .body_history import BODY
from .evacuations import Recollection, emptied, opened, taken_back
from .events import OrderEnded, OrderKind, Outcome, SendMessage
from .membership_change import SILENCE, CoreStrength, Learner, MembershipChange, floor
from .state import MOST_BODY, MOST_NAMES, MOST_ZONE
from .versions import NOTHING, ROW, VersionHistory, content_digest, versions_size

MS, SEC = 10**6, 10**9

BEAT = 280 * MS  # between rounds; ticks come each 100 ms
ALONE = 1200 * MS  # behind its last round that a majority answered a leader gives up
SOON = 20 * MS  # rounds for the sake of a read are no closer than this
WAIT = 2500 * MS  # that an order may take
FOUNDING = 5 * SEC  # for which a core that knows nothing yet waits for more members before it takes orders
HANDOVER = 300 * MS  # for which a leader that leaves waits until what it proposed is in force
AGAIN, PER_BYTE = 150 * MS, 8_000  # ns until an unanswered entry is sent again, and for each of its bytes
MOST_AGAIN = 2 * SEC
LARGE = 1000  # bytes from which on an entry goes as a transfer of its own: one is under way to a member at a time
DIFFERENCES = 2  # times that an entry is sent as a difference before it goes whole
MOST_DOUBLED = 2  # times that the patience with an unanswered transfer doubles
SMALL = 1000  # bytes of a body that go with a leader's first entry before it is known who holds them
MOST_ORDERS, MOST_ROUNDS = 256, 64
ZONE_ORDERS = frozenset((OrderKind.EVACUATE, OrderKind.RESTORE))
MOST_BASES = 16  # entries whose histories of versions a difference may rest on


class Peer:
    """Another member or a learner as the leader knows it: what is on its disk, the last round that it answered, when it
    was heard last, and whether it said that it is leaving."""

    __slots__ = "ip", "have", "mark", "round", "sent", "sent_at", "size", "tries", "heard_at", "leaving"

    def __init__(self, ip):
        self.ip, self.have, self.mark, self.round, self.sent, self.sent_at = ip, (0, 0), b"", 0, (0, 0), 0
        self.size = self.tries = 0  # of the entry sent last: bytes that stood for its body; times that it was sent
        self.heard_at, self.leaving = 0, False

    def patience(self):
        """ns until the entry sent last counts as lost. Guards slow links against a second copy beside the first."""
        wait = AGAIN + PER_BYTE * self.size
        if self.size >= LARGE:
            wait <<= min(MOST_DOUBLED, max(0, self.tries - 1))
        return min(wait, MOST_AGAIN)

    def busy(self, now):
        """Whether a transfer is under way to it: the next entry waits for the answer, so that one arrives whole."""
        return self.size >= LARGE and self.sent > self.have and now - self.sent_at < self.patience()


class Waiting:
    """An order. `index`: of the entry that carries it, or 0; `round`: that must be answered first, or 0; `verdict`: what it
    is answered then; `digest`: of a configuration's content."""

    __slots__ = "ref", "kind", "body", "came", "index", "round", "verdict", "digest"

    def __init__(self, order, now):
        self.ref, self.kind, self.body, self.came, self.index, self.round = order.ref, order.kind, order.body, now, 0, 0
        self.verdict, self.digest = (
            Outcome.DONE,
            content_digest(order.body[1]) if order.kind == OrderKind.CONFIGURE else b"",
        )

    @property
    def taken_up(self):
        return self.index or self.round


class Leadership:
    def __init__(self, core_member):
        self.core_member, self.term, self.began = core_member, core_member.term, core_member.now
        self.password = core_member.draw.getrandbits(48) | 1
        self.peers = {}  # (name, incarnation) to Peer, of those that may count
        self.round, self.beat_at = 0, -SEC
        self.confirmed, self.confirmed_at = (
            0,
            core_member.now,
        )  # newest round that a majority answered; when it was sent
        self.rounds = {}  # unconfirmed: number to when it was sent; bounded
        self.orders = []
        self.own = core_member.me, core_member.incarnation
        self.membership = MembershipChange(self.own, self.term, core_member.survive)
        self.settled_at = None  # when the first entry of this term came into force
        self.full_since = None  # since when the core has been at full strength, as this leader sees it
        self.leaves_by = None  # when a leader that leaves gives way at the latest
        self.in_force = 0  # index of the newest entry of this term that is in force
        self.served = False  # whether the last entry was for orders: members have their turn then
        self.recollection = Recollection(core_member.now, core_member.ack_within)
        self.bases = {}  # stamp of an entry to its versions; bounded

    @property
    def quorum_confirmed_at(self):
        return self.confirmed_at if self.in_force and self.confirmed else None

    @property
    def settled(self):
        return self.in_force == self.core_member.entry.index

    def begin(self):
        """The entry found is stamped anew: only what is agreed in its own term counts for a leader."""
        found, standing = self.core_member.entry, self.core_member.standing()
        self.bases[found.position] = found.versions
        target = standing.target_size or len(standing.members)  # a record of before has none
        self.propose(members=standing.members, previous_members=standing.previous_members, target_size=target)

    def lost(self, now):
        """Whether no majority has answered for so long that another may lead."""
        return now - self.confirmed_at > ALONE

    def close(self):
        """Says to all that it leads no longer; orders go back to those who wait."""
        core_member, successor = self.core_member, self.successor()
        for key, peer in self.peers.items():
            message = {**core_member.signed("quit", key[1]), "t": self.term}
            if successor is not None:
                message["h"] = int(key == successor)
            core_member.effects.append(SendMessage(peer.ip, message))
        for order in self.orders:
            self.tell(order, Outcome.UNKNOWN if order.index else Outcome.NOT_LEADER)
        self.orders = []

    def successor(self):
        """The key of the most caught-up member, which is told to stand at once when this leader leaves in order."""
        if not self.core_member.leaving and not self.excludes_itself:
            return None
        staying = {key: peer for key, peer in self.peers.items() if not peer.leaving and not self.silent(peer)}
        members = self.core_member.entry.members
        staying = {key: peer for key, peer in staying.items() if members.get(key[0], (0, 0))[1] == key[1]}
        return max(staying, key=lambda key: (staying[key].have, staying[key].heard_at), default=None)

    def leave(self):
        """Takes nothing new from here on and gives way once all is in force, or `HANDOVER` later."""
        self.leaves_by = self.core_member.now + HANDOVER

    @property
    def may_give_way(self):
        return self.leaves_by is not None and (self.settled or self.core_member.now >= self.leaves_by)

    def tell(self, order, verdict):
        state = self.core_member.committed if verdict in (Outcome.DONE, Outcome.CONFLICT) else None
        self.core_member.effects.append(OrderEnded(order.ref, verdict, state))

    # Rounds.

    def tick(self):
        now = self.core_member.now
        if now - self.beat_at >= BEAT or any(order.round > self.round for order in self.orders):
            self.beat()
        self.membership.expire(now)
        for key, peer in {**self.peers, **self.membership.replicas()}.items():
            if peer.have < self.core_member.entry.position and peer.sent_at and now - peer.sent_at >= peer.patience():
                self.full(key, peer)
        late = [order for order in self.orders if now - order.came > WAIT]
        if late:
            self.orders = [order for order in self.orders if now - order.came <= WAIT]
            for order in late:
                # A repeat of what may be in force already must not be called refused.
                self.tell(
                    order,
                    Outcome.NOT_LEADER
                    if order.kind == OrderKind.READ
                    else Outcome.UNKNOWN
                    if order.taken_up
                    else Outcome.REJECTED,
                )
        self.settle()
        self.watch_strength()

    def beat(self):
        core_member = self.core_member
        self.start_round()
        for (_, incarnation), peer in self.peers.items():
            core_member.effects.append(
                SendMessage(peer.ip, core_member.signed("beat", incarnation, s=self.round, c=self.in_force))
            )
        self.weigh()

    def start_round(self):
        self.round += 1
        self.beat_at = self.core_member.now
        self.rounds[self.round] = self.core_member.now
        if len(self.rounds) > MOST_ROUNDS:
            del self.rounds[next(iter(self.rounds))]

    def full(self, key, peer):
        core_member, entry = self.core_member, self.core_member.entry
        peer.tries = peer.tries + 1 if peer.sent == entry.position else 1
        peer.sent, peer.sent_at = entry.position, core_member.now
        row, base = self.packed(peer, entry), self.bases.get(peer.have)
        versions = entry.versions.difference(base or VersionHistory(), tuple(peer.have) if base else NOTHING)
        peer.size += versions_size(versions)
        fields = {"s": self.round, "c": self.in_force, "x": row, "v": versions}
        core_member.effects.append(SendMessage(peer.ip, core_member.signed("full", key[1], **fields)))

    def packed(self, peer, entry):
        """The entry as this member needs it: without its body, with what changed of it, or whole."""
        peer.size = 0
        if peer.mark == entry.body_digest:
            return entry.encode(include_body=False)
        if peer.tries <= DIFFERENCES and (made := self.core_member.bodies.difference(peer.mark, entry)):
            row = entry.encode(include_body=False)
            row[BODY], peer.size = made
            return row
        peer.size = len(entry.body)
        return entry.encode()

    def acked(self, message):
        key = message["n"], message["i"]
        peer = self.peers.get(key)
        if peer is None and (learner := self.membership.learner(key)) is not None:
            peer = learner.replica
        if peer is None:
            return
        if message["s"] > self.round:
            return
        peer.round = max(peer.round, message["s"])
        peer.heard_at, peer.leaving = self.core_member.now, bool(message.get("z"))
        have, entry = tuple(message["e"]), self.core_member.entry
        if have >= peer.have:
            peer.have, peer.mark = have, message["d"]
        now = self.core_member.now
        waited = now - peer.sent_at >= peer.patience() if peer.sent == entry.position else not peer.busy(now)
        if peer.have < entry.position and waited:
            self.full(key, peer)
        self.weigh()
        self.settle()

    def weigh(self):
        """The newest round that a majority answered, this leader being one of them."""
        state = self.core_member.standing()
        for number in sorted(self.rounds, reverse=True):
            if state.has_quorum({self.own, *(key for key, peer in self.peers.items() if peer.round >= number)}):
                self.confirmed, self.confirmed_at = number, self.rounds[number]
                self.rounds = {later: at for later, at in self.rounds.items() if later > number}
                break

    # Entries.

    def propose(self, **changes):
        core_member = self.core_member
        core_member.entry = entry = core_member.entry.next_entry(
            **{"previous_members": None, **changes, "term": self.term}
        )
        core_member.version += 1
        core_member.bodies.keep(entry)
        self.bases[entry.position] = entry.versions
        if len(self.bases) > MOST_BASES:
            del self.bases[next(iter(self.bases))]
        old, self.peers = self.peers, {}
        learners = self.membership.replicas()
        for name, (ip, incarnation) in entry.all_members().items():
            if name != core_member.me:
                key = name, incarnation
                self.peers[key] = peer = old.get(key) or learners.get(key) or Peer(ip)
                peer.ip = ip
        self.start_round()
        for key, peer in self.peers.items():
            if peer.busy(core_member.now):
                continue  # it gets the newest as soon as it answers
            if old or len(entry.body) + ROW.size * len(entry.versions.rows) < SMALL:
                self.full(key, peer)
            else:  # what it holds is not known yet, and may be all but the stamp
                core_member.effects.append(
                    SendMessage(peer.ip, core_member.signed("beat", key[1], s=self.round, c=self.in_force))
                )
        self.weigh()
        self.settle()

    def settle(self):
        """Looks whether the entry is in force now; if so, the next one may follow."""
        core_member, entry = self.core_member, self.core_member.entry
        if self.in_force != entry.index:
            known = {key for key, peer in self.peers.items() if peer.have == entry.position}
            safe = core_member.safe.entry
            if safe is not None and safe.position == entry.position:
                known.add((core_member.me, core_member.incarnation))
            if not entry.has_quorum(known):
                return self.answer()
            self.in_force = entry.index
            if self.settled_at is None:
                self.settled_at = core_member.now
            core_member.commit(entry)
            self.answer()
            if not self.go_on():
                self.beat()  # tells the others what is in force
        else:
            self.answer()
            self.go_on()

    def answer(self):
        done = [
            order
            for order in self.orders
            if order.taken_up and order.index <= self.in_force and order.round <= self.confirmed and self.in_force
        ]
        if done:
            self.orders = [order for order in self.orders if order not in done]
            for order in done:
                self.tell(order, order.verdict)

    def go_on(self):
        """The next entry, if one is wanted: orders and members take turns; a base that is done with goes."""
        if not self.settled or self.leaves_by is not None:
            return False
        orders = [order for order in self.orders if not order.taken_up] if self.open() else []
        change = (
            self.next_step()
            if not orders or self.served or self.core_member.entry.previous_members is not None
            else None
        )
        if change is not None:
            self.served = False
            self.propose(members=change.members, previous_members=change.base, target_size=change.target)
        elif orders:
            self.served = True
            self.carry(orders)
        elif self.core_member.entry.previous_members is not None:
            self.propose()
        elif (zone := self.recollection.lapsed(self.core_member.entry.evacuations, self.core_member.now)) is not None:
            zones, held = opened(self.core_member.entry.evacuated_zones, self.core_member.entry.evacuations, zone)
            self.propose(evacuated_zones=zones, evacuations=held)
        else:
            return False
        return True

    # Orders.

    def open(self):
        """Guards against an acknowledgement by a core that is still too small to bear a loss."""
        entry = self.core_member.entry
        return (
            entry.revision > 0
            or bool(entry.evacuated_zones)
            or len(entry.members) > 2 * self.core_member.survive
            or self.core_member.now - self.began >= FOUNDING
        )

    def order(self, told):
        if len(self.orders) >= MOST_ORDERS or not proper(told, self.core_member.entry):
            self.core_member.effects.append(OrderEnded(told.ref, Outcome.REJECTED, None))
            return
        order = Waiting(told, self.core_member.now)
        first = all(other.taken_up for other in self.orders)  # none waits that might turn round what this one finds
        self.orders.append(order)
        entry = self.core_member.entry
        if (
            told.kind == OrderKind.READ
            or not self.settled
            and self.in_force
            and first
            and entry is self.after(entry, order)
        ):
            order.verdict = verdict_on(entry, order)
            self.note(order, entry, entry)
            self.confirm([order], 0 if told.kind == OrderKind.READ else entry.index)
        else:
            self.go_on()

    def after(self, state, order):
        soon = order.kind in ZONE_ORDERS and self.recollection.soon(order.kind, order.body, self.core_member.now)
        return after(state, order, soon)

    def note(self, order, was, state):
        if order.kind in ZONE_ORDERS:
            now, changed = self.core_member.now, state is not was
            self.recollection.note(order.kind, order.body, now, state.evacuated_zones, changed)

    def confirm(self, orders, index):
        """They change nothing: answered once a majority has answered a round that began behind them. So is a CONFLICT: a
        leader that is deposed unawares may hold what never comes into force, and the order that it denies may yet."""
        for order in orders:
            order.index, order.round = index, self.round + 1
        if self.core_member.now - self.beat_at >= SOON:
            self.beat()
            self.answer()

    def carry(self, orders):
        """One entry for all that wait."""
        was = state = self.core_member.entry
        moot, carried, turned = [], [], {}
        for order in orders:
            # Guards against an order that is acknowledged and never was in force: what turns another one round waits.
            if order.kind != OrderKind.CONFIGURE and turned.setdefault(order.body, order.kind) != order.kind:
                break
            order.verdict = verdict_on(state, order)
            new = self.after(state, order)
            self.note(order, state, new)
            (moot if new is state and state is was else carried).append(order)
            state = new
        if state is not was:
            for order in carried:
                order.index = was.index + 1
            self.propose(
                revision=state.revision,
                body=state.body,
                evacuated_zones=state.evacuated_zones,
                evacuations=state.evacuations,
                versions=state.versions,
            )
        if moot:
            self.confirm(moot, 0)

    # Members.

    def knocked(self, ip, message):
        """One that is no member asks to be taken in: it becomes a learner, and is sent what it lacks."""
        core_member, name, incarnation = self.core_member, message["n"], message["i"]
        if not self.membership.admits(name, incarnation):
            if incarnation in self.membership.retired and self.excludes(name, incarnation):
                # Guards a newcomer that was cut off before it heard that it had been taken in, and is out again by now.
                core_member.hint(ip, out=incarnation)
            return
        if message["x"] != self.password:
            return core_member.hint(ip)
        learner = self.membership.learner((name, incarnation))
        if learner is None:
            learner = Learner(name, incarnation, bool(message.get("f")), Peer(ip))
            self.membership.enrol(learner)
        learner.replica.ip, learner.replica.heard_at = ip, core_member.now
        if not learner.replica.sent_at:
            self.full(learner.key, learner.replica)
        self.go_on()

    def next_step(self):
        return self.membership.next_step(self.core_member.entry, self.peers, self.confirmed_at, self.settled_at)

    @property
    def excludes_itself(self):
        """Whether it is agreed that this leader is no member: it was elected while the change was under way."""
        return self.excludes(*self.own)

    def excludes(self, name, incarnation):
        """Whether it is agreed that this incarnation is no member: it may give up what it promised."""
        entry, ruled = self.core_member.entry, self.core_member.committed
        if not self.in_force or self.quorum_confirmed_at is None:
            return False
        return not ruled.has_member(name, incarnation) and not entry.has_member(name, incarnation)

    # What operators are told.

    def silent(self, peer):
        return self.confirmed_at - max(peer.heard_at, self.settled_at or self.began) >= SILENCE

    def report(self):
        """A `MemberStatus` for each member and learner."""
        silent = {key for key, peer in self.peers.items() if self.silent(peer)}
        return self.membership.report(self.core_member.entry, self.peers, silent)

    def strength(self, now):
        """The `CoreStrength` at this moment."""
        wanted = floor(self.core_member.entry, self.core_member.survive)
        full_for = None if self.full_since is None else max(0, now - self.full_since)
        return CoreStrength(wanted, self.report(), full_for)

    def watch_strength(self):
        """Full strength: as many members as are wanted, all of them answering and staying, no change under way."""
        entry = self.core_member.entry
        staying = all(not self.silent(peer) and not peer.leaving for peer in self.peers.values())
        enough = len(entry.members) >= floor(entry, self.core_member.survive)
        if not (
            self.settled and entry.previous_members is None and not self.membership.learners and staying and enough
        ):
            self.full_since = None
        elif self.full_since is None:
            self.full_since = self.core_member.now


def proper(order, entry):
    """Guards against an entry that its receivers would turn away at their doors for ever."""
    kind, body = order.kind, order.body
    if kind == OrderKind.CONFIGURE:
        return (
            type(body) in (tuple, list)
            and len(body) == 2
            and type(body[0]) is int
            and 0 < body[0] < 1 << 53
            and type(body[1]) is bytes
            and len(body[1]) <= MOST_BODY
        )
    if kind in ZONE_ORDERS:
        return (
            type(body) is str
            and 0 < len(body) <= MOST_ZONE
            and (
                kind != OrderKind.EVACUATE
                or len(entry.evacuated_zones) < MOST_NAMES // 2
                or body in entry.evacuated_zones
            )
        )
    return kind == OrderKind.READ


def verdict_on(state, order):
    """How an order ends if this state, or the one that it makes of it, comes into force."""
    denied = order.kind == OrderKind.CONFIGURE and state.versions.denies(order.body[0], order.digest)
    return Outcome.CONFLICT if denied else Outcome.DONE


def after(state, order, soon=False):
    """The state with an order carried out; the same one if that changes nothing. `soon`: it may be a repeat."""
    if order.kind == OrderKind.CONFIGURE:
        rev, body = order.body
        versions = state.versions.with_version(rev, order.digest)
        if rev > state.revision:
            return state.next_entry(revision=rev, body=body, versions=versions)
        return state if versions is state.versions else state.next_entry(versions=versions)
    change = emptied if order.kind == OrderKind.EVACUATE else taken_back
    zones, held = change(state.evacuated_zones, state.evacuations, order.body, soon)
    return (
        state
        if zones is state.evacuated_zones and held is state.evacuations
        else state.next_entry(evacuated_zones=zones, evacuations=held)
    )
