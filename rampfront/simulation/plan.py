"""The plan of a run of the whole system: rows (ms, name, ...), each the name of a method of `SystemRun` and its
arguments. The plan is drawn from the seed before the run starts, so that `shrink.py` can leave rows out and a test can
hold the plan of a run that failed."""

from collections.abc import Callable
from random import Random

from .fleet import ZONES

FAULTS_BEGIN_MS = 6000
CATCH_UP_MS = 4000  # after which a replaced machine counts as a full member
# Used instead of a machine's number: the leader at that time, and the machine that acknowledged an order last.
LEADER, LAST_ACKNOWLEDGER = -1, -2
SERVICES = "one", "two"
CLOSING_FAULTS = "none", "kill_all", "power", "power", "wipe"
SALT_RANGE = 1 << 16  # of the numbers that decide choices made when a row comes due
EVEN_CHANCE, RARE_CHANCE, PLOT_CHANCE = 0.5, 0.25, 0.6  # probabilities

Row = tuple  # (ms, name of a method of SystemRun, *arguments)

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
ORDERS = (  # (share of all orders, kind)
    (0.45, "config"),
    (0.05, "race"),
    (0.05, "again"),
    (0.35, "evacuate"),
    (0.10, "read"),
)


def draw_plan(seed: int, nodes: int, disks: int, length: int) -> list[Row]:
    """Draws the rows of a plan, ordered by time. `length`: ms during which faults begin."""
    return Planner(seed, nodes, disks, length).draw()


class Planner:
    """Draws one plan with a random generator of its own, so that the plan does not depend on what happens in the
    run."""

    def __init__(self, seed: int, nodes: int, disks: int, length: int) -> None:
        """`nodes`: machines, of which the first `disks` form the core; `length`: ms during which faults begin."""
        self.rng = Random(seed * 7919 + nodes)
        self.nodes, self.disks, self.end = nodes, disks, FAULTS_BEGIN_MS + length
        self.zones = list(ZONES)
        self.rate = self.rng.choice((0.1, 0.5, 1.0, 1.5, 2.5))  # faults per second
        # A few kinds of fault, each of them frequent, reveal more than all kinds together.
        chosen = {kind for kind in sorted(set(FAULTS)) if self.rng.random() < EVEN_CHANCE}
        self.kinds = [kind for kind in FAULTS if kind in chosen] or list(FAULTS)

    def draw(self) -> list[Row]:
        """Draws the whole plan."""
        rng = self.rng
        plan = self.draw_rows(self.rate, self.draw_fault, FAULTS_BEGIN_MS)
        if rng.random() < PLOT_CHANCE:
            plan += getattr(self, f"plot_{rng.choice(PLOTS)}")(FAULTS_BEGIN_MS + rng.randrange(200, 1500))
        plan += self.draw_rows(rng.choice((0.5, 1.0, 2.0)), self.draw_order, FAULTS_BEGIN_MS // 2)
        plan = [row for row in plan if row[0] < self.end]  # no row in the calm
        plan.append((self.end, "last", rng.choice(CLOSING_FAULTS), rng.randrange(SALT_RANGE)))
        return sorted(plan, key=lambda row: row[0])

    def draw_rows(self, rate: float, draw: Callable[[], Row], begin: int) -> list[Row]:
        """Draws rows at random times. `rate`: rows a second."""
        rows = []
        at = begin + int(self.rng.expovariate(rate) * 1000)
        while at < self.end:
            rows.append((at, *draw()))
            at += 1 + int(self.rng.expovariate(rate) * 1000)
        return rows

    # The parts of rows.

    def draw_duration(self, least: int = 300, most: int = 5000) -> int:
        """How long a fault lasts (ms)."""
        return self.rng.randrange(least, most)

    def draw_long_duration(self) -> int:
        """How long a fault lasts (ms): half of the time longer than a lease, so that what relies on leases is
        tested."""
        return self.draw_duration(300, 4000) if self.rng.random() < EVEN_CHANCE else self.draw_duration(5000, 10000)

    def draw_target(self) -> int:
        """A machine: the leader, the one that acknowledged last, one of the core, or any."""
        any_one = self.rng.randrange(self.nodes), self.rng.randrange(self.nodes)
        return self.rng.choice((LEADER, LAST_ACKNOWLEDGER, self.rng.randrange(self.disks), *any_one))

    def draw_machines(self, most: int) -> tuple[int, ...]:
        """At most `most` machines."""
        return tuple(sorted(self.rng.sample(range(self.nodes), self.rng.randrange(1, most + 1))))

    def draw_salt(self) -> int:
        """A number that decides a choice made when the row comes due."""
        return self.rng.randrange(SALT_RANGE)

    def draw_rare(self) -> bool:
        """True with RARE_CHANCE."""
        return self.rng.random() < RARE_CHANCE

    def draw_fault(self) -> Row:
        """Draws one fault, without its time."""
        rng, kind = self.rng, self.rng.choice(self.kinds)
        if kind in ("kill", "term", "wipe", "replace", "replace_planned"):
            return kind, self.draw_target(), self.draw_duration(20, 3000)
        if kind in ("freeze", "hang_disk", "fill_disk", "slow_disk"):
            return kind, self.draw_target(), self.draw_long_duration()
        arguments: dict[str, Callable[[], Row]] = {
            "kill_all": lambda: (self.draw_salt(), self.draw_duration(10, 1000)),
            "replace_several": lambda: (self.draw_salt(), self.draw_duration(700, 1500)),
            "term_all": lambda: (self.draw_duration(500, 2000),),
            "lose_answers": lambda: (rng.choice((0.3, 0.7)), self.draw_long_duration()),
            "zone": lambda: (rng.choice(self.zones), self.draw_duration(1000, 4000)),
            "stutter": lambda: (self.draw_target(), rng.randrange(3, 9), self.draw_duration(50, 700)),
            # From all machines; in most cases clients and servers still reach it.
            "cut_one": lambda: (
                self.draw_target(),
                rng.choice(("both", "both", "in", "out")),
                self.draw_rare(),
                self.draw_long_duration(),
            ),
            "cut_off": lambda: (rng.randrange(self.nodes), self.draw_long_duration()),
            "cut_in_two": lambda: (self.draw_machines(self.nodes - 1), self.draw_rare(), self.draw_long_duration()),
            "cut_zone": lambda: (rng.choice(self.zones), self.draw_duration(1000, 7000)),
            "bad_links": lambda: (
                rng.choice((0.05, 0.2, 0.4)),
                rng.choice((0.0, 0.1, 0.5)),
                rng.choice((0, 50, 300)),
                self.draw_duration(300, 3000),
            ),
            "platform": lambda: (self.draw_duration(500, 4000),),
            "seeds": lambda: (tuple(rng.sample(range(self.disks + 1), min(3, self.disks))),),
            "after_ack": lambda: (
                rng.choice(("kill", "kill", "wipe", "kill_all", "cut_one", "term")),
                rng.randrange(6),
            ),
            "refuse": lambda: (rng.choice(SERVICES), self.draw_duration(500, 4000)),
            "crash": lambda: (self.draw_salt(), rng.random() < EVEN_CHANCE, self.draw_duration(500, 3000)),
            "drain": lambda: (self.draw_salt(), rng.random() < EVEN_CHANCE, self.draw_duration(500, 3000)),
            "surge": lambda: (rng.choice(("hot", "hot", "two", "low")), self.draw_duration(1500, 4500)),
            "restart": lambda: (self.draw_salt(),),
        }
        return kind, *arguments[kind]()

    def draw_order(self) -> Row:
        """Draws an operator's order, without its time."""
        rng = self.rng
        kind = rng.choices([kind for _, kind in ORDERS], [share for share, _ in ORDERS])[0]
        if kind == "config":
            return kind, self.draw_rare()
        if kind == "evacuate":
            return kind, rng.choice(self.zones), self.draw_duration(4000, 9000)
        return (kind, self.draw_salt()) if kind == "again" else (kind,)

    # Plots: sequences of faults that put one rule under the most pressure.

    def plot_revoke(self, at: int) -> list[Row]:
        """Cuts off a machine that clients still reach, so that it misses two versions, possibly until the run ends."""
        ways, target = self.rng.choice(("both", "both", "in", "out")), self.rng.randrange(self.nodes)
        cut = (at, "cut_one", target, ways, False, self.rng.choice((9500, 20000)))
        return [cut, *((at + later, "config", False) for later in (200, 600, 1000))]

    def plot_lease(self, at: int) -> list[Row]:
        """Cuts off a machine that clients still reach just as its lease begins, so that it misses two versions."""
        return [(at, "cut_when_fresh", self.rng.randrange(self.nodes), 9000)]

    def plot_doubt(self, at: int) -> list[Row]:
        """Sends orders to a leader that is cut off from all others, and reads after them."""
        orders = [(at + self.rng.randrange(300, 900), "config_at", LEADER)]
        return [(at, "cut_one", LEADER, "both", False, 3000), *orders, (at + 2000, "read"), (at + 3000, "read")]

    def plot_quota(self, at: int) -> list[Row]:
        """Splits the fleet during a surge and stops or suspends the machine that counts the quotas."""
        rng = self.rng
        return [
            (at, "cut_in_two", self.draw_machines(self.nodes // 2), False, 6000),
            (at + rng.randrange(-300, 900), "surge", "hot", 4500),
            (at + rng.randrange(-500, 2500), rng.choice(("kill", "freeze", "kill_all")), LEADER, 1500),
        ]

    def plot_cold(self, at: int) -> list[Row]:
        """Replaces the servers by cold ones during a surge."""
        return [(at, "surge", "ann", 5000), (at + 300, "restart", 0), (at + 600, "restart", 1)]

    def plot_drains(self, at: int) -> list[Row]:
        """Restarts and drains servers without any fault: machines in touch must stop sending to them in time."""
        salt = self.draw_salt()
        drains = [(at + 700, "drain", salt, False, 500), (at + 1500, "drain", salt + 5, False, 500)]
        return [(at, "restart", salt), *drains]

    def plot_repeats(self, at: int) -> list[Row]:
        """Has a service refuse every request during a surge."""
        return [(at, "surge", "ann", 4000), (at + 200, "refuse", self.rng.choice(SERVICES), 4000)]

    def plot_empty(self, at: int) -> list[Row]:
        """Evacuates a zone while a machine is cut off, so that it does not learn of it."""
        zone, cut_off = self.rng.choice(self.zones), self.rng.randrange(self.nodes)
        return [(at, "evacuate", zone, 7000), (at + 100, "cut_off", cut_off, 9000), (at + 4000, "surge", "ann", 4000)]

    def plot_behind(self, at: int) -> list[Row]:
        """Stops a machine or cuts it off for long while hundreds of changes are made."""
        target, count = self.rng.randrange(self.disks), self.rng.choice((60, 300))
        away = ("kill", target, 8000) if self.rng.random() < EVEN_CHANCE else ("cut_one", target, "both", False, 20000)
        return [(at, *away), (at + 100, "storm", count, 20)]

    def plot_second_loss(self, at: int) -> list[Row]:
        """Loses a disk as soon as the machine that replaced another one counts as a full member."""
        rng = self.rng
        first, second = rng.randrange(self.disks), rng.randrange(self.disks)
        kind = rng.choice(("replace", "replace_planned"))
        full_member_at = at + 1000 + CATCH_UP_MS + rng.randrange(20, 100)
        return [
            (at, kind, rng.choice((LEADER, first)), 1000),
            (full_member_at, "wipe", rng.choice((LEADER, LAST_ACKNOWLEDGER, second)), 500),
        ]
