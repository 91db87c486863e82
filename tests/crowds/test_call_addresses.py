"""Crowds at the addresses of operators and of look-ups, and at all addresses of one node at once."""

import asyncio

import crowd_clients as clients
import pytest
from crowd_clients import KIB, MIB
from crowd_system import ANSWERS_WITHIN_S, play, require_refused

pytestmark = pytest.mark.alone
CALL = "/api/rpc?call=config.replace"
LARGEST_CALL = 8 * MIB
HEAD_LIMIT = 16 * KIB
IN_TRANSIT = 40 * MIB


def test_calls_in_chunks_of_two_bytes_that_do_not_end(tmp_path):
    async def scene(system):
        await system.crowd("control", [clients.unsized_body(CALL, 2 * MIB) for _ in range(20)])

    play(tmp_path, scene)


def test_largest_calls_that_stop_short_of_their_end(tmp_path):
    async def scene(system):
        calls = [clients.sized_body(CALL, LARGEST_CALL, withheld_bytes=1) for _ in range(40)]
        await system.crowd("control", calls)

    play(tmp_path, scene)


def test_largest_calls_at_once(tmp_path):
    async def scene(system):
        await system.crowd("control", [clients.sized_body(CALL, LARGEST_CALL) for _ in range(40)])

    play(tmp_path, scene)


def test_trailers_without_end_behind_calls(tmp_path):
    async def scene(system):
        await system.crowd("control", [clients.endless_trailer(CALL, LARGEST_CALL) for _ in range(40)])

    play(tmp_path, scene)


@pytest.mark.parametrize("where", ["control", "directory", "ready"])
def test_empty_lines_without_end_are_refused(tmp_path, where):
    async def scene(system):
        crowd = await system.crowd(where, [clients.empty_lines(256 * MIB) for _ in range(4)])
        system.findings += require_refused(crowd, HEAD_LIMIT + IN_TRANSIT)

    play(tmp_path, scene)


@pytest.mark.parametrize("where", ["control", "directory"])
def test_heads_without_end(tmp_path, where):
    async def scene(system):
        await system.crowd(where, [clients.endless_field(16 * MIB) for _ in range(40)])

    play(tmp_path, scene)


def test_a_call_that_costs_more_decoded_than_on_the_wire(tmp_path):
    """Eight MiB of empty objects, one at a time: what is charged is what a thing costs."""

    async def scene(system):
        for _ in range(3):
            body = b'{"Revision":"r9","Junk":[' + b"{}," * (LARGEST_CALL // 3 - 20) + b"{}]}"
            await system.crowd("control", [[clients.head("POST", CALL, f"Content-Length: {len(body)}"), body]])
            await asyncio.sleep(ANSWERS_WITHIN_S)

    play(tmp_path, scene)


def test_frames_that_stop_short_of_their_end(tmp_path):
    """The port of the nodes takes frames of 16 MiB over 64 connections, and any byte renews their time."""

    async def scene(system):
        length = 16 * MIB
        frame = [length.to_bytes(4, "big"), *clients.in_pieces(length - 1)]
        await system.crowd("frames", [frame for _ in range(40)])

    play(tmp_path, scene)


def test_connections_that_only_stay_open_at_all_addresses(tmp_path):
    async def scene(system):
        for where in ("control", "directory", "ready", "front"):
            await system.crowd(where, [(b"G",) for _ in range(320)])

    play(tmp_path, scene)


def test_large_bodies_at_two_addresses_and_answers_that_nobody_reads(tmp_path):
    """Each kind alone is bounded; together they need one account."""

    async def scene(system):
        await asyncio.gather(
            system.crowd("control", [clients.sized_body(CALL, LARGEST_CALL, withheld_bytes=1) for _ in range(7)]),
            system.crowd("front", [clients.sized_body("/", 8 * MIB, n, withheld_bytes=1) for n in range(11)]),
            system.ask_all([clients.plain_request("/", 100 + n) for n in range(16)]),
        )

    play(tmp_path, scene, answer_bytes=4 * MIB)
