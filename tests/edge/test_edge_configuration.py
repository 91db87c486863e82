"""An invalid configuration is rejected with an error that names the key."""

import pytest
from helper import config

from rampfront.edge.configuration import read_configuration
from rampfront.edge.configuration_checks import ConfigurationError


@pytest.mark.parametrize(
    "change, expected",
    [
        (dict(listen="nowhere"), "listen should be host:port, not 'nowhere'"),
        (dict(counter=None), "counter should be a text; it is missing"),
        (dict(seed="xyz"), "seed should be hex digits, not 'xyz'"),
        (dict(limits={"sockets": 20}), "limits.sockets should be 128 or more"),
        (dict(limits={"sockets": "many"}), "limits.sockets should be a number, not 'many'"),
        (dict(known={"rev": 1, "targets": [{"uid": "a"}]}), "known should be a list as discovery gives it"),
        (dict(settings=None), "settings should be an object; it is missing"),
        (config(Rules={"ColdShare": 0.1}), "settings.Rules.WarmWithin should be a number; it is missing"),
        (config(Domain={"HasCounter": True}), "settings.Domain.CountWait should be more than 0"),
        (config(Limits={"AttemptsCap": 3, "MayDuplicate": 1}), "settings.Limits.MayDuplicate should be true or false"),
        (config(Domain={"HasCounter": False, "UsePeriod": "s"}), "settings.Domain.UsePeriod should be a number"),
        (
            config(Classes=[{"Name": "a", "Effect": "pure", "OnTime": 1, "HardLimit": -1}]),
            "Classes[0].HardLimit should",
        ),
        (config(PeersTotal=0), "settings.PeersTotal should be a whole number of 1 or more, not 0"),
        (config(Classes=[{"Name": "a", "Effect": "pure"}]), "settings.Classes[0].OnTime should be a number"),
        (config(Classes=[{"Name": "a", "Effect": "odd", "OnTime": 1}]), "unknown effect 'odd'"),
        (config(Packages=[{"Name": "a", "PerSecond": "x"}]), "Packages[0].PerSecond should be a number"),
    ],
)
def test_a_faulty_key_is_named(change, expected):
    with pytest.raises(ConfigurationError) as error:
        read_configuration({**config(), **change}, {})
    assert expected in str(error.value)
