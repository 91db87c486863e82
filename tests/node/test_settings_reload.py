"""The settings file is reloaded while the process runs."""

import json
from types import SimpleNamespace

from node_fixtures import receive_update
from proxy_fixtures import settings


def test_new_seeds_are_taken_over_and_a_faulty_file_changes_nothing(node_process, tmp_path):
    """A reload applies new seeds, an invalid file changes nothing, and requests in flight continue."""
    loop = node_process.context.loop
    receive_update(node_process, 5, servers=(7, ["s1"]))
    loop.send_request()
    path = tmp_path / "local.json"
    path.write_text("{")
    node_process.core.member = SimpleNamespace(seeds=[])
    node_process.settings_reloader.reload(str(path))
    assert node_process.disseminator.schedule.seeds == ["10.1.0.1", "10.1.0.2"]
    new = settings()
    new["Network"]["SeedNodes"] = ["10.1.0.5:82"]
    path.write_text(json.dumps(new))
    node_process.settings_reloader.reload(str(path))
    core_member, node_process.core.member = node_process.core.member, None
    assert node_process.disseminator.schedule.seeds == core_member.seeds == ["10.1.0.5"]
    loop.respond_to("t1")
    assert loop.response().status == 200


def test_servers_of_a_zone_that_is_new_in_the_settings_are_sent_to(node_process, tmp_path):
    loop = node_process.context.loop
    receive_update(node_process, 5, servers=(7, ["s1"]))
    proxy = node_process.request_proxy
    rows = tuple(row._replace(zone="annex") for row in proxy.servers.endpoints)
    proxy.apply_server_list(proxy.servers._replace(version=8, endpoints=rows))
    assert not proxy.service_pools["one"].connection_pool.servers
    new = settings()
    new["Network"]["Zones"]["annex"] = next(iter(new["Network"]["Zones"].values()))
    path = tmp_path / "local.json"
    path.write_text(json.dumps(new))
    node_process.settings_reloader.reload(str(path))
    assert proxy.service_pools["one"].connection_pool.servers
    loop.send_request()
    loop.respond_to("t1")
    assert loop.response().status == 200
