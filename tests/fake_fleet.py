"""Nodes that disseminate over a fake network with a fake clock: frames are lost, delayed, reordered and repeated.

States and endpoint lists are represented by their version numbers. Nothing sleeps.
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
EPOCH = 10**18  # start of the fake clock


def heartbeat_frame(disseminator, now):
    """The frame of a heartbeat from this node."""
    return messages.encode_heartbeat(disseminator.heartbeat(now))


def response_frame(disseminator, now, versions, requested_at_ns):
    """The frame of the response to a node with these `versions`: of the state, the endpoint list and the roster."""
    heartbeat = Heartbeat(ReplicaVersions(*versions), requested_at_ns, None)
    response = disseminator.responder.response(disseminator.versions, heartbeat, now)
    return messages.encode_state_response(response)


def names(disseminator, ready=True):
    """Names on the node's roster: of the ready nodes, or of all."""
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
    """A frame between nodes: when it was sent or is due, its number, the two addresses, and the message."""

    at: int
    number: int
    sender: str
    receiver: str
    message: dict


class FakeFleet:
    """Nodes n1, n2, ... at 10.0.0.1, 10.0.0.2, ...; `fleet[k]` is the disseminator of the k-th.

    Attributes:
        partitions: pairs of addresses that cannot reach each other.
        silent: addresses of nodes that are isolated from all others, and do not run.
        unreliable: frames are lost, repeated, and delayed by up to 3 s.
        has_quorum: whether a majority of the core confirms the leader.
        quorum_at: when it last did.
        committed: (time, index) of each state that it confirmed.
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
        """Starts recording; returns the list to which sent frames are added."""
        self.recorded = []
        return self.recorded

    def lead(self, k, index=1, term=1):
        """Makes node k the leader, confirmed by a majority all the time while `has_quorum` is set."""
        self.leader, self.term = k, term
        self[k].state_changed(max(index, self[k].state_index))

    def start_ready(self):
        """Runs for 3 s with node 1 as the leader and all nodes ready."""
        self.lead(1)
        for host in self.hosts.values():
            host.disseminator.ready = True
        self.run(3000)

    def is_partitioned(self, sender, receiver):
        """Whether two addresses cannot reach each other."""
        one_is_silent = sender in self.silent or receiver in self.silent
        return one_is_silent or (sender, receiver) in self.partitions or (receiver, sender) in self.partitions

    def transmit(self, sender, receiver, message):
        """Sends a frame."""
        if self.is_partitioned(sender, receiver):
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
        """The newest index that a majority had confirmed at that time."""
        return self.committed[bisect(self.committed, (at, 1 << 60)) - 1][1]

    def run(self, ms, every=None):
        """Runs in steps of 10 ms, and calls `every()` after each."""
        for _ in range(ms // 10):
            self.now += 10 * MS
            self.deliver()
            for k, host in enumerate(self.hosts.values(), 1):
                if host.ip not in self.silent:
                    self.step(host, k == self.leader)
            if every:
                every()

    def deliver(self):
        """Delivers the frames that are due."""
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
        """Runs one tick of a node; the leader first receives the status of its core member."""
        if leads:
            if self.has_quorum:
                self.quorum_at = self.now
                self.committed.append((self.now, host.disseminator.state_index))
            status = CoreStatus(True, host.ip, self.term, self.quorum_at)
            host.disseminator.set_leadership(status, self.now)
        host.disseminator.tick(self.now)
