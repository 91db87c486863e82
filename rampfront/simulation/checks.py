"""Invariants of the core, checked at every step of a run; a violation raises `InvariantError`."""

import json
import zlib
from bisect import bisect_left

from ..consensus.version_history import MAX_VERSIONS


class InvariantError(AssertionError):
    """An invariant of the core or of the complete system is violated."""


def content(body):
    """The parsed configuration of a body, or the body itself if it is none."""
    try:
        return json.loads(zlib.decompress(body))
    except (ValueError, zlib.error):
        return body


class SafetyChecker:
    """Records everything that was committed or acknowledged in a run, in simulated time, and checks it for
    contradictions."""

    def __init__(self):
        """Starts with nothing committed or acknowledged."""
        self.states = {}  # by index: the contents of the state committed there
        self.bodies = {}  # by revision
        self.confirmed = {}  # by revision: content that was acknowledged, as the current or as an older one
        self.leaders = {}  # by term: (node, life)
        # Times at which the newest acknowledged index rose, and the indexes.
        self.acknowledgement_times, self.acknowledged_indexes = [], []
        self.founders = set()
        self.newest_state = None  # the committed state with the highest index

    def record_committed_state(self, node, state):
        """Records that a node has applied a committed state."""
        contents = state.term, state.revision, state.body, state.evacuated_zones, tuple(sorted(state.members.items()))
        if self.states.setdefault(state.index, contents) != contents:
            raise InvariantError(
                f"two states committed at index {state.index}: {self.states[state.index]} and {contents}"
            )
        if self.bodies.setdefault(state.revision, state.body) != state.body:
            raise InvariantError(f"two bodies of r{state.revision}")
        if state.index < node.applied_index:
            raise InvariantError(f"{node.name} applied index {state.index} after {node.applied_index}")
        node.applied_index = state.index
        if self.newest_state is None or state.index > self.newest_state.index:
            self.newest_state = state

    def record_leader(self, node, term):
        """Records that a node leads in a term, which has one leader at most."""
        if self.leaders.setdefault(term, (node.name, node.life)) != (node.name, node.life):
            raise InvariantError(f"two leaders of term {term}: {self.leaders[term]} and {node.name}")

    def newest_acknowledged(self, before=None):
        """The newest index that was acknowledged, or that was acknowledged before a time; 0 if there is none."""
        at = len(self.acknowledged_indexes) if before is None else bisect_left(self.acknowledgement_times, before)
        return self.acknowledged_indexes[at - 1] if at else 0

    def record_acknowledgement(self, now, call, state):
        """Records that an order was acknowledged with a committed state."""
        if state.index < call.floor:
            raise InvariantError(
                f"{call.kind}: answered with index {state.index}, {call.floor} was acknowledged before it was sent"
            )
        if call.kind == "config":
            if state.revision < call.body[0]:
                raise InvariantError(f"r{call.body[0]} acknowledged, but r{state.revision} is committed")
            if state.revision == call.body[0] and content(state.body) != content(call.body[1]):
                raise InvariantError(f"r{state.revision} acknowledged with another body")
            self.record_confirmed_content(call.body[0], content(call.body[1]), state.versions)
        elif call.kind in ("empty", "fill"):
            self.check_evacuation(call, range(call.floor, state.index + 1))
        if state.index > self.newest_acknowledged():
            self.acknowledgement_times.append(now)
            self.acknowledged_indexes.append(state.index)

    def check_evacuation(self, call, indexes):
        """An order on a zone must have taken effect at one of these indexes: the zone was evacuated, or it was not."""
        for index in indexes:
            if index in self.states:
                is_evacuated = call.body in self.states[index][3]
                if is_evacuated == (call.kind == "empty"):
                    return
        raise InvariantError(f"{call.kind} {call.body} acknowledged, but never committed")

    def record_confirmed_content(self, number, confirmed_content, versions):
        """Only one content may be acknowledged for a number, unless the version history is full and lacks the
        number."""
        if len(versions.rows) >= MAX_VERSIONS and versions.digest_of(number) is None:
            return
        if self.confirmed.setdefault(number, confirmed_content) != confirmed_content:
            raise InvariantError(f"two bodies of r{number} acknowledged")

    def check_conflict(self, call, state):
        """Checks that a configuration was rejected because another one was confirmed with its number."""
        number, body = call.body
        if state.revision < number or state.revision == number and content(state.body) == content(body):
            raise InvariantError(f"r{number} rejected, but the committed r{state.revision} does not conflict with it")
        if self.confirmed.get(number) == content(body) or self.bodies.get(number) == body:
            raise InvariantError(f"r{number} rejected, but confirmed with this body")

    def check_refused_calls(self, calls):
        """Checks that no configuration was committed which all nodes that were asked had refused or redirected."""
        for call in calls:
            if (
                call.kind == "config"
                and not call.attempts_in_flight
                and not call.may_be_committed
                and call.body[1] in self.bodies.values()
            ):
                raise InvariantError(f"r{call.body[0]} was refused, but is committed")

    def check_leader_claim(self, node, at):
        """Checks the claim of a leader that it has all that was acknowledged before `at`."""
        newest = self.newest_acknowledged(at)
        if newest and (node.core_member.committed is None or node.core_member.committed.index < newest):
            raise InvariantError(
                f"{node.name} claims to have all that was acknowledged before {at} ns, but lacks index {newest}"
            )
