"""A sender whose collector is disconnected or slower than the decisions, on loopback."""

import asyncio

import pytest

from rampfront.syslog.decision_messages import DOCUMENTATION_ENTERPRISE_NUMBER

ACCOUNTS = [
    "plain",
    "a]b",
    'say "hi"',
    "back\\slash",
    '\\]"',
    "학교-계정",
    "مختبر",
    'Ünï]"\\',
    "\ufeffbom",
    "nl\nin",
    "",
]


async def wait_until_delivered(sender, collector, messages):
    """Waits at most 20 s until `messages` messages have arrived and none are on disk."""
    for _ in range(400):
        if collector.counts["messages"] >= messages and not sender.state()["disk_bytes"]:
            return
        await asyncio.sleep(0.05)


async def decline_steadily(sender, count, seconds):
    """Reports `count` declined transactions, spread over `seconds`."""
    for number in range(count):
        sender.enqueue(
            "declined",
            ("account", ACCOUNTS[number % len(ACCOUNTS)]),
            ("product", "fetch"),
            ("txn", f"t{number}"),
            ("box", "s1"),
        )
        if number % 50 == 0:
            await asyncio.sleep(50 * seconds / count)


@pytest.mark.parametrize("abort", [False, True])
@pytest.mark.slow(14)
def test_no_message_is_missing_or_duplicated_after_an_outage(tmp_path, run_script, abort):
    """An outage of 3 s with memory for 400 messages and the rest on disk; docs/syslog.md describes the long run."""

    async def script(sender, collector):
        await decline_steadily(sender, 500, 0.5)
        await wait_until_delivered(sender, collector, 300)
        collector.disconnect(abort)
        await decline_steadily(sender, 3000, 3.0)
        assert sender.state()["disk_bytes"] > 0
        await collector.listen_again()
        await decline_steadily(sender, 500, 0.5)
        await wait_until_delivered(sender, collector, 4000)
        return sender.state(), collector

    state, collector = run_script(script, buffer_folder=tmp_path / "spill", max_queued_messages=400)
    assert state["dropped"] == 0 and collector.counts["malformed"] == 0, (state, collector.errors)
    element = f"decision@{DOCUMENTATION_ENTERPRISE_NUMBER}"
    received = [dict(message.structured_data[element]) for message in collector.messages]
    numbers = [int(decision["txn"][1:]) for decision in received]
    assert sorted(number for number in numbers if number < 500)[:3] == [0, 0, 0]
    assert len(received) == 4000 and not collector.missing()
    assert all(
        decision.get("account", "") == ACCOUNTS[number % len(ACCOUNTS)]
        for decision, number in zip(received, numbers, strict=True)
    )
    sequence_ids = [int(dict(message.structured_data["meta"])["sequenceId"]) for message in collector.messages]
    assert len(set(sequence_ids)) == 4000 and (abort or sequence_ids == sorted(sequence_ids))  # in order


@pytest.mark.slow(9)
def test_decisions_faster_than_the_connection_go_to_disk(tmp_path, run_script, monkeypatch):
    monkeypatch.setattr("rampfront.syslog.syslog_sender.MESSAGES_PER_FLUSH", 4)

    async def script(sender, collector):
        await decline_steadily(sender, 2000, 2.0)  # at least 10 per flush
        spilled = sender.state()["spilled"]
        await wait_until_delivered(sender, collector, 2000)
        return spilled, sender.state()["dropped"], collector

    spilled, dropped, collector = run_script(script, buffer_folder=tmp_path / "spill", max_queued_messages=400)
    assert spilled > 100 and dropped == 0 and collector.counts["messages"] == 2000 and not collector.missing()


@pytest.mark.slow(5)
def test_messages_that_do_not_fit_are_counted_as_dropped(tmp_path, run_script):
    async def script(sender, collector):
        collector.disconnect()
        await asyncio.sleep(0.1)
        await decline_steadily(sender, 2000, 1.0)
        await asyncio.sleep(0.2)
        before = sender.state()
        await collector.listen_again()
        await wait_until_delivered(sender, collector, before["offered"] - before["dropped"])
        return before, collector

    state, collector = run_script(
        script, buffer_folder=tmp_path / "spill", max_buffer_bytes=60_000, max_queued_messages=200
    )
    assert state["dropped"] > 100 and collector.counts["messages"] == 2000 - state["dropped"]
