"""The read calls of a node."""

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
    link = SimpleNamespace(uid="i-0000", connections=3)
    request_proxy = SimpleNamespace(
        servers=EndpointList(1, rows, 3 * SEC),
        evacuated_zones=frozenset(("z1",)),
        configuration=None,
        reopened_zones={"z1": 4 * SEC},
        service_pools={
            "s": SimpleNamespace(
                connection_pool=SimpleNamespace(servers={0: link}),
                saved_attempts=2.25,
            )
        },
    )
    look = SimpleNamespace(
        ready=True,
        is_leader=False,
        leader="127.0.0.1",
        confirmed_at_ns=None,
        endpoints_version=1,
        roster_version=2,
        roster=(RosterEntry("n1", "127.0.0.1", "z1", "127.0.0.1:80", True),),
    )
    own = SimpleNamespace(name="n1", ip="127.0.0.1", zone="z1", zones=ZONES, control=("127.0.0.1", 1))
    node_process = SimpleNamespace(
        core=SimpleNamespace(step_down_if_overdue=lambda now: None, strength=lambda now: None, has_member=False),
        lease=SimpleNamespace(
            leader_silent_for=lambda now: None,
            age=lambda now: None,
            duration=SEC,
            is_valid=lambda now: False,
            out_of_touch_for=lambda now: 4 * SEC,
        ),
        request_proxy=request_proxy,
        disseminator=look,
        shutdown=SimpleNamespace(in_progress=False),
        context=SimpleNamespace(
            process_settings=own,
            clock=lambda: 5 * SEC,
            counts=dict.fromkeys(COUNTERS_SHOWN.values(), 0),
        ),
        quota_exchange=SimpleNamespace(placement=SimpleNamespace(counter_ip=None)),
        replicated_state=SimpleNamespace(state=State(3, 1, 2, b"", frozenset(("z1",)), {"n1": ("127.0.0.1", 4)})),
    )
    routes = RoutingTable([StatusViews(node_process)], 0)

    def ask(name, **query):
        return routes.handler("POST", "/api/rpc", name)(SimpleNamespace(query=query))

    first = json.loads(ask("servers.read").body)
    assert (
        len(first["Servers"]) == PAGE_ROWS and first["Next"] == f"i-{PAGE_ROWS - 1:04}" and first["ChangedMs"] == 2000
    )
    assert (first["Servers"][0]["ColdMs"], first["Servers"][0]["Links"], first["Servers"][0]["Emptied"]) == (
        2000,
        3,
        True,
    )
    rest = json.loads(ask("servers.read", after=first["Next"]).body)
    assert [row["Id"] for row in rest["Servers"]] == [f"i-{PAGE_ROWS:04}"] and rest["Next"] is None
    assert json.loads(ask("servers.read", of="other").body)["Servers"] == []
    told = json.loads(ask("state.read").body)
    assert told["Spare"] == {"s": 2.2} and told["OutOfTouchMs"] == first["OutOfTouchMs"] == 4000
    assert (told["Revision"], told["WordAgeMs"], told["Members"], told["Emptied"]) == (
        "r2",
        None,
        [["n1", "127.0.0.1"]],
        ["z1"],
    )
    assert json.loads(ask("nodes.read").body)["Nodes"] == [
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
    )  # its zone was taken back a second ago
    assert json.loads(ask("servers.read", after=first["Next"]).body)["Servers"][0]["ColdMs"] == 2000
    request_proxy.servers = None
    assert ask("servers.read").status == 503
