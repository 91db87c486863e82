"""The commands that check, apply, show and compare configurations."""

import json

import pytest
from cli_fixtures import SILENT, A, configuration

from rampfront.operator_cli.sample_configuration import API_KEY


def test_validate_prints_the_invalid_field_and_unused_fields(scripted_nodes, file):
    data = configuration()
    rule = data["Sockets"][0]["Rulebook"][0]
    rule["ThenDo"]["Trys"] = 3
    output = scripted_nodes.run("validate", file(data), at=())
    assert "r1, 1 hosts, 4 routes, 2 services, 1 tenants" in output and "Sockets[].Rulebook[].ThenDo.Trys" in output
    rule["ThenDo"]["Service"] = "nowhere"
    assert "Sockets[0].Rulebook[0].ThenDo.Service: no such service: 'nowhere'" in scripted_nodes.run(
        "validate", file(data), at=(), code=2
    )


def test_apply_sends_no_invalid_configuration(scripted_nodes, file):
    assert "Revision" in scripted_nodes.run("apply", file(configuration("seven")), code=2)
    assert not scripted_nodes.received_calls


@pytest.mark.parametrize(
    "current, message",
    [
        (configuration("r9"), "r1 changes nothing: r9 holds; raise Revision to r10"),
        (
            configuration("r1", Customers=[]),
            "another body: it was given before, and a version keeps its body; raise Revision to r2",
        ),
    ],
)
def test_apply_reports_an_acknowledged_version_that_is_not_in_force(scripted_nodes, file, current, message):
    scripted_nodes.put(A, config_replace=(200, {}), config_read=(200, current))
    assert message in scripted_nodes.run("apply", file(configuration()), code=1)


def test_apply_distinguishes_a_rejection_from_no_answer(scripted_nodes, file):
    scripted_nodes.put(A, config_replace=(400, {"Message": "Caps: missing\x1b[2J"}))
    output = scripted_nodes.run("apply", file(configuration()), code=1)
    assert (
        "400: Caps: missing [2J" in output and len(scripted_nodes.received_calls) == 1
    )  # control characters for the terminal are removed
    scripted_nodes.put(A, config_replace=SILENT)
    assert "a version has one body for ever" in scripted_nodes.run("apply", file(configuration()), code=3)


def test_apply_reports_a_revision_that_was_used_for_another_content(scripted_nodes, file):
    message = "Revision: r5 was confirmed with another content, and r7 holds; raise Revision above r7"
    scripted_nodes.put(A, config_replace=(409, {"Message": message, "Field": "Revision"}))
    assert f"409: {message}" in scripted_nodes.run("apply", file(configuration()), code=1)
    assert len(scripted_nodes.received_calls) == 1  # after a definite refusal no other node is called


def test_show_writes_the_body_byte_for_byte(scripted_nodes, tmp_path):
    body = json.dumps(configuration(), indent=3).encode()
    scripted_nodes.put(A, config_read=(200, body))
    assert json.loads(scripted_nodes.run("show")) == configuration()
    scripted_nodes.run("show", "-o", str(tmp_path / "out"))
    assert (tmp_path / "out").read_bytes() == body
    scripted_nodes.put(A, config_read=(404, {"Message": "no configuration yet"}))
    assert "apply FILE" in scripted_nodes.run("show", code=1)


def test_diff_prints_items_and_fields_and_no_api_key(scripted_nodes, file):
    new = configuration("r2")
    new["Customers"][0] |= {"ApiKeys": ["secret-new"], "PerS": 30}
    del new["Sockets"][0]["Rulebook"][3]
    new["Groups"].append({"Name": "more"})
    scripted_nodes.put(A, config_read=(200, configuration()))
    output = scripted_nodes.run("diff", file(new)).splitlines()
    assert output == [
        "r1 -> r2",
        "- route shop.example/",
        "+ service more",
        "~ tenant acme  ApiKeys: 1 taken away -> 1 new, PerS: 20 -> 30",
    ]
    text = scripted_nodes.run("diff", file(new), "--json", "--exit-code", code=1)
    assert API_KEY not in text and "secret" not in text
    assert "holds: applied, it changes nothing" in scripted_nodes.run(
        "diff", file(configuration(Groups=[*configuration()["Groups"], {"Name": "x"}]))
    )
    scripted_nodes.put(A, config_read=(404, {}))
    assert scripted_nodes.run("diff", file(new)).startswith("nothing -> r2\n+ caps")
