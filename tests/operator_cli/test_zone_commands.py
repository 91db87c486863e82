"""The commands that evacuate zones and take them back."""

import json

from cli_fixtures import A, node_state


def test_a_zone_that_other_operators_keep_evacuated_is_reported(scripted_nodes):
    row = {"Zone": "z1", "Emptied": True, "Operators": 1, "Repeated": False, "Returned": True}
    reopening = {**row, "Operators": 0}
    scripted_nodes.put(A, empty_finish=(200, row), nodes_read=(200, {"Nodes": []}))
    assert "z1 stays emptied (to be taken back by 1 more)" in scripted_nodes.run("return", "z1")
    scripted_nodes.put(A, empty_finish=(200, {**row, "Emptied": False, "Returned": False}))
    assert "z1 is taken back" in scripted_nodes.run("return", "z1")
    for evacuation, words in (
        (row, "by 1 more"),
        (reopening, "opens by itself"),
        ({**row, "Repeated": True}, "a repeat"),
    ):
        scripted_nodes.put(A, state_read=(200, node_state(Emptied=["z1"], Evacuations=[evacuation])))
        assert words in scripted_nodes.run("status")


def test_what_still_holds_a_zone_is_named_and_can_be_ended(scripted_nodes):
    row = {"Zone": "z1", "Emptied": True, "Operators": 1, "Repeated": False, "Returned": True}
    held = {**row, "HeldBy": [{"Hold": "2a", "Answer": "unknown"}]}
    scripted_nodes.put(A, empty_finish=(200, held), nodes_read=(200, {"Nodes": []}))
    assert "holds: 2a (answer unknown)" in scripted_nodes.run("return", "z1")
    scripted_nodes.put(A, empty_finish=(200, {**row, "Emptied": False, "Operators": 0}))
    assert "z1 is taken back" in scripted_nodes.run("return", "z1", "--hold", "2a")
    assert scripted_nodes.received_calls[-1][1:3] == ("empty.finish", {"of": "z1", "hold": "2a"})


def test_zones_are_evacuated_and_taken_back(scripted_nodes):
    scripted_nodes.put(A, empty_start=(200, {}), empty_finish=(200, {}))
    assert scripted_nodes.run("evacuate", "z 1") == "z 1 is emptied; its servers get nothing new\n"
    assert json.loads(scripted_nodes.run("return", "z1", "--json")) == {"Zone": "z1", "Order": "empty.finish", "By": A}
    assert [row[1:3] for row in scripted_nodes.received_calls] == [
        ("empty.start", {"of": "z 1"}),
        ("empty.finish", {"of": "z1"}),
    ]


def test_an_unknown_zone_is_answered_with_the_known_ones(scripted_nodes):
    scripted_nodes.put(A, empty_start=(400, {"Message": "of: no such zone"}), state_read=(200, node_state()))
    output = scripted_nodes.run("evacuate", "z9", code=1)
    assert "of: no such zone" in output and "z1, z2" in output
