"""The estimate of what a JSON text takes once it is decoded is never below what it takes."""

import json
import tracemalloc

import pytest

from rampfront.net.memory_account import machine_account
from rampfront.operator_cli.sample_configuration import sample_configuration
from rampfront.settings.json_cost import decoded_bytes

TEXTS = {
    "empty objects": b"[" + b"{}," * 50_000 + b"{}]",
    "empty arrays": b"[" + b"[]," * 50_000 + b"[]]",
    "objects of one": b"[" + b'{"a":1},' * 50_000 + b"{}]",
    "numbers": b"[" + b"12345," * 50_000 + b"0]",
    "fractions": b"[" + b"0.5," * 50_000 + b"0]",
    "short strings": b"[" + b'"ab",' * 50_000 + b'""]',
    "wide strings": json.dumps([f"{number}\u1234" for number in range(20_000)], ensure_ascii=False).encode(),
    "different keys": json.dumps({f"k{number}": number for number in range(50_000)}).encode(),
    "a configuration": json.dumps([sample_configuration()] * 200).encode(),
}


@pytest.mark.parametrize("name", TEXTS)
def test_the_estimate_is_an_upper_bound(name):
    text = TEXTS[name]
    tracemalloc.start()
    try:
        decoded = json.loads(text)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert decoded and peak_bytes <= decoded_bytes(text)


def test_a_configuration_of_four_million_bytes_is_read_on_a_machine_of_200_mb():
    text = json.dumps([sample_configuration()] * 3200).encode()
    assert len(text) > 4 * 10**6 and decoded_bytes(text) < machine_account(int, 200, {}).largest_charge_bytes
