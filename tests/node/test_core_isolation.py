"""Whole processes on a fake clock, of which some are partitioned or frozen for up to 20 s.

Operators send orders to both sides of the partition; `simulation/isolation.py` checks the answers they get."""

import json
from dataclasses import replace
from random import Random

import pytest
from fake_fleet import heartbeat_frame
from result import Ok

from rampfront.consensus.events import OrderEnded, OrderKind, Outcome
from rampfront.consensus.leader import Leader
from rampfront.consensus.state import State
from rampfront.node import control_calls, order_submitter
from rampfront.node.metrics_page import gauges
from rampfront.node.status_views import StatusViews
from rampfront.settings import settings_reader
from rampfront.settings.limits import MAX_REVISION
from rampfront.simulation.checks import InvariantError
from rampfront.simulation.fleet import ApiCall
from rampfront.simulation.isolation import IsolationRun

MS, SEC = 10**6, 10**9
CUT = 20 * SEC


@pytest.mark.parametrize("ways", ["both", "in", "out"])
@pytest.mark.parametrize("who", ["leader", "follower", "diskless"])
def test_a_node_cut_off_for_20_s_confirms_no_order(who, ways):
    run = IsolationRun()
    run.go(SEC)
    node = run.pick(who)
    pairs = run.cut([node], ways)
    run.targets = [node, *run.fleet.core]  # it gets many orders before it detects that it is cut off
    run.go(3 * SEC)
    run.targets = [node, run.leader()]
    before = run.acknowledged
    run.go(CUT - 3 * SEC)
    assert run.answers(node, 503) > 10 and not run.answers(node, 200)
    assert run.acknowledged > before  # the other nodes continue to confirm orders
    run.join(pairs)
    run.go(2 * SEC)
    run.check_agreement()


def test_a_leader_cut_off_from_the_core_alone_confirms_no_order():
    """Nodes without a disk reach both sides of the partition."""
    run = IsolationRun(2)
    run.go(SEC)
    old = run.leader()
    pairs = run.cut([old], others=run.fleet.core)
    run.go(4 * SEC)
    before = run.acknowledged
    run.targets = [old, run.leader(), run.fleet.machines[8]]
    run.go(CUT - 4 * SEC)
    assert run.answers(old, 503) > 10 and run.acknowledged > before
    run.join(pairs)
    run.go(2 * SEC)
    run.check_agreement()


def test_without_a_majority_on_any_side_no_order_is_confirmed():
    run = IsolationRun()
    pairs = run.cut([m for m in run.fleet.machines if m.zone[0] == "a"])  # two of four with a disk
    run.cut_since = dict.fromkeys(run.fleet.machines, run.fleet.now)
    run.go(CUT // 2)
    run.targets = [
        m for m in run.fleet.machines if not run.answers(m, 503)
    ]  # every machine gets an order, whatever the seed
    run.go(CUT - CUT // 2)
    assert all(run.answers(m, 503) and not run.answers(m, 200) for m in run.fleet.machines)
    run.join(pairs)
    run.go(3 * SEC)
    run.check_agreement()


def test_one_revision_on_both_sides_of_a_partition_is_confirmed_once():
    """An entry of a leader that is cut off neither confirms nor rejects an order with the same revision."""
    run = IsolationRun()
    run.quiet = True
    run.go(SEC)
    old = run.leader()
    pairs = run.cut([old])
    lost = run.body()
    other = lost.replace(b'"Target": "1s"', b'"Target": "2s"')
    entered = run.order("config", old, lost)
    run.go(100 * MS)
    assert old.core_member.entry.revision == run.numbers  # only on the old leader's disk
    denied = run.order("config", old, other)
    run.go(4 * SEC)
    taken = run.order("config", run.leader(), other)
    run.go(SEC)
    assert (entered[0].status, denied[0].status, taken[0].status) == (503, 503, 200)
    run.join(pairs)
    run.go(3 * SEC)
    late = [run.order("config", machine, lost) for machine in (old, run.leader())]
    reads = [run.order("read", machine) for machine in run.fleet.machines]
    run.go(SEC)
    assert [reply[0].status for reply in late] == [409, 409]
    assert all(read[0].body == other for read in reads)


@pytest.mark.parametrize("who", ["follower", "diskless"])
def test_a_node_cut_off_from_the_core_alone_tells_for_how_long_no_leader_answered_it(who):
    """Other nodes keep its lease valid, but orders at it are answered 503."""
    run = IsolationRun(operators=0)
    run.go(SEC)
    node = run.pick(who)
    views = StatusViews(node.node_process)
    assert json.loads(views.state(ApiCall({})).body)["LeaderSilentMs"] is None
    pairs = run.cut([node], others=[machine for machine in run.fleet.core if machine is not node])
    run.go(6 * SEC)
    view = json.loads(views.state(ApiCall({})).body)
    assert view["Fresh"] and view["OutOfTouchMs"] is None and 5000 <= view["LeaderSilentMs"] <= 7500
    assert dict(gauges(node.node_process))["leader_silent_seconds"] == pytest.approx(
        view["LeaderSilentMs"] / 1000, abs=0.1
    )
    asked = run.order("read", node)
    run.go(SEC)
    assert asked[0].status == 503
    run.join(pairs)
    run.go(3 * SEC)
    assert json.loads(views.state(ApiCall({})).body)["LeaderSilentMs"] is None


def test_evacuations_are_read_behind_a_confirmed_round():
    run = IsolationRun(operators=0)
    run.go(SEC)
    emptied = run.order("empty", run.pick("diskless"), of="a1")
    run.go(SEC)
    old = run.leader()
    reads = [run.order("zones", machine) for machine in (old, run.pick("diskless"))]
    run.go(SEC)
    assert emptied[0].status == 200
    assert [json.loads(read[0].body)["Emptied"] for read in reads] == [["a1"], ["a1"]]
    run.cut([old])
    late = run.order("zones", old)
    run.go(SEC)
    assert late[0].status == 503


@pytest.mark.parametrize("who", ["leader", "diskless"])
def test_a_node_restarted_while_cut_off_answers_503(who):
    """The state on its disk is outdated and must not be used for answers, except to report how outdated it is."""
    run = IsolationRun()
    run.go(SEC)
    node = run.pick(who)
    pairs = run.cut([node])
    run.quiet = True
    run.go(SEC)
    run.fleet.stop(node)
    run.go(3 * SEC)
    run.fleet.start(node)
    answers = []
    for _ in range(5):
        answers += [run.order(kind, node, run.body(), of="a1") for kind in ("config", "read", "empty", "fill")]
        run.go(SEC)
    assert all(answer[0].status == 503 for answer in answers)
    lookup = node.directory.lookup(ApiCall({"Zone": "a1"}))
    assert lookup.status == 503 and dict(lookup.headers)[b"Retry-After"]
    assert not node.node_process.disseminator.ready
    assert json.loads(StatusViews(node.node_process).state(ApiCall({})).body)["OutOfTouchMs"] >= 5000
    run.join(pairs)
    run.go(3 * SEC)
    run.check_agreement()


@pytest.mark.parametrize("span", [900, 1600, 3000, 20000])
def test_a_leader_that_was_frozen_gives_way(span):
    run = IsolationRun(span)
    run.go(SEC)
    old = run.leader()
    run.fleet.freeze(old)
    run.targets = [old, *run.fleet.core]
    run.go(span * MS)
    run.fleet.thaw(old, old.life)
    run.go(SEC)
    run.check_agreement()


def test_a_thawed_leader_steps_down_before_it_handles_frames_that_waited():
    """It handles heartbeats before its timers run, and must not drop nodes that it did not hear from while frozen from
    the roster. No other node leads meanwhile."""
    run = IsolationRun()
    run.go(SEC)
    run.quiet = True
    old, other = run.leader(), run.pick("follower")
    run.fleet.freeze(old)
    run.fleet.freeze(other)
    run.go(6 * SEC)  # the other nodes' leases have expired, so they are not ready
    old.frozen, old.inbox = False, []
    node_process = old.node_process
    for machine in run.fleet.machines[4:]:
        hail = heartbeat_frame(machine.node_process.disseminator, machine.node_process.context.clock())
        assert not hail["r"]
        node_process.frame_dispatcher.dispatch(machine.ip, hail)
        assert len(node_process.disseminator.roster) == 11
    assert not node_process.disseminator.is_leader


def test_a_thawed_leader_numbers_no_list_that_it_polled_before():
    run = IsolationRun()
    run.go(SEC)
    old = run.leader()
    run.fleet.freeze(old)
    run.go(3 * SEC)
    old.frozen, old.inbox = False, []
    node_process = old.node_process
    held = node_process.disseminator.endpoints_version
    node_process.server_list.on_polled(
        node_process.request_proxy.servers._replace(endpoints=node_process.request_proxy.servers.endpoints[1:])
    )
    assert (
        node_process.disseminator.endpoints_version == held and len(node_process.request_proxy.servers.endpoints) == 8
    )


def test_a_thawed_leader_does_not_report_that_it_leads():
    run = IsolationRun()
    run.go(SEC)
    old = run.leader()
    run.fleet.freeze(old)
    run.go(3 * SEC)
    old.frozen, old.inbox = False, []
    assert json.loads(StatusViews(old.node_process).state(ApiCall({})).body)["Leads"] is False


def test_views_and_metrics_report_for_how_long_a_node_is_out_of_touch():
    run = IsolationRun()
    run.quiet = True
    run.go(SEC)
    for node in (run.leader(), run.fleet.machines[7]):
        views, node_process = StatusViews(node.node_process), node.node_process
        assert json.loads(views.state(ApiCall({})).body)["OutOfTouchMs"] is None
        assert dict(gauges(node_process))["out_of_touch_seconds"] == 0
        pairs = run.cut([node])
        run.go(20 * SEC)
        for answer in (
            views.state(ApiCall({})),
            views.nodes(ApiCall({})),
            views.servers(ApiCall({})),
            views.quotas(ApiCall({})),
        ):
            assert 20_000 <= json.loads(answer.body)["OutOfTouchMs"] < 21_500
        values = dict(gauges(node_process))
        assert values["out_of_touch"] and 20 <= values["out_of_touch_seconds"] < 21.5 and not values["leads"]
        run.join(pairs)
        run.go(3 * SEC)
        assert json.loads(views.state(ApiCall({})).body)["OutOfTouchMs"] is None


def test_what_the_core_would_never_take_is_rejected_with_4xx(monkeypatch):
    """Orders that the leader would always reject get a 4xx where they are submitted, not a 503 that invites a retry."""
    run = IsolationRun()
    run.quiet = True
    largest = b"r%d" % MAX_REVISION
    for text, status in ((b"r0", 400), (b"r%d" % (MAX_REVISION + 1), 400), (largest, 200)):
        body = run.body().replace(b'"r%d"' % run.numbers, b'"%s"' % text, 1)
        answers = run.order("config", run.fleet.machines[7], body)
        run.go(SEC)
        assert answers[0].status == status and (status == 200 or b"Revision" in answers[0].body)
    monkeypatch.setattr(control_calls, "MAX_COMPRESSED_BYTES", 4000)
    body = json.dumps({**json.loads(run.body()), "Note": Random(1).randbytes(4000).hex()}).encode()
    answers = run.order("config", run.fleet.machines[7], body)
    assert answers[0].status == 413 and b"compressed" in answers[0].body


def test_a_zone_of_reloaded_settings_can_be_evacuated(monkeypatch):
    run = IsolationRun()
    run.quiet = True
    machine = run.fleet.machines[7]
    node_process = machine.node_process
    assert run.order("empty", machine, of="c1")[0].status == 400
    new = replace(
        node_process.context.process_settings, zones={**node_process.context.process_settings.zones, "c1": "c"}
    )
    monkeypatch.setattr(settings_reader, "load", lambda path: Ok(new))
    node_process.settings_reloader.reload("settings.json")
    answers = run.order("empty", machine, of="c1")
    run.go(SEC)
    assert answers[0].status == 200


# Each of the following tests injects a fault, which the checks above must detect.


def answered_at_once(leadership, submit, request):
    """Answer a read from the leader's own state, without a round of confirmation."""
    if request.kind == OrderKind.READ and leadership.persistent.committed is not None:
        leadership.context.emit(OrderEnded(request.ref, Outcome.DONE, leadership.persistent.committed))
    else:
        submit(leadership, request)


def test_a_read_without_a_round_would_be_found(monkeypatch):
    submit = Leader.submit
    monkeypatch.setattr(Leader, "submit", lambda leadership, request: answered_at_once(leadership, submit, request))
    with pytest.raises(InvariantError, match="read is confirmed by n1, cut off|was acknowledged before it"):
        test_a_node_cut_off_for_20_s_confirms_no_order("leader", "both")


def test_a_leader_that_never_steps_down_would_be_found(monkeypatch):
    monkeypatch.setattr(Leader, "is_expired", lambda leadership, now: False)
    with pytest.raises(InvariantError, match=r"n1 knows \d fronts"):
        test_a_node_cut_off_for_20_s_confirms_no_order("leader", "both")


def test_an_order_confirmed_by_less_than_a_majority_would_be_found(monkeypatch):
    monkeypatch.setattr(State, "has_quorum", lambda state, known: True)
    with pytest.raises(InvariantError):
        test_without_a_majority_on_any_side_no_order_is_confirmed()


def test_an_answer_that_waits_for_the_tick_would_be_found(monkeypatch):
    monkeypatch.setattr(order_submitter, "ANSWER_TIMEOUT_NS", 980 * MS)
    with pytest.raises(InvariantError, match="not answered within a second"):
        test_a_node_cut_off_for_20_s_confirms_no_order("diskless", "both")
