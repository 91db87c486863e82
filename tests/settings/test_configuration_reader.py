"""The content read from a valid configuration, and the fields that may be absent."""

from dataclasses import astuple

from configuration_fixtures import RULE, SHARES, put, read_configuration, read_valid, rule, share, valid_configuration

from rampfront.settings import configuration
from rampfront.settings.limits import UNLIMITED_CONNECTIONS
from rampfront.settings.scalars import MS, SEC


def test_every_field_of_a_configuration_is_read():
    c = read_valid()
    assert (c.revision, astuple(c.caps)) == (7, (16384, 65536, 3 * SEC, 15 * SEC))
    assert astuple(c.services["store"]) == ("store", b"/health", 130, 3 * SEC, 2.8)
    anna = c.customer(b"k2")
    assert anna is c.customer(b"k1") is c.customers_by_name["anna"] and c.customer(b"k9") is None and c.requires_key
    assert (anna.name, anna.priority, anna.per_s, anna.burst, anna.home_regions) == ("anna", 1, 18.0, 9.0, {"seoul"})
    r = c.route(b"a.example", b"/split/1")
    assert (r.request_type, r.latency_target_ns, r.timeout_ns, r.priority) == ("read_only", 800 * MS, 5 * SEC, 2)
    assert (r.public, r.max_attempts) == (False, 2)
    assert r.service_weights == (("core", 90), ("store", 10)) and not r.home_regions
    assert c.route(b"a.example", b"/x/y/").home_regions == {"seoul"}
    assert sorted(route.index for host_routes in c.hosts.values() for route in host_routes.routes.values()) == [
        0,
        1,
        2,
        3,
    ]


def test_unknown_absent_and_null_fields_are_accepted():
    c = read_valid(**{"Extra": {"a": [1]}, "Sockets.0.Extra": 1, RULE + "Extra": 1, "Customers": None})
    assert not c.requires_key and not c.customers_by_key
    assert not read_valid(**{"Customers": ...}).requires_key and not read_valid(**{"Customers": []}).requires_key
    c = read_valid(
        **{
            RULE + "ThenDo.HomeRegions": None,
            RULE + "ThenDo.Tries": ...,
            RULE + "Priority": ...,
            RULE + "Public": ...,
            RULE + "Name": ...,
            RULE + "Target": ...,
        }
    )
    r = c.route(b"a.example", b"/x/")
    assert (r.home_regions, r.max_attempts, r.priority, r.public, r.name, r.latency_target_ns) == (
        frozenset(),
        1,
        0,
        False,
        "",
        5 * SEC,
    )
    assert read_valid(**{RULE + "ThenDo.Tries": 0}).route(b"a.example", b"/x/").max_attempts == 1
    assert read_valid(**{RULE + "Target": "64.999s"}).route(b"a.example", b"/x/").latency_target_ns == 64_999 * MS
    c = read_valid(
        **{
            "Customers.0.PerS": ...,
            "Customers.0.Burst": None,
            "Customers.0.HomeRegions": ...,
            "Customers.0.Priority": ...,
            "Customers.1.ApiKeys": [],
        }
    )
    anna = c.customers_by_name["anna"]
    assert (anna.per_s, anna.burst, anna.home_regions, anna.priority) == (0, 0, frozenset(), 0) and c.customers_by_name[
        "bert"
    ].api_keys == ()
    c = read_valid(
        **{"Groups.0.Warmup": ..., "Groups.0.ColdPerS": None, "Groups.0.MaxConns": ..., "Groups.0.HealthPath": ...}
    )
    assert astuple(c.services["core"]) == ("core", b"/health", UNLIMITED_CONNECTIONS, 0, 0.0)
    for changes in {"Caps": {}}, {"Caps.Idle": "0ms", "Caps.MaxBodyBytes": 0, "Caps.MaxHeaderBytes": 0}:
        assert (
            astuple(read_valid(**changes).caps)[:2] == (16384, 67108864) and read_valid(**changes).caps.idle == 15 * SEC
        )
    assert read_valid(**{"Sockets.0.Rulebook": None}).route(b"a.example", b"/x/") is None
    read_valid(**{"Customers.0.ApiKeys": ["k1", "k1"]})  # the same key twice for one customer is valid
    read_valid(
        **{"Sockets.1": {"Hostname": "a.example", "Rulebook": [rule("/z/")]}}
    )  # a host twice, with different prefixes
    read_valid(**{"Sockets": []})


def test_shares_take_precedence_over_a_service_and_zero_weights_are_dropped():
    """A service of weight 0 must get no request, so it must not be among the services of the route."""
    shares = [share("store", 0), share("core", 1.5), share("core", 1)]
    c = read_valid(**{SHARES: shares, "Sockets.1.Rulebook.0.ThenDo.Shares": []})
    assert c.route(b"a.example", b"/x/").service_weights == (("core", 2.5),)
    assert c.route(b"b.example", b"/").service_weights == (("core", 1),)


def test_revoked_api_keys_are_detected():
    old = read_valid()
    assert not configuration.revokes_keys(None, old) and not configuration.revokes_keys(old, read_valid())
    assert not configuration.revokes_keys(old, read_valid(**{"Customers.1.ApiKeys": ["k3", "k4"], "Revision": "r8"}))
    assert configuration.revokes_keys(old, read_valid(**{"Customers.0.ApiKeys": ["k1"]}))
    assert configuration.revokes_keys(old, read_valid(**{"Customers": ...}))
    moved = put(put(valid_configuration(), "Customers.0.ApiKeys", ["k1"]), "Customers.1.ApiKeys", ["k3", "k2"])
    assert configuration.revokes_keys(
        old, read_configuration(moved).ok_value
    )  # a key moved from one customer to another
