"""The commands that save, verify and restore snapshots."""

import json

import pytest
from cli_fixtures import ZONES, A, configuration, node_state
from hypothesis import given, settings, strategies

from rampfront.operator_cli import restore_plan, snapshot_file


def save_snapshot(scripted_nodes, tmp_path, data, code=0, emptied=(), **other):
    """Saves a snapshot of a system with the configuration `data`, whose body has extra spaces that must be kept."""
    body = json.dumps(data, indent=3).encode()
    confirmed = other.pop("confirmed", None)
    scripted_nodes.put(
        A,
        config_read=(200, body),
        nodes_read=(200, {"Nodes": []}),
        state_read=(200, node_state(Revision=data["Revision"], Emptied=list(emptied), **other)),
        evacuations_read=confirmed or (200, {"Revision": data["Revision"], "Emptied": list(emptied)}),
    )
    path = tmp_path / "system.snapshot"
    return path, body, scripted_nodes.run("snapshot", "save", str(path), code=code)


def test_a_snapshot_contains_the_body_byte_for_byte_and_is_verified_offline(scripted_nodes, tmp_path):
    path, body, output = save_snapshot(scripted_nodes, tmp_path, configuration("r7"), emptied=["z2"])
    assert "r7" in output and "zones emptied: z2" in output and path.read_bytes().endswith(b"\n" + body)
    assert path.stat().st_mode & 0o777 == 0o600 and list(tmp_path.iterdir()) == [path]
    calls_before = len(scripted_nodes.received_calls)
    summary = json.loads(scripted_nodes.run("snapshot", "verify", str(path), "--json", at=()))
    assert (summary["Revision"], summary["Emptied"], summary["Step"]) == ("r7", ["z2"], 5) and len(
        scripted_nodes.received_calls
    ) == calls_before


def test_evacuations_are_those_that_a_majority_confirms(scripted_nodes, tmp_path):
    """One node's view may lack the newest evacuation if the leader changes at that moment."""
    confirmed = (200, {"Revision": "r7", "Emptied": ["z1"]})
    output = save_snapshot(scripted_nodes, tmp_path, configuration("r7"), confirmed=confirmed)[2]
    assert "zones emptied: z1" in output
    unconfirmed = (503, {"Message": "the core gave no answer in time"})
    output = save_snapshot(scripted_nodes, tmp_path, configuration("r7"), code=3, confirmed=unconfirmed)[2]
    assert "the core gave no answer" in output


def test_evacuations_of_nodes_of_an_earlier_version_are_those_of_the_leader_s_view(scripted_nodes, tmp_path):
    unknown = (404, {"Message": "no such call"})
    output = save_snapshot(scripted_nodes, tmp_path, configuration("r7"), emptied=["z2"], confirmed=unknown)[2]
    assert "zones emptied: z2" in output


@settings(max_examples=60, deadline=None, derandomize=True)
@given(strategies.data())
def test_a_snapshot_that_was_changed_anywhere_is_rejected(data):
    raw = snapshot_file.pack(
        json.dumps(configuration()).encode(), {"Revision": "r1", "Step": 1, "Emptied": [], "Zones": {}, "TakenAt": ""}
    )
    assert snapshot_file.unpack(raw).is_ok()
    position = data.draw(strategies.integers(0, len(raw) - 1))
    assert snapshot_file.unpack(raw[:position]).is_err()
    assert snapshot_file.unpack(
        raw[:position] + bytes((raw[position] ^ 1 << data.draw(strategies.integers(0, 7)),)) + raw[position + 1 :]
    ).is_err()


@pytest.mark.parametrize(
    "header, message",
    [
        ({"Step": "1"}, "Step: missing"),
        ({"Revision": "r2"}, "Revision: r2, and its"),
        ({"Emptied": ["z9"]}, "Emptied: no such zone: 'z9'"),
    ],
)
def test_verify_prints_the_invalid_field(scripted_nodes, tmp_path, header, message):
    raw = snapshot_file.pack(
        json.dumps(configuration()).encode(),
        {"Revision": "r1", "Step": 1, "Emptied": [], "Zones": ZONES, "TakenAt": "", **header},
    )
    (tmp_path / "s").write_bytes(raw)
    assert message in scripted_nodes.run("snapshot", "verify", str(tmp_path / "s"), at=(), code=2)
    (tmp_path / "s").write_text(json.dumps(configuration()))
    assert "`apply FILE`" in scripted_nodes.run("snapshot", "verify", str(tmp_path / "s"), at=(), code=2)


def test_a_save_between_two_versions_reads_again(scripted_nodes, tmp_path):
    scripted_nodes.put(
        A,
        config_read=[(200, configuration("r1")), (200, configuration("r2"))],
        nodes_read=(200, {"Nodes": []}),
        state_read=(200, node_state(Revision="r2", Emptied=["z1"])),
        evacuations_read=(200, {"Revision": "r2", "Emptied": ["z1"]}),
    )
    scripted_nodes.run("snapshot", "save", str(tmp_path / "s"))
    assert (
        '"Revision":"r2"' in (tmp_path / "s").read_text()
        and [row[1] for row in scripted_nodes.received_calls].count("config.read") == 2
    )
    output = save_snapshot(scripted_nodes, tmp_path, configuration("r3"), code=1, Leads=False)[2]
    assert "no node that answers leads" in output and not (tmp_path / "system.snapshot").exists()


def test_a_restore_raises_the_version_above_the_one_in_force(scripted_nodes, tmp_path):
    path, body, _ = save_snapshot(scripted_nodes, tmp_path, configuration("r3"), emptied=["z2"])
    current = configuration("r9", Groups=[*configuration()["Groups"], {"Name": "more"}])
    scripted_nodes.put(
        A,
        config_read=(200, current),
        config_replace=(200, {}),
        empty_start=(200, {}),
        empty_finish=(200, {}),
        state_read=(200, node_state(Revision="r9", Emptied=["z1"])),
    )
    del scripted_nodes.received_calls[:]
    output = scripted_nodes.run("snapshot", "restore", str(path), "--dry-run")
    assert "- service more" in output and "would be given as r10, raised from r3 as r9 holds" in output
    assert "zone z2 would be emptied" in output and "z1 is emptied now" in output and "--dry-run" in output
    assert {row[1] for row in scripted_nodes.received_calls} <= {"config.read", "nodes.read", "state.read"}
    raised = body.replace(b'"r3"', b'"r10"')
    scripted_nodes.put(A, config_read=[(200, current), (200, raised)])
    plan = json.loads(scripted_nodes.run("snapshot", "restore", str(path), "--json", "--take-back"))
    assert (plan["Gives"], plan["Raised"], plan["By"], plan["TakesBack"]) == ("r10", True, A, ["z1"])
    orders = [row for row in scripted_nodes.received_calls if row[1] not in ("config.read", "nodes.read", "state.read")]
    assert [(row[1], row[2].get("of"), row[3]) for row in orders] == [
        ("empty.start", "z2", b""),
        ("empty.finish", "z1", b""),
        ("config.replace", None, raised),
    ]  # the rest of the body is unchanged
    scripted_nodes.put(
        A, config_read=[(200, current), (200, configuration("r11"))]
    )  # another operator has applied r11 meanwhile
    assert "r10 changes nothing: r11 holds" in scripted_nodes.run("snapshot", "restore", str(path), code=1)


def test_a_restore_onto_an_empty_system_and_onto_the_same(scripted_nodes, tmp_path):
    path, body, _ = save_snapshot(scripted_nodes, tmp_path, configuration("r3"))
    scripted_nodes.put(
        A, config_read=[(404, {}), (200, body)], config_replace=(200, {}), state_read=(200, node_state(Revision=None))
    )
    assert "given as r3; acknowledged" in scripted_nodes.run("snapshot", "restore", str(path))
    assert scripted_nodes.received_calls[-2][1::2] == ("config.replace", body)
    scripted_nodes.put(A, config_read=(200, configuration("r8")), state_read=(200, node_state(Revision="r8")))
    calls_before = len(scripted_nodes.received_calls)
    assert "r8 stays" in scripted_nodes.run("snapshot", "restore", str(path))
    assert "config.replace" not in [row[1] for row in scripted_nodes.received_calls[calls_before:]]
    path, _, _ = save_snapshot(scripted_nodes, tmp_path, configuration("r3"), emptied=["z2"])
    scripted_nodes.put(A, state_read=(200, node_state(Zones={"z1": "north"})))
    assert "has no zone 'z2', it has z1" in scripted_nodes.run("snapshot", "restore", str(path), code=2)
    assert "r3 stays" in scripted_nodes.run("snapshot", "restore", str(path), "--only", "configuration")


def test_a_body_with_a_second_revision_field_is_raised_too():
    data = configuration("r1")
    data["Sockets"][0]["Revision"] = "r1"
    snapshot = snapshot_file.unpack(
        snapshot_file.pack(
            json.dumps(data).encode(), {"Revision": "r1", "Step": 1, "Emptied": [], "Zones": {}, "TakenAt": ""}
        )
    ).unwrap()
    body, document = restore_plan.with_revision(snapshot, 5)
    assert json.loads(body) == document == {**data, "Revision": "r5"} and data["Sockets"] == document["Sockets"]
