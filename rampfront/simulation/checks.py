"""What must hold at every step of a run of the core; a breach raises `InvariantError`."""

import json
import zlib
from bisect import bisect_left

from ..consensus.version_history import MAX_VERSIONS


class InvariantError(AssertionError):
    """A promise of the core does not hold."""


def content(body):
    """What a body says, where it is a configuration, else the body."""
    try:
        return json.loads(zlib.decompress(body))
    except (ValueError, zlib.error):
        return body


class SafetyChecker:
    """All that was ever in force or acknowledged, as an onlooker with the true time sees it."""

    def __init__(self):
        self.states = {}  # index to what was in force there
        self.returned = {}  # index to the zones that some have taken back there, and others keep emptied
        self.bodies = {}  # rev to body
        self.confirmed = {}  # rev to the content that was acknowledged under it, in force or as an older one
        self.leaders = {}  # term to (node, life)
        self.acked_at, self.acked = [], []  # when each rise of the newest acknowledged index came; the index
        self.founders = set()
        self.newest_state = None  # in force, of the highest index

    def record_committed_state(self, node, state):
        """A node knows a state to be in force."""
        seen = state.term, state.revision, state.body, state.evacuated_zones, tuple(sorted(state.members.items()))
        if self.states.setdefault(state.index, seen) != seen:
            raise InvariantError(f"two states in force at {state.index}: {self.states[state.index]} and {seen}")
        self.returned[state.index] = {zone for zone, evacuation in state.evacuations.items() if evacuation.returned}
        if self.bodies.setdefault(state.revision, state.body) != state.body:
            raise InvariantError(f"two bodies of r{state.revision}")
        if state.index < node.applied_index:
            raise InvariantError(f"{node.name} goes back from {node.applied_index} to {state.index}")
        node.applied_index = state.index
        if self.newest_state is None or state.index > self.newest_state.index:
            self.newest_state = state

    def record_leader(self, node, term):
        if self.leaders.setdefault(term, (node.name, node.life)) != (node.name, node.life):
            raise InvariantError(f"two leaders of term {term}: {self.leaders[term]} and {node.name}")

    def newest_acknowledged(self, before=None):
        """The newest acknowledged index, of what was acknowledged before a moment."""
        at = len(self.acked) if before is None else bisect_left(self.acked_at, before)
        return self.acked[at - 1] if at else 0

    def record_acknowledgement(self, now, call, state):
        """An order was acknowledged with the state in force."""
        if state.index < call.floor:
            raise InvariantError(
                f"{call.kind}: answered with {state.index}, {call.floor} was acknowledged before it was sent"
            )
        if call.kind == "config":
            if state.revision < call.body[0]:
                raise InvariantError(f"r{call.body[0]} acknowledged, r{state.revision} in force")
            if state.revision == call.body[0] and content(state.body) != content(call.body[1]):
                raise InvariantError(f"r{state.revision} acknowledged with another body")
            self.confirm(call.body[0], content(call.body[1]), state.versions)
        elif call.kind in ("empty", "fill"):
            self.evacuation(call, range(call.floor, state.index + 1))
        if state.index > self.newest_acknowledged():
            self.acked_at.append(now)
            self.acked.append(state.index)

    def evacuation(self, call, indexes):
        """The order showed at one of these indexes: the zone was emptied; or it was open, or taken back by one."""
        for index in indexes:
            if index in self.states:
                emptied = call.body in self.states[index][3]
                if emptied == (call.kind == "empty") or call.kind == "fill" and call.body in self.returned[index]:
                    return
        raise InvariantError(f"{call.kind} {call.body} acknowledged, yet never in force")

    def confirm(self, number, said, versions):
        """One content a number, but for what a full history has no room for."""
        if len(versions.rows) >= MAX_VERSIONS and versions.digest_of(number) is None:
            return
        if self.confirmed.setdefault(number, said) != said:
            raise InvariantError(f"two bodies of r{number} acknowledged")

    def check_conflict(self, call, state):
        """A configuration was turned away because another one was confirmed under its number."""
        number, body = call.body
        if state.revision < number or state.revision == number and content(state.body) == content(body):
            raise InvariantError(f"r{number} turned away, and r{state.revision} in force does not speak against it")
        if self.confirmed.get(number) == content(body) or self.bodies.get(number) == body:
            raise InvariantError(f"r{number} turned away, and confirmed with this body")

    def check_refused_calls(self, calls):
        """What was refused or passed on by all who were asked is not in force."""
        for call in calls:
            if call.kind == "config" and not call.open and not call.risky and call.body[1] in self.bodies.values():
                raise InvariantError(f"r{call.body[0]} was refused, and is in force")

    def check_leader_claim(self, node, at):
        """The claim of a leader: what was acknowledged before `at` is contained in what it knows."""
        newest = self.newest_acknowledged(at)
        if newest and (node.core_member.committed is None or node.core_member.committed.index < newest):
            raise InvariantError(f"{node.name} claims all before {at}, and lacks {newest}")
