"""The commands that evacuate zones and take them back."""

import json

import pytest
from cli_fixtures import A, node_state

from rampfront.operator_cli import zone_commands

VIEW = {"Zone": "z1", "Emptied": True, "Operators": 1, "Repeated": False, "Returned": False}
HELD = {**VIEW, "Operators": 2, "HeldBy": [{"Hold": "1000000000002a"}, {"Hold": "1000000000002b"}]}


def test_a_zone_that_other_operators_hold_is_reported_and_their_holds_can_be_ended(scripted_nodes):
    message = "z1 stays emptied, as holds of other keys are left: 1000000000002a"
    scripted_nodes.put(A, empty_finish=(409, {"Message": message, **HELD}))
    assert message in scripted_nodes.run("return", "z1", code=1)
    scripted_nodes.put(A, empty_finish=(200, HELD))
    output = scripted_nodes.run("return", "z1", "--hold", "1000000000002c")
    assert "z1 stays emptied (holds: 1000000000002a, 1000000000002b)" in output
    assert scripted_nodes.received_calls[-1][1:3] == ("empty.finish", {"of": "z1", "hold": "1000000000002c"})
    scripted_nodes.put(A, empty_finish=(200, {**VIEW, "Emptied": False, "Operators": 0}))
    assert "z1 is taken back" in scripted_nodes.run("return", "z1")


@pytest.mark.parametrize("evacuation, words", [(VIEW, "z1\n"), ({**VIEW, "Operators": 3}, "z1 (3 holds)")])
def test_status_shows_how_many_hold_a_zone(scripted_nodes, evacuation, words):
    states = node_state(Emptied=["z1"], Evacuations=[evacuation])
    scripted_nodes.put(A, state_read=(200, states), nodes_read=(200, {"Nodes": []}))
    assert f"zones emptied: {words}" in scripted_nodes.run("status")


def test_zones_are_evacuated_and_taken_back(scripted_nodes):
    scripted_nodes.put(A, empty_start=(200, {}), empty_finish=(200, {}))
    assert scripted_nodes.run("evacuate", "z 1") == "z 1 is emptied; its servers get nothing new\n"
    assert json.loads(scripted_nodes.run("return", "z1", "--json")) == {"Zone": "z1", "Order": "empty.finish", "By": A}
    assert [row[1:3] for row in scripted_nodes.received_calls] == [
        ("empty.start", {"of": "z 1"}),
        ("empty.finish", {"of": "z1"}),
    ]


def test_an_operator_s_orders_have_the_operator_s_name_as_their_key(scripted_nodes, monkeypatch):
    """So `return` ends the hold of `evacuate`, and a repeat of either is known."""
    keys = []
    send = scripted_nodes.send

    async def sending(loop, address, request, *more):
        keys.append(dict(request.headers).get(b"Idempotency-Key"))
        return await send(loop, address, request, *more)

    monkeypatch.setattr(scripted_nodes, "send", sending)
    scripted_nodes.put(A, empty_start=(200, {}), empty_finish=(200, {}))
    scripted_nodes.run("evacuate", "z1")
    scripted_nodes.run("return", "z1")
    scripted_nodes.run("return", "z1", "--operator", "ann")
    assert keys == [zone_commands.login_name().encode()] * 2 + [b"ann"]
    assert "printable" in scripted_nodes.run("evacuate", "z1", "--operator", "a\nb", code=2)


def test_without_a_login_name_the_operator_has_a_name_all_the_same(monkeypatch):
    def fail():
        raise KeyError("uid not found")

    monkeypatch.setattr(zone_commands.getpass, "getuser", fail)
    assert zone_commands.login_name() == zone_commands.UNKNOWN_OPERATOR


def test_an_unknown_zone_is_answered_with_the_known_ones(scripted_nodes):
    scripted_nodes.put(A, empty_start=(400, {"Message": "of: no such zone"}), state_read=(200, node_state()))
    output = scripted_nodes.run("evacuate", "z9", code=1)
    assert "of: no such zone" in output and "z1, z2" in output
