"""Crowds at the clients' address of a node whose machine has 200 MB, each against one process.

The bound is the machine's memory (DEPLOY.md, "Memory and descriptors"). The crowds and bounds are fixed.
"""

import crowd_clients as clients
import pytest
from crowd_clients import KIB, MIB
from crowd_system import play, require_refused

pytestmark = pytest.mark.alone
LARGEST_BODY = 64 * MIB  # `MaxBodyBytes` of the sample configuration
HEAD_LIMIT = 16 * KIB  # `MaxHeaderBytes` of the sample configuration
IN_TRANSIT = 40 * MIB  # what the kernels of both ends may hold of a connection


def test_a_field_without_end(tmp_path):
    async def scene(system):
        await system.crowd("front", [clients.endless_field(80 * MIB) for _ in range(16)])

    play(tmp_path, scene)


def test_a_target_without_end(tmp_path):
    async def scene(system):
        await system.crowd("front", [clients.endless_target(80 * MIB) for _ in range(24)])

    play(tmp_path, scene)


def test_fields_without_end(tmp_path):
    async def scene(system):
        await system.crowd("front", [clients.endless_fields(80 * MIB) for _ in range(8)])

    play(tmp_path, scene)


def test_heads_that_stop_just_below_the_limit(tmp_path):
    """Each head is legal and never ends: 300 of 16 KiB."""

    async def scene(system):
        await system.crowd("front", [clients.endless_fields(HEAD_LIMIT - KIB) for _ in range(300)])

    play(tmp_path, scene)


def test_empty_lines_without_end_are_refused(tmp_path):
    """They are a head that does not begin: a client gets rid of no more of them than of any head."""

    async def scene(system):
        crowd = await system.crowd("front", [clients.empty_lines(256 * MIB) for _ in range(4)])
        system.findings += require_refused(crowd, HEAD_LIMIT + IN_TRANSIT)

    play(tmp_path, scene)


def test_a_trailer_without_end(tmp_path):
    async def scene(system):
        await system.crowd("front", [clients.endless_trailer("/", 80 * MIB) for _ in range(8)])

    play(tmp_path, scene)


def test_a_chunk_extension_without_end(tmp_path):
    async def scene(system):
        await system.crowd("front", [clients.endless_chunk_extension("/", 80 * MIB) for _ in range(8)])

    play(tmp_path, scene)


def test_largest_bodies_that_stop_short_of_their_end(tmp_path):
    async def scene(system):
        bodies = [clients.sized_body("/", LARGEST_BODY, number, withheld_bytes=1) for number in range(8)]
        await system.crowd("front", bodies)

    play(tmp_path, scene)


def test_a_hundred_bodies_that_stop_short_of_their_end(tmp_path):
    async def scene(system):
        bodies = [clients.sized_body("/", 8 * MIB, number, withheld_bytes=1) for number in range(100)]
        await system.crowd("front", bodies)

    play(tmp_path, scene)


def test_largest_bodies_at_once(tmp_path):
    async def scene(system):
        await system.crowd("front", [clients.sized_body("/", LARGEST_BODY, number) for number in range(8)])

    play(tmp_path, scene)


def test_many_large_bodies_at_once(tmp_path):
    async def scene(system):
        await system.crowd("front", [clients.sized_body("/", 4 * MIB, number) for number in range(60)])

    play(tmp_path, scene)


def test_bodies_in_chunks_of_two_bytes_that_do_not_end(tmp_path):
    async def scene(system):
        await system.crowd("front", [clients.unsized_body("/", LARGEST_BODY, number) for number in range(2)])

    play(tmp_path, scene)


def test_bodies_in_chunks_of_two_bytes_at_once(tmp_path):
    async def scene(system):
        bodies = [clients.unsized_body("/", 4 * MIB, number, is_ended=True) for number in range(12)]
        await system.crowd("front", bodies)

    play(tmp_path, scene)


def test_answers_of_8_mib_that_nobody_reads(tmp_path):
    async def scene(system):
        for wave in range(4):
            await system.ask_all([clients.plain_request("/", 100 * wave + number) for number in range(24)])

    play(tmp_path, scene, answer_bytes=8 * MIB)


def test_answers_of_32_mib_that_nobody_reads(tmp_path):
    async def scene(system):
        await system.ask_all([clients.plain_request("/", number) for number in range(20)])

    play(tmp_path, scene, answer_bytes=32 * MIB)


def test_more_bytes_behind_a_request_whose_answer_nobody_reads(tmp_path):
    """What has arrived and was not read counts as memory too."""

    async def scene(system):
        for wave in range(4):
            await system.ask_all([clients.request_and_more("/", 40 * MIB, 100 * wave + n) for n in range(24)])

    play(tmp_path, scene, answer_bytes=4 * MIB)
