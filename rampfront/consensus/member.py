"""One member of the core: it keeps a state on its disk, votes, and follows a leader or is one (`leader.py`).

The agreement is Raft with a log of one entry: each entry is the whole state, so the newest one holds all before it.
An entry's place is (term, index). What must not be forgotten (incarnation, term, vote, entry) goes to disk with
every change, and no answer that rests on it leaves before it is there. `take(now, told)` returns the effects, to be
carried out in order; nothing here reads a clock or does I/O. Times are ns of a steady clock.
"""

from dataclasses import replace

import cbor2

from . import validation as door
from .body_history import BodyHistory
from .errors import RemoteProtocolError
from .evacuations import ACK_WITHIN
from .events import (
    MessageReceived,
    Order,
    OrderEnded,
    Outcome,
    RecordStored,
    SendMessage,
    Shutdown,
    StateCommitted,
    StoreRecord,
    Tick,
)
from .leader import Leadership
from .state import MOST_NAMES, State, addresses, decode_state, digest
from .versions import VersionHistory, content_digest, joined, unpacked

MS, SEC = 10**6, 10**9

SILENT = 650 * MS  # a leader heard from within this time is a live one: no votes against it
PATIENCE = 700 * MS, 1250 * MS  # silence behind which a member asks for votes
AGAIN = 400 * MS, 900 * MS  # until it asks anew
START = 60 * MS, 360 * MS  # the same behind a start: where a leader is alive, nobody heeds it
HANDED = 20 * MS, 300 * MS  # the same after a leader said that it stops
NEXT_IN_LINE = 150 * MS, 450 * MS  # the same where it named another one to follow it
YIELD = 3 * SEC  # between two times that one which asks gives way to another
REPEAT = 140 * MS  # until an unanswered question is sent again
KNOCK, SEEK = 280 * MS, 1400 * MS  # gaps of asking to be taken in, and of a diskless one's asking who leads
OUTLIVED = 3 * KNOCK  # for which one that lost its disk must have knocked before the other of two goes on alone
RETRY = 200 * MS  # until a failed store is tried again
FORGET = 4 * SEC  # a leader that nothing was heard of for so long is unknown
RECORD = 1  # form of the record
LEARNER, FOLLOWER, ASKING, RUNNING, LEADER = "learner", "follower", "asking", "running", "leader"


def with_versions(state, versions):
    """The same entry, with a history that holds its own number in any case."""
    if state.revision and versions.digest_of(state.revision) is None:
        versions = versions.with_version(state.revision, content_digest(state.body))
    return replace(state, versions=versions)


class Safe:
    """What is on disk for sure."""

    __slots__ = "version", "term", "entry"

    def __init__(self, version, term, entry):
        self.version, self.term, self.entry = version, term, entry


class Member:
    """`seeds`: ips, may be set anew at any time. `record`: what the disk held. `draw` must be seeded by chance that
    a restart does not repeat (incarnations come from it)."""

    def __init__(self, me, ip, seeds, disk, first, record, draw, survive, now, ack_within=ACK_WITHIN):
        self.me, self.ip, self.seeds, self.disk, self.draw, self.survive = me, ip, list(seeds), disk, draw, survive
        self.ack_within = ack_within  # ns for which callers repeat an order
        self.now, self.effects = now, []
        self.incarnation = self.term = 0
        self.vote = None  # (name, incarnation) voted for in `term`
        self.entry = self.committed = None  # the newest entry; the newest one known to be in force
        self.role, self.leadership, self.leader_ip = LEARNER, None, None
        self.leader_at = self.heard_at = -FORGET  # last word of it; last beat of a live one in this term
        self.due_at = now + self.between(*START)
        self.asked_at = self.knocked_at = self.yielded_at = self.sought_at = -YIELD
        self.votes = set()
        self.password = 0  # what the leader wants to hear with a knock: no old knock has it
        self.met = []  # ips of members, as one of them told
        self.leaving = False
        self.handed = False  # whether the leader that left told this one to follow it
        self.widow, self.knocker, self.knocker_at = None, None, 0  # see `outlive`
        self.first = first and record is None  # counts towards the wanted size of the core
        self.version, self.under_way, self.retry_at = 0, None, 0
        self.born = 1 if record is None else 0  # version with which the incarnation goes to disk
        self.held = {}  # answers that wait for the disk: (ip, kind) to (version, message); emptied by `RecordStored`
        self.safe = Safe(0, 0, None)
        self.bodies = BodyHistory()  # that differences may rest on
        if record is not None:
            self.recall(record)
        elif disk:
            self.incarnation = draw.getrandbits(48) | 1
            if first and seeds and seeds[0] == ip:
                self.entry = State(1, 1, members={me: (ip, self.incarnation)}, body_digest=digest(b""), target_size=1)
                self.term = 1
                self.due_at = now
            self.version = 1
        if self.entry is not None:
            self.bodies.keep(self.entry)
            self.role = FOLLOWER

    # What the caller reads.

    @property
    def is_leader(self):
        return self.leadership is not None

    @property
    def quorum_confirmed_at(self):
        """ns: all that was acknowledged anywhere before then is contained in `ruled`. None unless this one leads."""
        return self.leadership.quorum_confirmed_at if self.leadership is not None else None

    def is_leadership_expired(self, now):
        """Whether it leads without a majority behind it: the next `take`, of whatever, makes it give way."""
        return self.leadership is not None and self.leadership.lost(now)

    # Inputs.

    def take(self, now, told):
        self.now, self.effects = now, []
        if self.is_leadership_expired(now):
            self.step_down()
        if told is None:
            if self.committed is not None:
                self.effects.append(StateCommitted(self.committed))
        else:
            INPUTS[type(told)](self, told)
        if self.leadership is not None and self.leadership.may_give_way:
            self.step_down()
        elif self.leadership is not None and self.leadership.excludes_itself:
            self.step_down()
            self.turned_out(None)
        if self.version > self.safe.version and self.under_way is None and now >= self.retry_at:
            self.under_way = Safe(self.version, self.term, self.entry)
            self.effects.append(StoreRecord(self.version, self.record()))
        return self.effects

    def on_tick(self, _):
        if not self.disk:
            known = self.leader_ip is not None and self.now - self.leader_at < FORGET
            if not known:
                self.leader_ip = None
            if self.now - self.knocked_at >= (SEEK if known else KNOCK):
                self.knocked_at = self.now
                self.spread({"k": "seek"}, [self.leader_ip] if known else self.known())
            return
        if self.leadership is not None:
            return self.leadership.tick()
        if self.leader_ip is not None and self.now - self.leader_at > FORGET:
            self.leader_ip = None
        if not self.belongs():
            return self.knock()
        if self.leaving:
            return
        if self.now >= self.due_at:
            self.ask()
        elif self.role in (ASKING, RUNNING) and self.now - self.asked_at >= REPEAT:
            self.canvass()
        self.seek()

    def on_heard(self, told):
        kind, message = door.check(told.message), told.message
        if not self.disk:
            if kind == "at":
                self.on_at(told.ip, message)
            return
        if message.get("j", self.incarnation) != self.incarnation:
            # Meant for one that lost its disk: this one has promised nothing. Yet it learns who leads.
            if kind in ("beat", "full") and not self.belongs() and message["t"] >= self.term:
                self.leader_ip, self.leader_at = told.ip, self.now
            return
        MESSAGES[kind](self, told.ip, message)

    def on_stored(self, told):
        done, self.under_way = self.under_way, None
        if done is None or done.version != told.version:
            self.under_way = done
            return
        if not told.succeeded:
            self.retry_at = self.now + RETRY
            return
        self.safe = done
        for key, (version, message) in list(self.held.items()):
            if version <= done.version:
                del self.held[key]
                self.answer(key[0], message)
            elif message["k"] == "ack" and done.term >= message["t"]:
                # Guards against a storm on a slow disk: each new entry would push back the word of all those stored. An
                # ack names the entry that is on disk, so it is true of this one, and is said again of the next.
                self.answer(key[0], message)
        if self.role == RUNNING and done.term == self.term:
            self.votes.add((self.me, self.incarnation))
            self.asked_at = -SEC
            self.canvass()
            self.count()
        if self.leadership is not None:
            self.leadership.settle()

    def on_order(self, told):
        if self.leadership is not None and not self.leaving:
            self.leadership.order(told)
        else:
            self.effects.append(
                OrderEnded(told.ref, Outcome.NOT_LEADER, None, self.leader_ip if self.leader_ip != self.ip else None)
            )

    def on_leave(self, _):
        self.leaving = True
        if self.leadership is not None:
            self.leadership.leave()

    # Disk.

    def record(self):
        entry, ruled = self.entry, self.committed
        return cbor2.dumps(
            [
                RECORD,
                self.incarnation,
                self.term,
                list(self.vote) if self.vote else None,
                list(ruled.position) if ruled else None,
                entry.encode() if entry else None,
                [] if entry and self.belongs() else self.met,
                entry.versions.packed() if entry else b"",
                self.me,
            ]
        )

    def recall(self, record):
        """A record that reads well by its checksum but not here is a fault to be seen, not a lost disk."""
        try:
            form, self.incarnation, self.term, vote, ruled, entry, self.met, *more = cbor2.loads(record)
        except (cbor2.CBORDecodeError, EOFError, TypeError, ValueError):
            raise RemoteProtocolError("record that does not read") from None
        versions, owner = more[:1], more[1:]  # which records of before lack
        if form != RECORD:
            raise RemoteProtocolError("record of another form")
        if owner and owner[0] != self.me:
            raise RemoteProtocolError(
                f"record of {str(owner[0])[:80]}"
            )  # one memory for two members would be two votes
        self.vote = tuple(vote) if vote else None
        self.entry = decode_state(entry) if entry else None
        if self.entry is not None:
            self.entry = with_versions(self.entry, unpacked(versions[0]) if versions else VersionHistory())
        if ruled and self.entry is not None and tuple(ruled) == self.entry.position:
            self.committed = self.entry
        self.safe = Safe(0, self.term, self.entry)

    def hold(self, ip, message):
        """Send it as soon as all that this member knows now is on disk."""
        if self.version <= self.safe.version:
            return self.answer(ip, message)
        if len(self.held) < 4 * MOST_NAMES or (ip, message["k"]) in self.held:
            self.held[ip, message["k"]] = self.version, message

    def answer(self, ip, message):
        if message["k"] == "ack":
            entry = self.safe.entry
            message = {
                **message,
                "e": tuple(entry.position) if entry else (0, 0),
                "d": entry.body_digest if entry else b"",
            }
            if self.leaving:
                message["z"] = 1
        self.effects.append(SendMessage(ip, message))

    # Standing.

    def between(self, low, high):
        return self.draw.randrange(low, high)

    def known(self):
        """All ips worth asking, without the own."""
        ips = dict.fromkeys(self.seeds[:8])
        ips.update(dict.fromkeys(addresses(self.entry) if self.entry is not None else ()))
        ips.update(dict.fromkeys(self.met))
        if self.leader_ip is not None:
            ips[self.leader_ip] = None
        ips.pop(self.ip, None)
        return list(ips)

    def spread(self, message, ips):
        self.effects.extend(SendMessage(ip, message) for ip in ips if ip is not None and ip != self.ip)

    def belongs(self):
        return self.entry is not None and self.entry.has_member(self.me, self.incarnation)

    def standing(self):
        """The entry by whose members this one seeks a majority. The base is done with once it is in force: a majority
        of the base and of the members hold it, so none can win any more by the base alone."""
        entry, ruled = self.entry, self.committed
        if self.widow == entry.position:
            return entry.next_entry(members={self.me: entry.members[self.me]}, previous_members=None)
        if entry.previous_members is None:
            return entry
        return (
            entry.next_entry(previous_members=None) if ruled is not None and ruled.position == entry.position else entry
        )

    def signed(self, kind, incarnation, **fields):
        return {"k": kind, "n": self.me, "i": self.incarnation, "j": incarnation, "t": self.term, **fields}

    def recent(self):
        """Whether there is a live leader as far as this one can tell."""
        return self.leadership is not None or self.leader_ip is not None and self.now - self.heard_at < SILENT

    def move(self, term):
        """Into a newer term, as a follower."""
        self.term, self.vote, self.leader_ip = term, None, None
        self.version += 1
        if self.leadership is not None:
            self.step_down()
        self.follow()

    def follow(self):
        self.role, self.handed = FOLLOWER, False
        self.due_at = self.now + self.between(*PATIENCE)

    def step_down(self):
        """A leader that cannot lead says so: its followers need not wait until they miss it."""
        leadership, self.leadership, self.leader_ip = self.leadership, None, None
        self.heard_at = -FORGET
        leadership.close()
        self.follow()

    def commit(self, entry):
        if self.committed is None or entry.index > self.committed.index:
            self.committed = entry
            self.effects.append(StateCommitted(entry))

    # Being taken in.

    def knock(self):
        # Guards against a member that is taken in before it can remember who it is.
        if self.safe.version >= self.born and self.now - self.knocked_at >= KNOCK:
            self.knocked_at = self.now
            fresh = self.leader_ip is not None and self.now - self.leader_at < SEC
            message = {"k": "knock", "n": self.me, "i": self.incarnation, "x": self.password}
            if self.first:
                message["f"] = 1
            self.spread(message, [self.leader_ip] if fresh else self.known())

    def seek(self):
        """Guards a member that was away while all whom it knows as members were replaced: it asks the seeds too. If it is
        no member any more, whoever leads says so."""
        lost = self.now - self.heard_at > FORGET and self.leader_ip is None
        if lost and self.role in (ASKING, RUNNING) and self.now - self.knocked_at >= SEEK:
            self.knocked_at = self.now
            self.spread({"k": "seek", "n": self.me, "i": self.incarnation}, self.known())

    def on_knock(self, ip, message):
        if self.leadership is not None:
            self.leadership.knocked(ip, message)
        elif self.entry is not None:
            self.outlive(message)
            self.hint(ip)

    def outlive(self, message):
        """Guards a core of two against one lost disk: neither could ever agree to anything without the other, so this one
        holds all that was agreed, and the old incarnation agrees to nothing any more. It goes on by itself and takes the
        new one in. Only behind several knocks, as a late one proves nothing, and where no leader is heard."""
        entry, name, who = self.entry, message["n"], (message["n"], message["i"])
        both = entry.all_members()
        if (
            self.recent()
            or len(both) != 2
            or name == self.me
            or name not in both
            or entry.has_member(*who)
            or entry.members.get(self.me, (0, 0))[1] != self.incarnation
        ):
            self.knocker = None
        elif self.knocker != who:
            self.knocker, self.knocker_at = who, self.now
        elif self.now - self.knocker_at >= OUTLIVED:
            self.widow = entry.position

    def on_seek(self, ip, message):
        if self.entry is None:
            return
        who = message.get("n", ""), message.get("i", 0)
        if who[0] and self.leadership is not None and self.leadership.excludes(*who):
            self.hint(ip, out=who[1])
        else:
            self.hint(ip)

    def hint(self, ip, out=0):
        """Tells who leads. `out`: the incarnation of the receiver that the leader knows to be no member, or 0."""
        leader = self.ip if self.leadership is not None else self.leader_ip if self.recent() else None
        password = self.leadership.password if self.leadership is not None else 0
        message = {"k": "at", "t": self.term, "l": leader or "", "m": addresses(self.entry), "x": password, "o": 0}
        if out:
            message.update(o=1, j=out)
        self.effects.append(SendMessage(ip, message))

    def on_at(self, ip, message):
        """A hint of who leads: for those who are no members, and those whom the leader took out."""
        if message["m"] and not self.belongs() and message["m"] != self.met:
            self.met = message["m"]
            # Guards against a member that was taken out, is killed before it is taken in, and then knows nobody.
            self.version += self.disk
        if message["o"] and message["t"] >= self.term and ip == message["l"] and self.disk and not self.belongs():
            self.turned_out(ip)
        elif message["l"] and message["t"] >= self.term and (not self.disk or not self.belongs()):
            self.leader_ip, self.leader_at = message["l"], self.now
            if not self.disk:
                self.term = message["t"]
            elif message["x"] and message["x"] != self.password and ip == message["l"]:
                self.password, self.knocked_at = message["x"], -SEC
                self.knock()
        elif message["o"] and message["t"] >= self.term and self.disk and not self.recent():
            self.turned_out(message["l"])
        elif message["l"] not in ("", ip) and not self.recent() and self.now - self.sought_at >= REPEAT:
            self.sought_at = self.now
            self.spread({"k": "seek", "n": self.me, "i": self.incarnation}, [message["l"]])

    def turned_out(self, leader):
        """The leader says that this one is no member any more, as is agreed. It comes back as another: nothing that its
        old incarnation promised is at stake, since that one never speaks again."""
        self.incarnation, self.vote, self.first = self.draw.getrandbits(48) | 1, None, False
        self.role, self.leader_ip, self.leader_at, self.knocked_at = LEARNER, leader, self.now, -SEC
        self.held.clear()
        self.version += 1
        self.born = self.version

    # Elections.

    def ask(self):
        """Asks whether a vote could be won, before the term is touched: one that was cut off disturbs nobody."""
        self.role, self.votes, self.handed = ASKING, {(self.me, self.incarnation)}, False
        self.leader_ip = None
        self.due_at = self.now + self.between(*AGAIN)
        self.asked_at = -SEC
        self.canvass()
        self.count()

    def canvass(self):
        self.asked_at = self.now
        if self.role == RUNNING and (self.me, self.incarnation) not in self.votes:
            return  # its own vote is not on disk yet
        kind, term = ("ask", self.term + 1) if self.role == ASKING else ("run", self.term)
        for name, (ip, incarnation) in self.standing().all_members().items():
            if name != self.me and (name, incarnation) not in self.votes:
                message = self.signed(kind, incarnation, e=tuple(self.entry.position))
                message["t"] = term
                if self.handed:
                    message["h"] = 1
                self.effects.append(SendMessage(ip, message))

    def count(self):
        if not self.standing().has_quorum(self.votes):
            return
        if self.role == ASKING:
            self.stand()
        elif self.role == RUNNING and (self.me, self.incarnation) in self.votes:
            self.role, self.leader_ip, self.leader_at = LEADER, self.ip, self.now
            self.leadership = Leadership(self)
            self.leadership.begin()

    def stand(self):
        """Into a newer term as a candidate. Others are asked for their votes once the own one is on disk."""
        self.role, self.votes = RUNNING, set()
        self.term, self.vote = self.term + 1, (self.me, self.incarnation)
        self.version += 1
        self.due_at = self.now + self.between(*AGAIN)

    def on_ask(self, ip, message):
        mine = self.entry.position if self.entry is not None else (0, 0)
        if self.leadership is not None and self.leadership.excludes(message["n"], message["i"]):
            self.hint(ip, out=message["i"])
        elif not self.recent() and message["t"] > self.term and tuple(message["e"]) >= mine:
            reply = self.signed("may", message["i"])
            reply["t"] = message["t"]
            self.effects.append(SendMessage(ip, reply))
            self.give_way((tuple(message["e"]), message["n"]) > (mine, self.me))
        elif message["t"] <= self.term:
            self.effects.append(SendMessage(ip, {"k": "nay", "t": self.term}))

    def give_way(self, better):
        """Guards against two that ask at once, split the votes and lose a second. Now and then only: the other one may
        be deaf."""
        if better and self.role == ASKING and self.now - self.yielded_at > YIELD:
            self.yielded_at = self.now
            self.role, self.due_at = FOLLOWER, self.now + self.between(*AGAIN)

    def on_may(self, ip, message):
        if self.role == ASKING and message["t"] == self.term + 1:
            self.votes.add((message["n"], message["i"]))
            self.count()

    def on_run(self, ip, message):
        term, who = message["t"], (message["n"], message["i"])
        if term < self.term:
            self.effects.append(SendMessage(ip, {"k": "nay", "t": self.term}))
            return
        if self.recent() and not message.get("h"):
            return  # guards against one that was cut off and would depose a leader that works
        if term > self.term:
            self.move(term)
        mine = self.entry.position if self.entry is not None else (0, 0)
        if self.vote is None and tuple(message["e"]) >= mine:
            self.vote = who
            self.version += 1
        if self.vote == who:
            self.follow()
            self.hold(ip, self.signed("aye", message["i"]))

    def on_aye(self, ip, message):
        if self.role == RUNNING and message["t"] == self.term:
            self.votes.add((message["n"], message["i"]))
            self.count()

    def on_nay(self, ip, message):
        if message["t"] > self.term and self.belongs():
            self.move(message["t"])

    # Following.

    def led(self, ip, message):
        """Whether the sender leads now; a newer term is taken up."""
        term = message["t"]
        if term < self.term:
            self.effects.append(SendMessage(ip, {"k": "nay", "t": self.term}))
            return False
        if self.leadership is not None and term == self.term:
            raise RemoteProtocolError("two leaders of one term")
        if term > self.term:
            self.move(term)
        self.follow()
        self.widow = self.knocker = None
        self.leader_ip, self.leader_at, self.heard_at = ip, self.now, self.now
        return True

    def on_beat(self, ip, message):
        if not self.led(ip, message):
            return
        self.heed(message)
        reply = self.signed("ack", message["i"], s=message["s"])
        if self.safe.term >= self.term:
            self.answer(ip, reply)
        else:
            self.hold(ip, reply)

    def on_full(self, ip, message):
        state = self.received(message)
        if state is not None and state.term != message["t"]:
            raise RemoteProtocolError("an entry of another term")
        if not self.led(ip, message):
            return
        if state is not None and (self.entry is None or state.position > self.entry.position):
            self.entry = state
            self.bodies.keep(state)
            self.version += 1
        self.heed(message)
        self.hold(ip, self.signed("ack", message["i"], s=message["s"]))

    def received(self, message):
        """The checked entry of a message, or None if it rests on a body or versions that this one does not hold."""
        held = [entry for entry in (self.entry, self.safe.entry) if entry is not None]
        row = self.bodies.filled(message["x"])
        state = decode_state(row, [entry.body for entry in held]) if row else None
        if state is None:
            return None
        if "v" in message:
            versions = joined(message["v"], {entry.position: entry.versions for entry in held})
        else:  # from a leader of before, which keeps none
            versions = held[0].versions if held else VersionHistory()
        return None if versions is None else with_versions(state, versions)

    def heed(self, message):
        """What the leader says is in force."""
        entry = self.entry
        if entry is not None and entry.term == self.term and entry.index <= message["c"]:
            self.commit(entry)

    def on_ack(self, ip, message):
        if self.leadership is not None and message["t"] == self.term:
            self.leadership.acked(message)
        elif message["t"] > self.term and self.belongs():
            self.move(message["t"])

    def on_quit(self, ip, message):
        if message["t"] == self.term and self.leadership is None and self.leader_ip == ip:
            self.leader_ip, self.heard_at = None, -FORGET
            self.due_at = self.now + self.between(*(NEXT_IN_LINE if message.get("h") == 0 else HANDED))
            if message.get("h") and self.belongs() and not self.leaving:
                self.handed = True
                self.stand()


INPUTS = {
    Tick: Member.on_tick,
    MessageReceived: Member.on_heard,
    RecordStored: Member.on_stored,
    Order: Member.on_order,
    Shutdown: Member.on_leave,
}
MESSAGES = {
    "knock": Member.on_knock,
    "seek": Member.on_seek,
    "at": Member.on_at,
    "ask": Member.on_ask,
    "may": Member.on_may,
    "run": Member.on_run,
    "aye": Member.on_aye,
    "nay": Member.on_nay,
    "beat": Member.on_beat,
    "full": Member.on_full,
    "ack": Member.on_ack,
    "quit": Member.on_quit,
}
