"""Single requests inside the limits on a machine of 200 MB without other clients: they are served within its memory."""

import itertools

import pytest
from crowd_clients import KIB, MIB
from crowd_system import play

pytestmark = pytest.mark.alone
LARGEST_BODY = 64 * MIB  # `MaxBodyBytes` of the sample configuration


def in_parts(part_bytes):
    """A body of the largest size, which is sent in chunks of this size."""
    return (bytes(part_bytes) for _ in range(LARGEST_BODY // part_bytes))


@pytest.mark.parametrize("part_bytes", [None, 64 * KIB, 4 * KIB, 256], ids=["whole", "64 KiB", "4 KiB", "256 bytes"])
def test_a_body_of_the_largest_size_is_served(tmp_path, part_bytes):
    async def scene(system):
        body = bytes(LARGEST_BODY) if part_bytes is None else in_parts(part_bytes)
        status = await system.single_request("/upload/1", body)
        if status != 200:
            system.findings.append(f"a body inside the limits is answered with {status}")

    play(tmp_path, scene)


@pytest.mark.parametrize("part_bytes", [None, 64 * KIB], ids=["whole", "64 KiB"])
def test_a_refusal_reaches_a_client_that_sends_its_whole_body_first(tmp_path, part_bytes):
    """Closing with unread input would reset the connection, and lose the refusal and what it promises."""

    async def scene(system):
        body = bytes(LARGEST_BODY + MIB) if part_bytes is None else itertools.chain(in_parts(part_bytes), [bytes(MIB)])
        status = await system.single_request("/upload/1", body)
        if status != 413:
            system.findings.append(f"a body over the limit is answered with {status}")

    play(tmp_path, scene)


def test_an_answer_of_32_mib_is_served(tmp_path):
    async def scene(system):
        status = await system.single_request("/read/1", b"")
        if status != 200:
            system.findings.append(f"an answer of 32 MiB is answered with {status}")

    play(tmp_path, scene, answer_bytes=32 * MIB)
