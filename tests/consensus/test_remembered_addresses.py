"""Members store the addresses of all nodes in their record."""

import cbor2
import pytest
from core_fixtures import Core

from rampfront.consensus.errors import RecordError
from rampfront.consensus.record import MAX_NODE_IPS, decode_record
from rampfront.simulation.world import MS

NODES = ["10.0.0.7", "10.0.0.8"]


def test_they_outlive_a_loss_of_power_and_go_to_disk_at_once_if_one_is_new() -> None:
    core = Core()
    node = core.others(core.leader)[0]
    node.core_member.remember_nodes(NODES)
    core.advance(500 * MS)
    core.stop(node, power=True)
    core.start(node, False)
    assert node.core_member.node_ips == NODES


def test_those_of_before_stay_behind_the_present_ones_within_the_bound() -> None:
    core = Core()
    member = core.leader.core_member
    member.remember_nodes(NODES)
    member.remember_nodes(["10.0.0.9", "10.0.0.8"])
    assert member.node_ips == ["10.0.0.9", "10.0.0.8", "10.0.0.7"]
    member.remember_nodes([])
    assert member.node_ips == ["10.0.0.9", "10.0.0.8", "10.0.0.7"]
    many = [f"10.1.{number >> 8}.{number & 255}" for number in range(MAX_NODE_IPS)]
    member.remember_nodes(many)
    assert member.node_ips == many


def test_nodes_that_are_known_already_cost_no_store() -> None:
    core = Core()
    persistent = core.leader.core_member.roles.persistent
    core.leader.core_member.remember_nodes(NODES)
    before = persistent.version
    core.leader.core_member.remember_nodes(NODES[:1])
    assert persistent.version == before


@pytest.mark.parametrize("odd", ["10.0.0.7", [7], ["10.0.0.7"] * (MAX_NODE_IPS + 1), None])
def test_a_record_with_other_addresses_is_refused(odd: object) -> None:
    core = Core()
    node = core.leader
    node.core_member.remember_nodes(NODES)
    columns = cbor2.loads(node.core_member.roles.persistent.encode())
    assert decode_record(cbor2.dumps(columns), node.name).node_ips == NODES
    columns[-1] = odd
    with pytest.raises(RecordError):
        decode_record(cbor2.dumps(columns), node.name)
