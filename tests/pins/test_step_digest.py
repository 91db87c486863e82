"""Simulated runs take the very steps that they took when the digests were recorded: a dozen of those that
`step_digest.py` compares by hand."""

import json

import pytest
from pins.step_digest import FIXTURE, digest_of

RUNS = [*(f"core-4/{seed}" for seed in range(1, 7)), *(f"core-6/{seed}" for seed in (1, 2)), "whole/1", "whole/2"]


@pytest.mark.parametrize("run", RUNS)
def test_a_run_takes_the_steps_that_were_recorded(run: str) -> None:
    assert digest_of(run) == json.loads(FIXTURE.read_text())[run]
