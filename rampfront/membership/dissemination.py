"""The word of the core to every node, and the roster of the nodes. No I/O, no clock.

Every node hails the leader of the core, and tells what it holds; the leader answers with its word: how long ago a
majority stood behind it, and whatever the node lacks (state, servers, roster). Whoever is not the leader answers with
what it was told itself, so that a node which is cut off from the core alone still learns of it through the others. The
word's age is counted from the moment at which the node asked, by its own steady clock: it is never younger than told.

`Disseminator` decides whom to ask, what to answer and what is news. Everything newer goes by number alone: states by the
core's index, servers and roster by a number in which the leader's term comes first. So nothing goes back, whatever is
late, repeated or out of order. What changed is told as a difference to what the asker holds (`deltas.py`), and whole where
that is not known. A state that could not be taken brings no age: what is held must be as young as the word says.
"""

from .deltas import DeltaHistory, DeltaMismatchError

MS, SEC = 10**6, 10**9

HEARTBEAT_INTERVAL_NS = 800 * MS  # gap of a node's hails to the leader
HURRY, RUSH = 150 * MS, 50 * MS  # and while the last hails went unanswered, or it never had a word
TIRED = 400 * MS  # gap of the hails of one that never had a word, in the end: guards seeds while there is no leader
DEAF = 1300 * MS  # a leader that has not answered for so long: others are asked too
PEER_TIMEOUT_NS = 2400 * MS  # a node that the leader has not heard for so long leaves the roster
VERSIONS_PER_TERM = 1 << 20  # numbers of one leader's term
# Gap of rosters in which nobody left: at most, and for each node they go to. Guards links against one for each that
# comes.
PACE, EACH = SEC, MS
# Wholes that a leader gives away in a tick, at most, and for each of ROWS nodes, as they grow with the fleet; and those of another
# node. Guards links against all that start at once.
MAX_FULL_TRANSFERS, ROWS, FEW = 64, 6000, 8
ASKED = 2  # hails to the same node of one that never had a word: guards links against the whole from each seed
LATE = 3 * SEC  # for which a frame of a life that is over may come behind those of the next one
FULL_TRANSFER_TIMEOUT_NS, FULL_TRANSFER_NS_PER_BYTE = (
    300 * MS,
    8_000,
)  # a whole is not sent again for so long, and ns for each byte of its body


class Peer:
    """A node as the leader hears it."""

    __slots__ = (
        "name",
        "ip",
        "zone",
        "front",
        "ready",
        "heard",
        "asked",
        "index",
        "servers",
        "roster",
        "life",
        "former_life",
        "began",
    )

    def __init__(self, name, ip):
        self.name, self.ip = name, ip
        self.zone = self.front = ""
        self.ready, self.heard = False, 0
        self.asked = 0  # when its last hail was sent, by its own clock
        self.life = self.former_life = None  # of the process at this address
        self.began = 0  # when this life was first heard
        self.index = self.servers = self.roster = 0

    def row(self):
        return [self.name, self.ip, self.zone, self.front, self.ready]

    def newer(self, life, asked, now):
        """Whether a hail, sent at `asked` by the clock of its sender, is news: guards the roster against a late one of a
        node that has said since that it leaves, or of the life before a restart, whose clock may have stood elsewhere."""
        if life == self.life:
            return asked > self.asked
        if life == self.former_life and now - self.began < LATE:
            return False
        self.former_life, self.life, self.began = self.life, life, now
        return True


def whole(value, least=0):
    if type(value) is not int or not least <= value < 1 << 62:
        raise ValueError("a whole number should stand here")
    return value


def text(value):
    if type(value) is not str or len(value) > 256:
        raise ValueError("a short text should stand here")
    return value


def rows(value):
    if type(value) is not list or len(value) > 10000:
        raise ValueError("the roster is no list")
    return tuple((text(name), text(ip), text(zone), text(front), bool(ready)) for name, ip, zone, front, ready in value)


class Disseminator:
    """`encode_state(since)` and `encode_endpoints(now, since)` give what is passed on to who holds `since`; `differences(index,
    servers)` tells for each whether that is less than the whole, `state_size_bytes()` what the whole state takes; `on_state(plain, now)`,
    `on_endpoints(plain, now)` and `on_roster()` take news, the first two raise DeltaMismatchError; `send(ip, message)` sends, `send_all(ips,
    message)` the same to many. All are the station's."""

    def __init__(self, me, ip, zone, front, seeds, draw, node_process):
        self.me, self.ip, self.zone, self.front, self.seeds, self.draw = me, ip, zone, front, seeds, draw
        self.node_process, self.send = node_process, node_process.send
        self.ready = False
        self.leader, self.is_leader, self.term = None, False, 0  # term: in which `leader` leads, as far as is known
        self.confirmed_at_ns = (
            None  # ns, own clock: a majority of the core stood behind what we hold at that moment, or later
        )
        self.state_index = self.endpoints_version = self.roster_version = 0  # of what we hold: state, servers, roster
        self.roster = ()  # rows of the last roster
        self.peers = {}  # by ip: what the leader hears; emptied as they fall silent
        self.answered_at, self.next_heartbeat_at_ns = 0, 0
        self.life = draw.getrandbits(24)  # goes with each question, and comes back with its answer
        self.must_renumber_endpoints = (
            False  # somebody holds a list of servers that an older leader numbered above ours
        )
        self.turn, self.asked = 0, None  # of those whom it asks beside the leader
        self.rosters, self.roster_at = DeltaHistory(1, 5), 0  # versions of the roster; when the leader made the last
        self.tries, self.given, self.gave = (
            0,
            0,
            {},
        )  # hails; wholes given away in this tick; by ip: until when, state, list
        self.astray = set()  # S, V, O: of which only the whole helps

    # ---- what is asked

    def tick(self, now):
        self.given = 0
        if self.gave:
            self.gave = {ip: row for ip, row in self.gave.items() if now < row[0]}
        if self.is_leader:
            self.refresh_roster(now)
        if now < self.next_heartbeat_at_ns:
            return
        calm = self.is_leader or self.confirmed_at_ns is not None and now - self.answered_at < DEAF
        gap = (
            HEARTBEAT_INTERVAL_NS
            if calm
            else HURRY
            if self.confirmed_at_ns is not None
            else min(TIRED, RUSH << min(8, self.tries // 16))
        )
        self.tries += 1
        self.next_heartbeat_at_ns = now + int(gap * self.draw.uniform(0.85, 1.15))
        if self.is_leader:
            return
        hail = self.heartbeat(now)
        if self.leader:
            self.send(self.leader, hail)
        if (not calm or not self.leader) and (other := self.other()):
            self.send(other, hail)

    def heartbeat(self, now):
        index, servers, number = [
            0 if key in self.astray else held
            for key, held in zip("SVO", (self.state_index, self.endpoints_version, self.roster_version))
        ]
        return {
            "k": "hail",
            "n": self.me,
            "z": self.zone,
            "f": self.front,
            "r": self.ready,
            "i": index,
            "s": servers,
            "o": number,
            "t": now,
            "b": self.life,
        }

    def other(self):
        """Seeds and known nodes in turn; None for one that knows nobody."""
        ips = [row[1] for row in self.roster if row[1] != self.ip]
        ips += [ip for ip in self.seeds if ip != self.ip and ip not in ips]
        if not ips:
            return None
        if self.confirmed_at_ns is not None or self.asked not in ips or self.tries % ASKED == 1:
            self.turn += 1
            self.asked = ips[self.turn % len(ips)] if self.turn % 2 else self.draw.choice(ips)
        return self.asked

    # ---- what is told

    def on_heartbeat(self, ip, told, now):
        index, servers, number, asked = [whole(told[key]) for key in "isot"]
        if self.is_leader:
            name, zone, front = text(told["n"]), text(told["z"]), text(told["f"])
            peer = self.peers.get(ip)
            if peer is None:
                if len(self.peers) >= 4096:
                    return
                peer = self.peers[ip] = Peer(name, ip)
            was = peer.ready
            if peer.newer(whole(told.get("b", 0)), asked, now):
                peer.name, peer.zone, peer.front, peer.ready = name, zone, front, bool(told["r"])
                peer.heard, peer.asked, peer.index, peer.servers, peer.roster = now, asked, index, servers, number
            first = self.term * VERSIONS_PER_TERM + 1
            # Guards against what an old leader numbered when another led already: whoever took it would keep it.
            self.must_renumber_endpoints = self.must_renumber_endpoints or self.endpoints_version < servers < first
            if self.roster_version < number < first:
                self.roster_version = first
                self.rosters.add(first, self.roster)
                self.push_updates(now)
            if was and not peer.ready:
                self.refresh_roster(now)  # who leaves is left out at once; who came waits for a tick, with others
        if not self.gives(ip, now, index, servers):
            return  # it asks again
        word = self.state_response(now, index, servers, number, asked)
        if "b" in told:
            word["b"] = whole(told["b"])
        self.send(ip, word)

    def gives(self, ip, now, index, servers):
        """Whether the word may go to one that holds these: state or list is given whole to few at a time, once each. Not
        to one alone that holds nothing: guards slow links against a whole with each change to one that is far behind."""
        state_known, list_known = self.node_process.differences(index, servers)
        whole_state = index < self.state_index and not state_known
        whole_list = servers < self.endpoints_version and not list_known
        if not whole_state and not whole_list:
            return True
        until, state, listed = self.gave.get(ip, (0, False, False))
        if (state or not whole_state) and (listed or not whole_list):
            return False
        if self.given >= (
            max(16, min(MAX_FULL_TRANSFERS, ROWS // max(1, len(self.roster)))) if self.is_leader else FEW
        ):
            return False
        self.given += 1
        until = max(
            until,
            now
            + FULL_TRANSFER_TIMEOUT_NS
            + (FULL_TRANSFER_NS_PER_BYTE * self.node_process.state_size_bytes() if whole_state else 0),
        )
        self.gave[ip] = until, whole_state or state, whole_list or listed
        return True

    def state_response(self, now, index, servers, number, asked):
        """`asked` 0: nobody asked, so it gives no age."""
        message = {"k": "word", "l": self.leader or "", "e": self.term, "t": asked}
        if self.confirmed_at_ns is None:
            return message  # what a former life left on the disk may be hundreds of versions old: it is not handed on
        if self.state_index:
            message["a"] = max(0, now - self.confirmed_at_ns)
        if index < self.state_index:
            message["S"] = self.node_process.encode_state(index)
        if servers < self.endpoints_version:
            message["V"] = self.node_process.encode_endpoints(now, servers)
        if number < self.roster_version:
            since = self.rosters.difference_from(number)
            rest = self.roster if since is None else since[2]
            message["O"] = [self.roster_version, [list(row) for row in rest]]
            if since is not None:
                message["O"] += [number, *since[:2]]  # what it rests on, the mark, who is gone
        return message

    def on_state_response(self, ip, told, now):
        held = True
        asked, leader, term = whole(told["t"]), text(told["l"]), whole(told["e"])
        for key, take in (
            ("S", self.node_process.on_state),
            ("V", self.node_process.on_endpoints),
            ("O", self.got_roster),
        ):
            # Guards lists and rosters against what a leader that was deposed unawares numbered on. A state in force is one
            # whoever tells it.
            if key in told and (key == "S" or term >= self.term):
                try:
                    take(told[key], now)
                    self.astray.discard(key)
                except DeltaMismatchError as gap:
                    if gap.corrupt:
                        self.astray.add(key)
                    held = held and key != "S"
                    self.next_heartbeat_at_ns = 0
        # Guards revocation against an age that is told beside a state which was not taken: it would vouch for the older one.
        if self.is_leader or not held:
            return
        # Guards against an answer to the life before, which held more than this one: it says nothing of what we lack.
        if asked and "a" in told and asked <= now and told.get("b", self.life) == self.life:
            at = asked - whole(told["a"])
            if self.confirmed_at_ns is None or at > self.confirmed_at_ns:
                self.confirmed_at_ns = at
                # Guards against nodes that hand an old word round when the leader is gone: only it answers for now.
                self.answered_at = max(self.answered_at, asked if ip == leader else at)
        if not leader or leader == self.ip or term < self.term:
            return  # Guards against an old leader that still names itself, and those that have not heard of the new one
        if term > self.term:
            self.term, self.leader, self.next_heartbeat_at_ns = term, leader, 0  # it is asked at once
        elif self.leader is None or now - self.answered_at > DEAF:
            self.leader = leader

    def got_roster(self, plain, now):
        number, rest, *since = plain
        if not self.is_leader and whole(number) > self.roster_version:
            rest = rows(rest)
            self.roster = self.rosters.apply(self.roster_version, *since, rest) if since else rest
            self.roster_version = number
            self.rosters.add(number, self.roster)
            self.node_process.on_roster()

    # ---- the leader's part

    def refresh_roster(self, now):
        """The leader's view of the nodes; a change is a new roster, which goes to all at once."""
        for ip in [ip for ip, peer in self.peers.items() if now - peer.heard > PEER_TIMEOUT_NS]:
            del self.peers[ip]
        mine = (self.me, self.ip, self.zone, self.front, self.ready)
        new = tuple(sorted([mine] + [tuple(peer.row()) for ip, peer in self.peers.items() if ip != self.ip]))
        if new != self.roster:
            serve = {row[1] for row in new if row[4]}
            calm = all(row[1] in serve for row in self.roster if row[4])
            if calm and now - self.roster_at < min(PACE, EACH * len(self.peers)):
                return
            self.roster, self.roster_version, self.roster_at = (
                new,
                max(self.roster_version + 1, self.term * VERSIONS_PER_TERM + 1),
                now,
            )
            self.rosters.add(self.roster_version, new)
            self.node_process.on_roster()
            self.push_updates(now)

    def push_updates(self, now):
        """What changed goes to every node that lacks it, as far as it was heard to."""
        lacking = {}
        for ip, peer in self.peers.items():
            if ip != self.ip and (
                peer.index < self.state_index
                or peer.servers < self.endpoints_version
                or peer.roster < self.roster_version
            ):
                if not self.gives(ip, now, peer.index, peer.servers):
                    continue
                lacking.setdefault((peer.index, peer.servers, peer.roster), []).append(ip)
                peer.index, peer.servers, peer.roster = self.state_index, self.endpoints_version, self.roster_version
        for held, ips in lacking.items():
            self.node_process.send_all(ips, self.state_response(now, *held, 0))

    def set_leadership(self, leads, leader, term, backed_at, now):
        """From the keeper beside us, where there is one."""
        begins = leads and not self.is_leader
        if begins:
            self.peers = {}
            # Guards the directory against a new leader that has heard nobody yet: the old roster stands for a while.
            for name, ip, zone, front, ready in self.roster:
                if ip != self.ip:
                    peer = self.peers[ip] = Peer(name, ip)
                    peer.zone, peer.front, peer.ready, peer.heard = zone, front, ready, now
                    # What it lacks, its next hail tells: guards links against the whole state to all at once.
                    peer.index, peer.servers, peer.roster = (
                        self.state_index,
                        self.endpoints_version,
                        self.roster_version,
                    )
        if leader or self.is_leader and not leads:
            self.leader = leader
        self.is_leader, self.term = leads, max(self.term, term) if leads else self.term
        if leads and backed_at is not None:
            self.confirmed_at_ns = max(self.confirmed_at_ns or backed_at, backed_at)
            self.answered_at = now
        if begins:
            # Guards leases, and its own roster, against nodes that find out only by asking around: it tells them.
            for ip in self.peers:
                self.send(
                    ip, self.state_response(now, self.state_index, self.endpoints_version, self.roster_version, 0)
                )
