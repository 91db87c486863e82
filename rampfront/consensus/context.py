"""What the parts of one member share: who it is, the time, its random draws, and the effects of the input under way.

`Member.take` begins each input with `MemberContext.begin`; whatever part handles it then appends to the same list of
effects, so the order of effects is the order in which they were decided on.
"""

from collections.abc import Sequence
from random import Random
from typing import NamedTuple

from .events import Effect, OrderEnded, Outcome, SendMessage
from .frame_encoder import encode
from .identifiers import DurationNs, TimeNs
from .messages import Message
from .repeat_window import DEFAULT_REPEAT_NS
from .state import State


class MemberSettings(NamedTuple):
    """What a member is started with.

    `seeds`: ips to ask who leads; the first of them founds the core. `has_disk`: without one it never votes, and only
    finds the leader. `is_first_start`: the settings say that the whole system starts for the first time. `survive`: how
    many machines may be lost at once. `order_repeat_ns`: for how long callers repeat an order without an answer.
    """

    name: str
    ip: str
    seeds: Sequence[str]
    has_disk: bool = True
    is_first_start: bool = False
    survive: int = 0
    order_repeat_ns: DurationNs = DEFAULT_REPEAT_NS


class Timeout(NamedTuple):
    """A span from which a time-out is drawn at random, so that candidates do not split the votes again and again."""

    shortest: DurationNs
    longest: DurationNs


class MemberContext:
    """Shared by all parts of one member. Only `Member` calls `begin`, `note_shutdown` and `change_seeds`."""

    def __init__(self, settings: MemberSettings, random: Random, now: TimeNs) -> None:
        """`random`: seeded by chance that a restart does not repeat, since incarnations are drawn from it."""
        self.settings = settings
        self.random = random
        self.now = now
        self.seeds = list(settings.seeds)
        self.is_shutting_down = False
        self.effects: list[Effect] = []

    def begin(self, now: TimeNs) -> None:
        """A new input is taken at this time."""
        self.now = now
        self.effects = []

    def note_shutdown(self) -> None:
        """The process is about to end."""
        self.is_shutting_down = True

    def change_seeds(self, ips: Sequence[str]) -> None:
        """The settings name other seeds."""
        self.seeds = list(ips)

    def draw(self, timeout: Timeout) -> DurationNs:
        """A duration out of the span."""
        return self.random.randrange(timeout.shortest, timeout.longest)

    def draw_identifier(self) -> int:
        """48 random bits, never 0: an identifier that nothing else is ever given."""
        return self.random.getrandbits(48) | 1

    def emit(self, effect: Effect) -> None:
        """Appends an effect."""
        self.effects.append(effect)

    def send(self, ip: str, message: Message) -> None:
        """Sends a message to one address."""
        self.effects.append(SendMessage(ip, encode(message)))

    def broadcast(self, ips: Sequence[str | None], message: Message) -> None:
        """Sends a message to each address but the own one; None stands for nobody."""
        for ip in ips:
            if ip is not None and ip != self.settings.ip:
                self.send(ip, message)

    def end_order(self, ref: object, outcome: Outcome, state: State | None = None) -> None:
        """Answers an order."""
        self.effects.append(OrderEnded(ref, outcome, state))
