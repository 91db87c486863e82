"""Snapshots saved, verified and restored."""

import json

import pytest
from cli_fixtures import ZONES, A, configuration, node_state
from hypothesis import given, settings, strategies

from rampfront.operator_cli import restore_plan, snapshot_file


def save_snapshot(scripted_nodes, tmp_path, data, code=0, emptied=(), **other):
    """A snapshot's file of a system that holds `data`, which is written with spaces that must come back."""
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
    path, body, told = save_snapshot(scripted_nodes, tmp_path, configuration("r7"), emptied=["z2"])
    assert "r7" in told and "zones emptied: z2" in told and path.read_bytes().endswith(b"\n" + body)
    assert path.stat().st_mode & 0o777 == 0o600 and list(tmp_path.iterdir()) == [path]
    asked = len(scripted_nodes.asked)
    kept = json.loads(scripted_nodes.run("snapshot", "verify", str(path), "--json", at=()))
    assert (kept["Revision"], kept["Emptied"], kept["Step"]) == ("r7", ["z2"], 5) and len(scripted_nodes.asked) == asked


def test_evacuations_are_those_that_a_majority_confirms(scripted_nodes, tmp_path):
    """One node's view may lack the newest, if the leader changes at that moment."""
    confirmed = (200, {"Revision": "r7", "Emptied": ["z1"]})
    told = save_snapshot(scripted_nodes, tmp_path, configuration("r7"), confirmed=confirmed)[2]
    assert "zones emptied: z1" in told
    unsure = (503, {"Message": "the core gave no answer in time"})
    told = save_snapshot(scripted_nodes, tmp_path, configuration("r7"), code=3, confirmed=unsure)[2]
    assert "the core gave no answer" in told


def test_evacuations_of_nodes_of_an_earlier_version_are_those_of_the_leader_s_view(scripted_nodes, tmp_path):
    unknown = (404, {"Message": "no such call"})
    told = save_snapshot(scripted_nodes, tmp_path, configuration("r7"), emptied=["z2"], confirmed=unknown)[2]
    assert "zones emptied: z2" in told


@settings(max_examples=60, deadline=None, derandomize=True)
@given(strategies.data())
def test_a_snapshot_that_was_changed_anywhere_is_rejected(data):
    raw = snapshot_file.pack(
        json.dumps(configuration()).encode(), {"Revision": "r1", "Step": 1, "Emptied": [], "Zones": {}, "TakenAt": ""}
    )
    assert snapshot_file.unpack(raw).is_ok()
    at = data.draw(strategies.integers(0, len(raw) - 1))
    assert snapshot_file.unpack(raw[:at]).is_err()
    assert snapshot_file.unpack(
        raw[:at] + bytes((raw[at] ^ 1 << data.draw(strategies.integers(0, 7)),)) + raw[at + 1 :]
    ).is_err()


@pytest.mark.parametrize(
    "head, says",
    [
        ({"Step": "1"}, "Step: missing"),
        ({"Revision": "r2"}, "Revision: r2, and its"),
        ({"Emptied": ["z9"]}, "Emptied: no such zone: 'z9'"),
    ],
)
def test_verify_prints_the_invalid_field(scripted_nodes, tmp_path, head, says):
    raw = snapshot_file.pack(
        json.dumps(configuration()).encode(),
        {"Revision": "r1", "Step": 1, "Emptied": [], "Zones": ZONES, "TakenAt": "", **head},
    )
    (tmp_path / "s").write_bytes(raw)
    assert says in scripted_nodes.run("snapshot", "verify", str(tmp_path / "s"), at=(), code=2)
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
        and [row[1] for row in scripted_nodes.asked].count("config.read") == 2
    )
    told = save_snapshot(scripted_nodes, tmp_path, configuration("r3"), code=1, Leads=False)[2]
    assert "no node that answers leads" in told and not (tmp_path / "system.snapshot").exists()


def test_a_restore_raises_the_version_above_the_one_in_force(scripted_nodes, tmp_path):
    path, body, _ = save_snapshot(scripted_nodes, tmp_path, configuration("r3"), emptied=["z2"])
    now = configuration("r9", Groups=[*configuration()["Groups"], {"Name": "more"}])
    scripted_nodes.put(
        A,
        config_read=(200, now),
        config_replace=(200, {}),
        empty_start=(200, {}),
        empty_finish=(200, {}),
        state_read=(200, node_state(Revision="r9", Emptied=["z1"])),
    )
    del scripted_nodes.asked[:]
    told = scripted_nodes.run("snapshot", "restore", str(path), "--dry-run")
    assert "- service more" in told and "would be given as r10, raised from r3 as r9 holds" in told
    assert "zone z2 would be emptied" in told and "z1 is emptied now" in told and "--dry-run" in told
    assert {row[1] for row in scripted_nodes.asked} <= {"config.read", "nodes.read", "state.read"}
    raised = body.replace(b'"r3"', b'"r10"')
    scripted_nodes.put(A, config_read=[(200, now), (200, raised)])
    told = json.loads(scripted_nodes.run("snapshot", "restore", str(path), "--json", "--take-back"))
    assert (told["Gives"], told["Raised"], told["By"], told["TakesBack"]) == ("r10", True, A, ["z1"])
    given = [row for row in scripted_nodes.asked if row[1] not in ("config.read", "nodes.read", "state.read")]
    assert [(row[1], row[2].get("of"), row[3]) for row in given] == [
        ("empty.start", "z2", b""),
        ("empty.finish", "z1", b""),
        ("config.replace", None, raised),
    ]  # all else as it was sent
    scripted_nodes.put(A, config_read=[(200, now), (200, configuration("r11"))])  # another operator was quicker
    assert "r10 changes nothing: r11 holds" in scripted_nodes.run("snapshot", "restore", str(path), code=1)


def test_a_restore_onto_an_empty_system_and_onto_the_same(scripted_nodes, tmp_path):
    path, body, _ = save_snapshot(scripted_nodes, tmp_path, configuration("r3"))
    scripted_nodes.put(
        A, config_read=[(404, {}), (200, body)], config_replace=(200, {}), state_read=(200, node_state(Revision=None))
    )
    assert "given as r3; acknowledged" in scripted_nodes.run("snapshot", "restore", str(path))
    assert scripted_nodes.asked[-2][1::2] == ("config.replace", body)
    scripted_nodes.put(A, config_read=(200, configuration("r8")), state_read=(200, node_state(Revision="r8")))
    asked = len(scripted_nodes.asked)
    assert "r8 stays" in scripted_nodes.run("snapshot", "restore", str(path))
    assert "config.replace" not in [row[1] for row in scripted_nodes.asked[asked:]]
    path, _, _ = save_snapshot(scripted_nodes, tmp_path, configuration("r3"), emptied=["z2"])
    scripted_nodes.put(A, state_read=(200, node_state(Zones={"z1": "north"})))
    assert "has no zone 'z2', it has z1" in scripted_nodes.run("snapshot", "restore", str(path), code=2)
    assert "r3 stays" in scripted_nodes.run("snapshot", "restore", str(path), "--only", "configuration")


def test_a_body_with_a_second_revision_field_is_raised_too():
    data = configuration("r1")
    data["Sockets"][0]["Revision"] = "r1"
    kept = snapshot_file.unpack(
        snapshot_file.pack(
            json.dumps(data).encode(), {"Revision": "r1", "Step": 1, "Emptied": [], "Zones": {}, "TakenAt": ""}
        )
    ).unwrap()
    body, told = restore_plan.with_revision(kept, 5)
    assert json.loads(body) == told == {**data, "Revision": "r5"} and data["Sockets"] == told["Sockets"]
