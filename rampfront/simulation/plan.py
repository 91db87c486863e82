"""The plan of a run of the whole: rows (ms, what, ...), each a method of `SystemRun` with its arguments. Drawn from the
seed before anything runs, so that a row can be left out (`shrink.py`) and a failing plan can stand in a test."""

from collections.abc import Callable
from random import Random

from .fleet import ZONES

FAULTS_BEGIN_MS = 6000  # ms: the first fault
CATCH_UP_MS = 4000  # ms
LEADER, ACKER = -1, -2  # instead of a machine's number: whoever leads then; who acknowledged last
SERVICES = "one", "two"
CLOSINGS = "none", "kill_all", "power", "power", "wipe"
SALTS = 1 << 16  # of choices that are made when a row comes due
EVENLY, SELDOM, PLOTTED = 0.5, 0.25, 0.6  # chances

Row = tuple  # (ms, what, *arguments)

PLOTS = (
    "revoke",
    "revoke",
    "quota",
    "quota",
    "cold",
    "repeats",
    "empty",
    "lease",
    "lease",
    "doubt",
    "drains",
    "behind",
    "second_loss",
    "second_loss",
)
FAULTS = (
    "kill",
    "kill",
    "term",
    "wipe",
    "wipe",
    "kill_all",
    "replace",
    "replace",
    "replace_several",
    "replace_planned",
    "replace_planned",
    "term_all",
    "lose_answers",
    "zone",
    "freeze",
    "freeze",
    "stutter",
    "cut_one",
    "cut_one",
    "cut_off",
    "cut_off",
    "cut_in_two",
    "cut_zone",
    "hang_disk",
    "fill_disk",
    "slow_disk",
    "bad_links",
    "platform",
    "seeds",
    "after_ack",
    "after_ack",
    "after_ack",
    "refuse",
    "crash",
    "crash",
    "drain",
    "drain",
    "surge",
    "surge",
    "surge",
    "restart",
)
ORDERS = (  # (part of all, what)
    (0.45, "config"),
    (0.05, "race"),
    (0.05, "again"),
    (0.35, "evacuate"),
    (0.10, "read"),
)


def draw_plan(seed: int, nodes: int, disks: int, length: int) -> list[Row]:
    """Rows of a plan, in order. `length`: ms of faults."""
    return Planner(seed, nodes, disks, length).draw()


class Planner:
    """Draws one plan, by a chance of its own, so that what is drawn does not hang on what happens."""

    def __init__(self, seed: int, nodes: int, disks: int, length: int) -> None:
        """`nodes`: machines, of which the first `disks` make the core."""
        self.rng = Random(seed * 7919 + nodes)
        self.nodes, self.disks, self.end = nodes, disks, FAULTS_BEGIN_MS + length
        self.zones = list(ZONES)
        self.rate = self.rng.choice((0.1, 0.5, 1.0, 1.5, 2.5))  # faults a second
        # Some kinds, each more often, find more than all of them together.
        some = {kind for kind in sorted(set(FAULTS)) if self.rng.random() < EVENLY}
        self.kinds = [kind for kind in FAULTS if kind in some] or list(FAULTS)

    def draw(self) -> list[Row]:
        """The whole plan."""
        rng = self.rng
        plan = self.rows(self.rate, self.fault, FAULTS_BEGIN_MS)
        if rng.random() < PLOTTED:
            plan += getattr(self, f"plot_{rng.choice(PLOTS)}")(FAULTS_BEGIN_MS + rng.randrange(200, 1500))
        plan += self.rows(rng.choice((0.5, 1.0, 2.0)), self.order, FAULTS_BEGIN_MS // 2)
        plan = [row for row in plan if row[0] < self.end]  # the calm is left alone
        plan.append((self.end, "last", rng.choice(CLOSINGS), rng.randrange(SALTS)))
        return sorted(plan, key=lambda row: row[0])

    def rows(self, rate: float, draw: Callable[[], Row], begin: int) -> list[Row]:
        """Rows at random moments, so many a second."""
        found = []
        at = begin + int(self.rng.expovariate(rate) * 1000)
        while at < self.end:
            found.append((at, *draw()))
            at += 1 + int(self.rng.expovariate(rate) * 1000)
        return found

    # What rows are made of.

    def span(self, least: int = 300, most: int = 5000) -> int:
        """ms for which a fault lasts."""
        return self.rng.randrange(least, most)

    def long(self) -> int:
        """Longer than a lease now and then, so that what holds out of touch is put to the test."""
        return self.span(300, 4000) if self.rng.random() < EVENLY else self.span(5000, 10000)

    def who(self) -> int:
        """A machine: the leader, who acknowledged last, one of the core, or any."""
        any_one = self.rng.randrange(self.nodes), self.rng.randrange(self.nodes)
        return self.rng.choice((LEADER, ACKER, self.rng.randrange(self.disks), *any_one))

    def some(self, most: int) -> tuple[int, ...]:
        """Some machines, at most so many."""
        return tuple(sorted(self.rng.sample(range(self.nodes), self.rng.randrange(1, most + 1))))

    def salt(self) -> int:
        """For a choice that is made later."""
        return self.rng.randrange(SALTS)

    def seldom(self) -> bool:
        """True at times."""
        return self.rng.random() < SELDOM

    def fault(self) -> Row:
        """One fault, without its moment."""
        rng, kind = self.rng, self.rng.choice(self.kinds)
        if kind in ("kill", "term", "wipe", "replace", "replace_planned"):
            return kind, self.who(), self.span(20, 3000)
        if kind in ("freeze", "hang_disk", "fill_disk", "slow_disk"):
            return kind, self.who(), self.long()
        arguments: dict[str, Callable[[], Row]] = {
            "kill_all": lambda: (self.salt(), self.span(10, 1000)),
            "replace_several": lambda: (self.salt(), self.span(700, 1500)),
            "term_all": lambda: (self.span(500, 2000),),
            "lose_answers": lambda: (rng.choice((0.3, 0.7)), self.long()),
            "zone": lambda: (rng.choice(self.zones), self.span(1000, 4000)),
            "stutter": lambda: (self.who(), rng.randrange(3, 9), self.span(50, 700)),
            # from all machines; clients and servers still reach it, mostly
            "cut_one": lambda: (self.who(), rng.choice(("both", "both", "in", "out")), self.seldom(), self.long()),
            "cut_off": lambda: (rng.randrange(self.nodes), self.long()),
            "cut_in_two": lambda: (self.some(self.nodes - 1), self.seldom(), self.long()),
            "cut_zone": lambda: (rng.choice(self.zones), self.span(1000, 7000)),
            "bad_links": lambda: (
                rng.choice((0.05, 0.2, 0.4)),
                rng.choice((0.0, 0.1, 0.5)),
                rng.choice((0, 50, 300)),
                self.span(300, 3000),
            ),
            "platform": lambda: (self.span(500, 4000),),
            "seeds": lambda: (tuple(rng.sample(range(self.disks + 1), min(3, self.disks))),),
            "after_ack": lambda: (
                rng.choice(("kill", "kill", "wipe", "kill_all", "cut_one", "term")),
                rng.randrange(6),
            ),
            "refuse": lambda: (rng.choice(SERVICES), self.span(500, 4000)),
            "crash": lambda: (self.salt(), rng.random() < EVENLY, self.span(500, 3000)),
            "drain": lambda: (self.salt(), rng.random() < EVENLY, self.span(500, 3000)),
            "surge": lambda: (rng.choice(("hot", "hot", "two", "low")), self.span(1500, 4500)),
            "restart": lambda: (self.salt(),),
        }
        return kind, *arguments[kind]()

    def order(self) -> Row:
        """What the operators ask, without its moment."""
        rng = self.rng
        kind = rng.choices([what for _, what in ORDERS], [part for part, _ in ORDERS])[0]
        if kind == "config":
            return kind, self.seldom()
        if kind == "evacuate":
            return kind, rng.choice(self.zones), self.span(4000, 9000)
        return (kind, self.salt()) if kind == "again" else (kind,)

    # Plots: what hurts a rule most, fault by fault.

    def plot_revoke(self, at: int) -> list[Row]:
        """A machine that clients reach does not hear of two versions, for as long as the run lasts."""
        ways, who = self.rng.choice(("both", "both", "in", "out")), self.rng.randrange(self.nodes)
        cut = (at, "cut_one", who, ways, False, self.rng.choice((9500, 20000)))
        return [cut, *((at + later, "config", False) for later in (200, 600, 1000))]

    def plot_lease(self, at: int) -> list[Row]:
        """A machine that clients reach misses two versions just as its lease begins."""
        return [(at, "cut_when_fresh", self.rng.randrange(self.nodes), 9000)]

    def plot_doubt(self, at: int) -> list[Row]:
        """Orders at a leader that nobody hears any more, and reads behind them."""
        orders = [(at + self.rng.randrange(300, 900), "config_at", LEADER)]
        return [(at, "cut_one", LEADER, "both", False, 3000), *orders, (at + 2000, "read"), (at + 3000, "read")]

    def plot_quota(self, at: int) -> list[Row]:
        """A surge as the fleet falls apart, and the holder with it."""
        rng = self.rng
        return [
            (at, "cut_in_two", self.some(self.nodes // 2), False, 6000),
            (at + rng.randrange(-300, 900), "surge", "hot", 4500),
            (at + rng.randrange(-500, 2500), rng.choice(("kill", "freeze", "kill_all")), LEADER, 1500),
        ]

    def plot_cold(self, at: int) -> list[Row]:
        """New servers under a surge."""
        return [(at, "surge", "ann", 5000), (at + 300, "restart", 0), (at + 600, "restart", 1)]

    def plot_drains(self, at: int) -> list[Row]:
        """Planned work in calm: who is in touch must leave the servers alone in time."""
        salt = self.salt()
        drains = [(at + 700, "drain", salt, False, 500), (at + 1500, "drain", salt + 5, False, 500)]
        return [(at, "restart", salt), *drains]

    def plot_repeats(self, at: int) -> list[Row]:
        """A service that turns all away, under a surge."""
        return [(at, "surge", "ann", 4000), (at + 200, "refuse", self.rng.choice(SERVICES), 4000)]

    def plot_empty(self, at: int) -> list[Row]:
        """One that is cut off hears of no evacuation."""
        zone, cut_off = self.rng.choice(self.zones), self.rng.randrange(self.nodes)
        return [(at, "evacuate", zone, 7000), (at + 100, "cut_off", cut_off, 9000), (at + 4000, "surge", "ann", 4000)]

    def plot_behind(self, at: int) -> list[Row]:
        """One is down, or cut off for long, while hundreds of changes are made."""
        who, count = self.rng.randrange(self.disks), self.rng.choice((60, 300))
        away = ("kill", who, 8000) if self.rng.random() < EVENLY else ("cut_one", who, "both", False, 20000)
        return [(at, *away), (at + 100, "storm", count, 20)]

    def plot_second_loss(self, at: int) -> list[Row]:
        """A disk lost as soon as the machine that came in place of another counts as whole."""
        rng = self.rng
        first, second = rng.randrange(self.disks), rng.randrange(self.disks)
        kind = rng.choice(("replace", "replace_planned"))
        whole = at + 1000 + CATCH_UP_MS + rng.randrange(20, 100)
        return [
            (at, kind, rng.choice((LEADER, first)), 1000),
            (whole, "wipe", rng.choice((LEADER, ACKER, second)), 500),
        ]
