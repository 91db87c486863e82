"""Nodes that disseminate over a fake network, on a fake clock: frames are lost, delayed, reordered and repeated.

States and endpoint lists are their numbers here. Nothing sleeps.
"""

import random
from bisect import bisect

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
            self.disseminator.state_index = index
            self.received.append(("state", index))

    def on_endpoints(self, number, now):
        if number > self.disseminator.endpoints_version:
            self.disseminator.endpoints_version = number
            self.received.append(("servers", number))

    def on_roster(self):
        self.roster_changes += 1


class FakeFleet:
    """Nodes n1, n2, ... at 10.0.0.1, 10.0.0.2, ...; `fleet[k]` is the disseminator of the k-th."""

    def __init__(self, count=5, seed=1, delay=10 * MS):
        self.random, self.now, self.delay = random.Random(seed), EPOCH, delay
        self.in_flight, self.frame_number = [], 0  # (due, number, from, to, message)
        self.partitions, self.silent, self.unreliable = set(), set(), False
        self.recorded = None  # frames sent since `record_frames`
        self.has_quorum, self.quorum_at, self.committed = (
            True,
            EPOCH,
            [(0, 0)],
        )  # committed: (when, index) of what a majority stood behind
        self.hosts = {f"10.0.0.{k}": FakeHost(self, f"n{k}", f"10.0.0.{k}", "a1") for k in range(1, count + 1)}

    def __getitem__(self, k):
        return self.hosts[f"10.0.0.{k}"].disseminator

    def record_frames(self):
        self.recorded = []
        return self.recorded

    def lead(self, k, index=1, term=1):
        """The core's leader stands beside node k, and a majority stands behind it all the time."""
        self.leader, self.term = k, term
        self[k].state_index = max(index, self[k].state_index)

    def transmit(self, sender, to, message):
        if (
            sender in self.silent
            or to in self.silent
            or (sender, to) in self.partitions
            or (to, sender) in self.partitions
        ):
            return
        message = cbor2.loads(cbor2.dumps(message))
        if self.recorded is not None:
            self.recorded.append((self.now, 0, sender, to, message))
        times = 1
        if self.unreliable:
            times = self.random.choice((0, 1, 1, 2, 3))
        for _ in range(times):
            delay = self.delay if not self.unreliable else self.random.randrange(1, 3000) * MS
            self.frame_number += 1
            self.in_flight.append((self.now + delay, self.frame_number, sender, to, message))

    def committed_index_at(self, at):
        """The newest index that a majority stood behind at that moment."""
        return self.committed[bisect(self.committed, (at, 1 << 60)) - 1][1]

    def run(self, ms, every=None):
        """In steps of 10 ms; `every()` is called after each."""
        for _ in range(ms // 10):
            self.now += 10 * MS
            due = sorted(row for row in self.in_flight if row[0] <= self.now)
            self.in_flight = [row for row in self.in_flight if row[0] > self.now]
            for _, _, sender, to, message in due:
                if to not in self.silent and to in self.hosts:
                    disseminator = self.hosts[to].disseminator
                    (disseminator.on_heartbeat if message["k"] == "hail" else disseminator.on_state_response)(
                        sender, message, self.now
                    )
            for k, host in enumerate(self.hosts.values(), 1):
                if host.ip not in self.silent:
                    if k == self.leader:
                        if self.has_quorum:
                            self.quorum_at = self.now
                            self.committed.append((self.now, host.disseminator.state_index))
                        status = CoreStatus(True, host.ip, self.term, self.quorum_at)
                        host.disseminator.set_leadership(status, self.now)
                    host.disseminator.tick(self.now)
            if every:
                every()
