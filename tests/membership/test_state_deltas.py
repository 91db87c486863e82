"""Tests of deltas between states: the body of the configuration."""

import random
import zlib
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from proxy_fixtures import configuration_bytes, rule

from rampfront.consensus.body_history import apply_delta, make_delta
from rampfront.consensus.state import State, digest
from rampfront.membership.deltas import DeltaMismatchError, StateHistory


def entry(index, raw, **more):
    body = zlib.compress(raw)
    return State(index, 1, index, body, members={"x": ("10.0.0.1", 1)}, body_digest=digest(body), **more)


def history_of(*states):
    history = StateHistory()
    for state in states:
        history.add(state)
    return history


PARTS = st.lists(st.sampled_from((b"", b"a", b"bb", b"c{", b"{", b"d")))


@given(PARTS, PARTS)
def test_a_delta_rebuilds_the_body(old, new):
    old, new = b"{".join(old), b"{".join(new)
    assert apply_delta(old, make_delta(old, new)) == new


def test_bodies_are_rebuilt_byte_for_byte():
    """A change of one weight is sent as a small delta; an evacuation needs no body at all."""
    rules = [rule(f"/{random.Random(k).getrandbits(60)}/") for k in range(100)]
    one = entry(5, configuration_bytes(5, rules=rules))
    two = entry(6, configuration_bytes(6, rules=rules[:50] + [rule("/new/")] + rules[51:]))
    three = replace(two, index=7, evacuated_zones=frozenset({"a1"}))
    packed = history_of(one, two).encode_since(5)
    assert len(str(packed[3])) < 600 < len(two.body)
    replica = history_of(one)
    replica.add(replica.decode(packed))
    assert replica.newest.body == two.body and replica.newest.revision == 6
    packed = history_of(one, two, three).encode_since(6)
    assert packed[3] is None and replica.decode(packed).evacuated_zones == {"a1"}
    assert (
        history_of(one, two, three).encode_since(5)[3] and history_of(two, three).encode_since(5)[3] == two.body
    )  # the base is not known, so the complete body is sent


def test_a_delta_to_another_body_is_refused():
    one, two, other = entry(5, configuration_bytes(5)), entry(6, configuration_bytes(6)), entry(5, b'{"k":"another"}')
    packed = history_of(one, two).encode_since(5)
    for replica in (history_of(), history_of(other)):
        with pytest.raises(DeltaMismatchError) as mismatch:
            replica.decode(packed)
        assert not mismatch.value.corrupt
    packed[4] = digest(b"other")
    with pytest.raises(DeltaMismatchError) as mismatch:
        history_of(one).decode(packed)
    assert mismatch.value.corrupt
    for invalid in ([[0, 99]], [[-1, 1]], [["0", 1]], [[0, 0]], [5], [[True, 1]]):
        with pytest.raises((ValueError, TypeError)):
            apply_delta(b"a{b", invalid)
    with pytest.raises(ValueError):
        apply_delta(b"a" * (1 << 20) + b"{b", [[0, 1]] * 100)
