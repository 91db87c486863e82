"""The operators' read calls."""

import json
from types import SimpleNamespace

from proxy_fixtures import SEC

from rampfront.consensus.state import State
from rampfront.membership.endpoint_list import Endpoint, EndpointList
from rampfront.membership.roster import RosterEntry
from rampfront.net.http_routing import RoutingTable
from rampfront.node.status_views import COUNTERS_SHOWN, PAGE_ROWS, StatusViews

ZONES = {"z1": "north", "z2": "south"}


def test_views_answer_from_snapshots_and_in_pages():
    rows = tuple(
        Endpoint(f"i-{k:04}", "s", "10.0.0.1", 80, "z1", 2, "ready", 7 * SEC if k == 0 else 0)
        for k in range(PAGE_ROWS + 1)
    )
    server = SimpleNamespace(uid="i-0000", connections=3)
    request_proxy = SimpleNamespace(
        servers=EndpointList(1, rows, 3 * SEC),
        evacuated_zones=frozenset(("z1",)),
        configuration=None,
        reopened_zones={"z1": 4 * SEC},
        service_pools={
            "s": SimpleNamespace(
                connection_pool=SimpleNamespace(servers={0: server}),
                saved_attempts=2.25,
            )
        },
    )
    disseminator = SimpleNamespace(
        ready=True,
        is_leader=False,
        leader="127.0.0.1",
        confirmed_at_ns=None,
        endpoints_version=1,
        roster_version=2,
        roster=(RosterEntry("n1", "127.0.0.1", "z1", "127.0.0.1:80", True),),
    )
    process_settings = SimpleNamespace(name="n1", ip="127.0.0.1", zone="z1", zones=ZONES, control=("127.0.0.1", 1))
    node_process = SimpleNamespace(
        core=SimpleNamespace(step_down_if_overdue=lambda now: None, strength=lambda now: None, has_member=False),
        leadership=SimpleNamespace(outside_core_for=lambda now: None),
        lease=SimpleNamespace(
            leader_silent_for=lambda now: None,
            age=lambda now: None,
            duration=SEC,
            is_valid=lambda now: False,
            out_of_touch_for=lambda now: 4 * SEC,
        ),
        request_proxy=request_proxy,
        disseminator=disseminator,
        shutdown=SimpleNamespace(in_progress=False),
        context=SimpleNamespace(
            process_settings=process_settings,
            clock=lambda: 5 * SEC,
            counts=dict.fromkeys(COUNTERS_SHOWN.values(), 0),
        ),
        quota_exchange=SimpleNamespace(placement=SimpleNamespace(counter_ip=None)),
        replicated_state=SimpleNamespace(state=State(3, 1, 2, b"", frozenset(("z1",)), {"n1": ("127.0.0.1", 4)})),
    )
    routes = RoutingTable([StatusViews(node_process)], 0)

    def call(name, **query):
        return routes.handler("POST", "/api/rpc", name)(SimpleNamespace(query=query))

    first_page = json.loads(call("servers.read").body)
    assert (
        len(first_page["Servers"]) == PAGE_ROWS
        and first_page["Next"] == f"i-{PAGE_ROWS - 1:04}"
        and first_page["ChangedMs"] == 2000
    )
    assert (
        first_page["Servers"][0]["ColdMs"],
        first_page["Servers"][0]["Links"],
        first_page["Servers"][0]["Emptied"],
    ) == (
        2000,
        3,
        True,
    )
    next_page = json.loads(call("servers.read", after=first_page["Next"]).body)
    assert [row["Id"] for row in next_page["Servers"]] == [f"i-{PAGE_ROWS:04}"] and next_page["Next"] is None
    assert json.loads(call("servers.read", of="other").body)["Servers"] == []
    node_view = json.loads(call("state.read").body)
    assert node_view["Spare"] == {"s": 2.2} and node_view["OutOfTouchMs"] == first_page["OutOfTouchMs"] == 4000
    assert (node_view["Revision"], node_view["WordAgeMs"], node_view["Members"], node_view["Emptied"]) == (
        "r2",
        None,
        [["n1", "127.0.0.1"]],
        ["z1"],
    )
    assert json.loads(call("nodes.read").body)["Nodes"] == [
        {
            "Name": "n1",
            "Ip": "127.0.0.1",
            "Zone": "z1",
            "Front": "127.0.0.1:80",
            "Control": "127.0.0.1:1",
            "Ready": True,
        }
    ]
    request_proxy.configuration = SimpleNamespace(
        services={"s": SimpleNamespace(warmup=3 * SEC)}
    )  # its zone was restored a second ago
    assert json.loads(call("servers.read", after=first_page["Next"]).body)["Servers"][0]["ColdMs"] == 2000
    request_proxy.servers = None
    assert call("servers.read").status == 503
