"""Context shared by the components of one member: settings, current time, random numbers and pending effects.

`Member.take` calls `MemberContext.begin` at the start of each input. All components that handle the input append to the
same list of effects, so effects are ordered by the time they were emitted.
"""

from collections.abc import Sequence
from random import Random
from typing import NamedTuple

from .events import Effect, OrderEnded, Outcome, SendMessage
from .frame_encoder import encode
from .identifiers import DurationNs, TimeNs
from .late_orders import DEFAULT_REPEAT_NS
from .messages import Message
from .state import State


class MemberSettings(NamedTuple):
    """Startup settings of a member.

    `seeds`: IP addresses to query for the leader; the first seed bootstraps the core. `is_first_start`: the settings
    mark this start as the initial start of the whole system. `survive`: number of machines that may be lost at the same
    time. `order_repeat_ns`: how long callers keep retrying an order that got no answer.
    """

    name: str
    ip: str
    seeds: Sequence[str]
    is_first_start: bool = False
    survive: int = 0
    order_repeat_ns: DurationNs = DEFAULT_REPEAT_NS


class Timeout(NamedTuple):
    """A range from which a timeout is drawn at random, so that candidates do not split the vote repeatedly."""

    shortest: DurationNs
    longest: DurationNs


class MemberContext:
    """Context shared by all components of one member. `Member` alone calls `begin` and what sets addresses."""

    def __init__(self, settings: MemberSettings, random: Random, now: TimeNs) -> None:
        """Creates the context of one member.

        `random` must be seeded differently at each start, because incarnations are drawn from it.
        """
        self.settings = settings
        self.random = random
        self.now = now
        self.seeds = list(settings.seeds)
        self.contacts: Sequence[str] = ()
        self.is_shutting_down = False
        self.effects: list[Effect] = []

    def begin(self, now: TimeNs) -> None:
        """Starts a new input at time `now` with an empty list of effects."""
        self.now = now
        self.effects = []

    def note_shutdown(self) -> None:
        """Records that the process is shutting down."""
        self.is_shutting_down = True

    def change_seeds(self, ips: Sequence[str]) -> None:
        """Replaces the seeds after a change of settings."""
        self.seeds = list(ips)

    def learn_contacts(self, ips: Sequence[str]) -> None:
        """Replaces the addresses at which other parts of the node last knew the leader and the members."""
        self.contacts = ips

    def draw(self, timeout: Timeout) -> DurationNs:
        """Draws a random duration from the range of a timeout."""
        return self.random.randrange(timeout.shortest, timeout.longest)

    def draw_identifier(self) -> int:
        """Draws a unique identifier: 48 random bits, never 0."""
        return self.random.getrandbits(48) | 1

    def emit(self, effect: Effect) -> None:
        """Appends an effect to those of the current input."""
        self.effects.append(effect)

    def send(self, ip: str, message: Message) -> None:
        """Sends a message to one address."""
        self.effects.append(SendMessage(ip, encode(message)))

    def broadcast(self, ips: Sequence[str | None], message: Message) -> None:
        """Sends a message to each address except the member's own; None entries are skipped."""
        for ip in ips:
            if ip is not None and ip != self.settings.ip:
                self.send(ip, message)

    def end_order(self, ref: object, outcome: Outcome, state: State | None = None) -> None:
        """Emits the result of an order."""
        self.effects.append(OrderEnded(ref, outcome, state))
