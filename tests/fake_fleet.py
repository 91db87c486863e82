"""Nodes that disseminate over a fake network, on a fake clock: frames are lost, delayed, reordered and repeated.

States and endpoint lists are their numbers here. Nothing sleeps.
"""

import random
from bisect import bisect
from typing import NamedTuple

import cbor2

from rampfront.membership import messages
from rampfront.membership.dissemination import Disseminator
from rampfront.membership.leadership import CoreStatus
from rampfront.membership.messages import Heartbeat
from rampfront.membership.roster import RosterEntry
from rampfront.membership.versions import ReplicaVersions

MS, SEC = 10**6, 10**9
EPOCH = 10**18  # the fake clock's start


def heartbeat_frame(disseminator, now):
    """The frame of a heartbeat that it sends."""
    return messages.encode_heartbeat(disseminator.heartbeat(now))


def response_frame(disseminator, now, versions, requested_at_ns):
    """The frame of its answer to a node that holds `versions`: of the state, the endpoint list, the roster."""
    heartbeat = Heartbeat(ReplicaVersions(*versions), requested_at_ns, None)
    response = disseminator.responder.response(disseminator.versions, heartbeat, now)
    return messages.encode_state_response(response)


def names(disseminator, ready=True):
    """Names on its roster: of the ready nodes, or of all."""
    return [entry.name for entry in disseminator.roster if entry.ready or not ready]


class FakeHost:
    """The process around one disseminator."""

    def __init__(self, fleet, name, ip, zone):
        self.fleet, self.ip = fleet, ip
        own = RosterEntry(name, ip, zone, f"{ip}:80", False)
        self.disseminator = Disseminator(own, ["10.0.0.1", "10.0.0.2", "10.0.0.3"], fleet.random, self)
        self.roster_changes, self.received = 0, []

    def send(self, ip, message):
        self.fleet.transmit(self.ip, ip, message)

    def send_all(self, ips, message):
        for ip in ips:
            self.send(ip, message)

    def encode_state(self, since):
        return self.disseminator.state_index

    def encode_endpoints(self, now, since):
        return self.disseminator.endpoints_version

    def can_diff_state_from(self, index):
        return index > 0

    def can_diff_endpoints_from(self, version):
        return version > 0

    def state_size_bytes(self):
        return 0

    def on_state(self, index, now):
        if index > self.disseminator.state_index:
            self.disseminator.state_changed(index)
            self.received.append(("state", index))

    def on_endpoints(self, number, now):
        if number > self.disseminator.endpoints_version:
            self.disseminator.endpoints_changed(number)
            self.received.append(("servers", number))

    def on_roster(self):
        self.roster_changes += 1


class Frame(NamedTuple):
    """A frame between nodes: when it is sent or due, in which order, from and to which address."""

    at: int
    number: int
    sender: str
    receiver: str
    message: dict


class FakeFleet:
    """Nodes n1, n2, ... at 10.0.0.1, 10.0.0.2, ...; `fleet[k]` is the disseminator of the k-th.

    Attributes:
        partitions: pairs of addresses between which nothing gets through.
        silent: addresses of nodes that are cut off from all others, and stand still.
        unreliable: frames are lost, repeated, and delayed by up to 3 s.
        has_quorum: a majority of the core stands behind the leader.
        quorum_at: when it last did.
        committed: (when, index) of what it stood behind.
        recorded: frames sent since `record_frames`.
    """

    def __init__(self, count=5, seed=1, delay=10 * MS):
        self.random = random.Random(seed)
        self.now = EPOCH
        self.delay = delay
        self.in_flight = []
        self.frame_number = 0
        self.partitions = set()
        self.silent = set()
        self.unreliable = False
        self.recorded = None
        self.has_quorum = True
        self.quorum_at = EPOCH
        self.committed = [(0, 0)]
        self.hosts = {f"10.0.0.{k}": FakeHost(self, f"n{k}", f"10.0.0.{k}", "a1") for k in range(1, count + 1)}

    def __getitem__(self, k):
        return self.hosts[f"10.0.0.{k}"].disseminator

    def record_frames(self):
        """The list to which frames are added from now on."""
        self.recorded = []
        return self.recorded

    def lead(self, k, index=1, term=1):
        """The core's leader stands beside node k, and a majority stands behind it all the time."""
        self.leader, self.term = k, term
        self[k].state_changed(max(index, self[k].state_index))

    def start_ready(self):
        """Runs for 3 s with node 1 in the lead and all nodes ready."""
        self.lead(1)
        for host in self.hosts.values():
            host.disseminator.ready = True
        self.run(3000)

    def is_cut(self, sender, receiver):
        """Whether nothing gets through between two addresses."""
        one_is_silent = sender in self.silent or receiver in self.silent
        return one_is_silent or (sender, receiver) in self.partitions or (receiver, sender) in self.partitions

    def transmit(self, sender, receiver, message):
        """Sends a frame."""
        if self.is_cut(sender, receiver):
            return
        message = cbor2.loads(cbor2.dumps(message))
        if self.recorded is not None:
            self.recorded.append(Frame(self.now, 0, sender, receiver, message))
        copies = self.random.choice((0, 1, 1, 2, 3)) if self.unreliable else 1
        for _ in range(copies):
            delay = self.delay if not self.unreliable else self.random.randrange(1, 3000) * MS
            self.frame_number += 1
            self.in_flight.append(Frame(self.now + delay, self.frame_number, sender, receiver, message))

    def committed_index_at(self, at):
        """The newest index that a majority stood behind at that moment."""
        return self.committed[bisect(self.committed, (at, 1 << 60)) - 1][1]

    def run(self, ms, every=None):
        """In steps of 10 ms; `every()` is called after each."""
        for _ in range(ms // 10):
            self.now += 10 * MS
            self.deliver()
            for k, host in enumerate(self.hosts.values(), 1):
                if host.ip not in self.silent:
                    self.step(host, k == self.leader)
            if every:
                every()

    def deliver(self):
        """Gives the frames that are due to their receivers."""
        due = sorted(frame for frame in self.in_flight if frame.at <= self.now)
        self.in_flight = [frame for frame in self.in_flight if frame.at > self.now]
        for frame in due:
            if frame.receiver in self.silent or frame.receiver not in self.hosts:
                continue
            disseminator = self.hosts[frame.receiver].disseminator
            if frame.message["k"] == messages.HEARTBEAT:
                disseminator.on_heartbeat(frame.sender, frame.message, self.now)
            else:
                disseminator.on_state_response(frame.sender, frame.message, self.now)

    def step(self, host, leads):
        """A node looks at the time; the leader hears from its core first."""
        if leads:
            if self.has_quorum:
                self.quorum_at = self.now
                self.committed.append((self.now, host.disseminator.state_index))
            status = CoreStatus(True, host.ip, self.term, self.quorum_at)
            host.disseminator.set_leadership(status, self.now)
        host.disseminator.tick(self.now)
