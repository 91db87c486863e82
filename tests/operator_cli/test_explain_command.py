"""The command that explains how a request would be handled."""

import json

import pytest
from cli_fixtures import A, configuration, node_state, quota_row, server_row

from rampfront.operator_cli.explanation import NodeView, explain
from rampfront.operator_cli.sample_configuration import API_KEY
from rampfront.settings import configuration_reader


@pytest.mark.parametrize(
    "url_and_key, change, status, expected",
    [
        (("http://shop.example/read/1?x=/order/", API_KEY), {}, None, "goes to one of 2 servers"),
        (("SHOP.example:80/nothing", ""), {}, None, "public"),
        (("other.example/", ""), {}, 404, "shop.example"),
        (("shop.example/order/1", ""), {}, 401, "--key"),
        (("shop.example/order/1", "wrong"), {}, 401, "no tenant has this key"),
        (("shop.example/read/1", API_KEY), {"left": 0.4}, 429, "0.4 of its quota left"),
        (("shop.example/read/1", API_KEY), {"homes": ["north"], "emptied": True}, 503, "its zone is emptied"),
        (("shop.example/read/1", API_KEY), {"homes": ["south"]}, None, "outside the home regions"),
        (("shop.example/read/1", API_KEY), {"fresh": False}, 503, "out of touch"),
        (("shop.example/read/1", API_KEY), {"cold": 900}, None, "goes to one of 2 servers, all of them cold"),
    ],
)
def test_explain_follows_the_steps_of_a_request(scripted_nodes, url_and_key, change, status, expected):
    url, key = url_and_key
    data = configuration()
    data["Sockets"][0]["Rulebook"][0]["ThenDo"]["HomeRegions"] = change.get("homes", [])
    cold = {"ColdMs": change.get("cold", 0)}
    scripted_nodes.put(
        A,
        config_read=(200, data),
        state_read=(200, node_state(Fresh=change.get("fresh", True))),
        servers_read=(
            200,
            {
                "Servers": [
                    server_row("i-1", Emptied=change.get("emptied", False), **cold),
                    server_row("i-2", zone="z2", **cold),
                    server_row("i-3", State="emptying"),
                ],
                "ChangedMs": 1,
            },
        ),
        quotas_read=(200, {"Quotas": [quota_row(change.get("left", 12.0))], "Holder": "n1", "Alone": False}),
    )
    assert expected in scripted_nodes.run("explain", url, "--key", key)
    assert (
        "budget: 0.4 further tries saved up at n1; none is made" in scripted_nodes.run("explain", url, "--key", key)
    ) == ("/read/" in url or "nothing" in url)  # the node reports a budget for the service `reads` alone
    assert json.loads(scripted_nodes.run("explain", url, "--key", key, "--json"))["Status"] == status
    assert key not in scripted_nodes.run("explain", url, "--key", key) or not key


def test_explain_and_the_node_agree_on_service_weights():
    data = configuration()
    data["Sockets"][0]["Rulebook"][0]["ThenDo"]["Shares"] = [
        {"Service": "reads", "Weight": 3},
        {"Service": "orders", "Weight": 1},
    ]
    parsed = configuration_reader.read(json.dumps(data).encode()).unwrap()
    view = NodeView(node_state(), [server_row("i-1")], [])
    explanation = explain(parsed, view, "shop.example/read/1", API_KEY)
    shares = [(row["Service"], row["Share"], row["May"]) for row in explanation["Services"]]
    assert shares == [("reads", 0.75, 1), ("orders", 0.25, 0)]
    assert explanation["Status"] is None and "503 where its share falls to orders" in explanation["Why"]


def test_an_invalid_url_is_a_usage_error(scripted_nodes):
    assert "has no host" in scripted_nodes.run("explain", "//", code=2)
