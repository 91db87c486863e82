"""The status of the whole system, and the problems that it names."""

import json

from cli_fixtures import UNREACHABLE, A, B, node_row, node_state

from rampfront.operator_cli import status_text, system_status


def test_status_asks_every_node_and_prints_the_problems(scripted_nodes):
    members = [["n1", "127.0.0.1"], ["n2", "127.0.0.2"], ["n3", "127.0.0.3"]]
    lists = (200, {"Nodes": [node_row("n1", "127.0.0.1", A), node_row("n4", "127.0.0.4", "127.0.0.4:1")]})
    scripted_nodes.put(A, nodes_read=lists, state_read=(200, node_state(Members=members)))
    scripted_nodes.put(
        B,
        state_read=(
            200,
            node_state("n2", "127.0.0.2", Members=members, Index=4, Revision="r0", Counts={"stores_failed": 2}),
        ),
    )
    scripted_nodes.put(
        "127.0.0.4:1",
        state_read=(
            200,
            node_state("n4", "127.0.0.4", Fresh=False, Ready=False, WordAgeMs=None, Disk=False, Members=members),
        ),
    )
    status = json.loads(scripted_nodes.run("status", "--json"))
    assert [row["Node"] for row in status["Nodes"] if row["Answers"]] == ["n1", "n2", "n4"]
    assert status["Leader"] == "n1" and status["Amiss"][0].startswith("n4 is out of touch")
    assert status["Amiss"][1:] == [
        "of 3 members of the core 1 do not answer: n3",
        "n2 holds r0 of step 4, the newest is r1 of step 5",
        "the disk of n2 refused 2 writes",
        "n4 is not ready: it knows no server, no configuration or no word of the core",
    ]
    assert "silent" in scripted_nodes.run("status") and "n3" in scripted_nodes.run("status", "--check", code=1)


def test_a_core_without_a_majority_is_the_most_severe_problem():
    members = [["n1", "1"], ["n2", "2"]]
    rows = [
        node_state(ip="1", Members=members, Leads=False, Answers=True),
        {"Node": "n2", "Ip": "2", "Zone": "?", "Control": "2:1", "Answers": False},
    ]
    status = system_status.assess(rows, rows[0])
    assert status["Amiss"][0].startswith("the core has no majority: n2 of 2 members") and status["Leader"] is None


def test_status_prints_the_state_of_each_core_member():
    members = [["n1", "127.0.0.1"], ["n2", "127.0.0.2"]]
    rows = [{"Name": "n1", "Ip": "127.0.0.1", "State": "voter"}, {"Name": "n2", "Ip": "127.0.0.2", "State": "silent"}]
    core = {"Wanted": 2, "FullMs": None, "Members": rows}
    reports = [
        node_state(Members=members, Core=core, Answers=True),
        node_state("n2", "127.0.0.2", Members=members, Answers=True),
    ]
    status = system_status.assess(reports, reports[0])
    assert "n2 (127.0.0.2) of the core is silent" in status["Amiss"]
    assert "the core is not at full strength: 1 of 2 members that are wanted vote" in status["Amiss"]
    core.update(BelowTargetMs=7000)
    reports[1]["OutsideCoreMs"] = 8000
    status = system_status.assess(reports, reports[0])
    assert any(line.startswith("the core has been below its target of 2 members for 7") for line in status["Amiss"])
    assert any(line.startswith("n2 has a disk and has been no member of the core for 8") for line in status["Amiss"])
    del reports[1]["OutsideCoreMs"], core["BelowTargetMs"]
    core.update(FullMs=9000, Members=rows[:1])
    status = system_status.assess(reports, reports[0])
    assert status["Amiss"] == [] and "(2 wanted, at full strength for 9" in status_text.format_core(status)
    for invalid in ("x", {}, {**core, "Members": [1]}, {**core, "Members": [{"Name": "n1"}]}):
        reports[0]["Core"] = invalid
        assert system_status.assess(reports, reports[0])["Core"] is None


def test_a_watch_goes_on_while_no_node_answers(scripted_nodes):
    scripted_nodes.put(
        A, nodes_read=[UNREACHABLE] * 5 + [(200, {"Nodes": []})], state_read=(200, node_state())
    )  # a call is attempted three times within 0.2 s, so the first repetition fails
    rounds = scripted_nodes.run(
        "status", "--watch", "--rounds", "3", "--every", "9", "--json", "--within", "0.2"
    ).splitlines()
    assert [json.loads(line)["Leader"] for line in rounds] == ["n1", "n1"] and scripted_nodes.now > 18
