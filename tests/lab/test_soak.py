"""The soak: real nodes under misbehaving servers, signals and restarts, judged by what servers executed."""

import pytest

from rampfront.lab.system import plan as plans
from rampfront.lab.system import run as runs
from rampfront.lab.system.judge import judge
from rampfront.lab.system.misbehaving_server import Misbehaviour
from rampfront.lab.system.soak import SoakSystem, play
from rampfront.lab.system.soak_plan import SoakSize, base_address, draw_plan

COPIES = Misbehaviour.COPY_ON_ARRIVAL, Misbehaviour.COPY_BEFORE_ANSWER, Misbehaviour.UNNAMED_COPY
PROMISE_RULES = ("REFUSED", "TWICE", "UNASKED", "MIXED")
ONE_SERVER = {
    "name": "copies",
    "duration_s": 3.0,
    "warmup_s": 0.5,
    "zones": {"a": "north"},
    "pilots": [{"zone": "a"}],
    "services": [
        {
            "name": "orders",
            "servers": {"a": 1},
            "latency": {"mean_ms": 20.0, "kind": "constant"},
        }
    ],
    "routes": [{"name": "order", "kind": "changing", "service": "orders", "tries": 4}],
    "streams": [{"name": "orders", "route": "order", "rate": 60.0, "body_bytes": 100}],
}


class UndisturbedSystem(SoakSystem):
    """Nothing but the servers misbehaves."""

    def begin_disturbances(self):
        pass


@pytest.mark.slow(6)
@pytest.mark.parametrize("kind", COPIES, ids=lambda kind: kind.value)
def test_a_late_copy_of_a_rejection_breaks_no_promise_on_real_sockets(kind, tmp_path):
    plan = plans.parse({**ONE_SERVER, "base": base_address(900 + COPIES.index(kind))})

    async def run(system):
        system.manners.shares = {Misbehaviour.SHED: 0.4, kind: 1.0}
        await system.run()
        copies = sum(server.counts[kind.value] for server in system.fleet.servers.values())
        return copies, judge(system.observed, system.terms)

    copies, findings = runs.run_system(
        lambda loop, folder: UndisturbedSystem(loop, plan, folder), plan, tmp_path / "run", run
    )
    assert copies > 10 and not set(findings) & set(PROMISE_RULES)


def test_a_plan_is_drawn_from_its_seed():
    assert draw_plan(7, SoakSize()) == draw_plan(7, SoakSize()) != draw_plan(8, SoakSize())
    assert base_address(7) != base_address(207) != base_address(8)


@pytest.mark.slow(20)
@pytest.mark.parametrize("seed", range(1, 6))
def test_a_short_soak_breaks_no_rule(seed, tmp_path):
    result = play(seed, SoakSize(seconds=6.0), tmp_path)
    assert not result.error and not result.broken, result
    assert result.executed and result.counters["declined_in_flight"] == 0
