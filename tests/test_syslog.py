"""RFC 5424 both ways, the spill, and a sink whose collector goes away, on loopback."""

import asyncio

import pytest
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st

from rampfront.edge.log import Log
from rampfront.lab.collector import Collector
from rampfront.net.clock import Clock
from rampfront.net.timers import TimerQueue
from rampfront.syslog import codec
from rampfront.syslog.decisions import message
from rampfront.syslog.outbox import Outbox
from rampfront.syslog.sink import Sink
from rampfront.syslog.spill import HEAD, Spill

TEXT = st.text(st.characters(exclude_categories=["Cs"]), max_size=60)
NASTY = ["plain", "a]b", 'say "hi"', "back\\slash", '\\]"', "학교-계정", "مختبر", 'Ünï]"\\', "\ufeffbom", "nl\nin", ""]


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.lists(st.tuples(TEXT, TEXT), max_size=6), TEXT, TEXT, st.integers(0, 2**32))
def test_what_is_encoded_is_parsed_back(params, text, name, second):
    sent = codec.Message(second * 10**9 + 123456000, "declined", 5, 16, name, "app", "7", {"d@1": params}, text)
    got = codec.parse(codec.encode(sent))
    assert got.data == {"d@1": [(codec.sd_name(key), value) for key, value in params]}
    assert got.text == text and got.at == sent.at and got.severity == 5 and got.facility == 16


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=200))
def test_the_parser_refuses_or_reads_whatever_comes(noise):
    for said in (noise, b"<165>1 - - - - - " + noise):
        try:
            codec.parse(said)
        except codec.Malformed:
            pass


@pytest.mark.parametrize(
    "said",
    [
        b'<165>1 2026-12-01T20:00:00Z h a p m [x a="b]"]',
        b"<192>1 - - - - - -",
        b"<05>1 - - - - - -",
        b"<5>2 - - - - - -",
        b"<5>1 - - - - - [x][x]",
        b'<5>1 - - - - - [x a="b]',
        b"<5>1 - - - - -",
        b"<5>1 - - - - - -x",
        b"<5>1 2026-13-01T00:00:00Z - - - - -",
        b"<5>1 - - - - - [x a=b]",
        b"<5>1 - - - - - - \xff",
    ],
)
def test_malformed_messages_are_refused(said):
    with pytest.raises(codec.Malformed):
        codec.parse(said)


def test_frames_are_cut_wherever_the_stream_breaks():
    said = [b"a", b"12 b", "학".encode() * 50]
    stream = b"".join(map(codec.frame, said))
    for step in (1, 3, 7, len(stream)):
        unframer, got = codec.Unframer(), []
        for at in range(0, len(stream), step):
            got += unframer.feed(stream[at : at + step])
        assert got == said and unframer.rest == b""
    for odd in (b"x1 a", b"01 a", b"99999999 a", b" a"):
        with pytest.raises(codec.Malformed):
            codec.Unframer().feed(odd)


def test_the_spill_keeps_order_bounds_and_damage(tmp_path):
    spill = Spill(tmp_path, 1000)
    assert spill.append([b"x" * 92] * 12) == 10  # ten records fill it
    assert spill.append([b"y"]) == 0 and len(spill.oldest()) == 10
    spill.drop()
    assert spill.size == 0 and not spill and spill.append([b"1", b"2", b"3"]) == 3
    spill.close()
    path = next(tmp_path.glob("*.spill"))
    data = bytearray(path.read_bytes())
    data[2 * HEAD.size + 1] ^= 1  # the second record's text
    path.write_bytes(data)
    again = Spill(tmp_path, 1000)  # another process finds it
    assert again.oldest() == [b"1"] and again.bad == 1
    path.write_bytes(data[: HEAD.size + 1] + data[:5])  # torn
    assert Spill(tmp_path, 1000).oldest() == [b"1"]


def test_the_outbox_counts_what_it_drops_and_holds_what_may_be_lost():
    box = Outbox(2)
    assert [box.offer(k) for k in range(3)] == [True, True, False] and box.news() == 1 and box.news() == 0
    box.connected()
    box.sent([b"12345", b"678"], 0)
    box.acknowledged(5, 10)
    assert box.lost(5) == [b"678"] and not box.flight  # it closed in good order
    box.connected()
    box.sent([b"12345", b"678"], 0)
    box.acknowledged(8, 10)
    assert box.lost() == [b"12345", b"678"]  # a reset: taken a moment ago, read or not


class Quiet:
    def write(self, line):
        pass

    flush = write


def played(tmp_path, script, **more):
    """A sink and a collector on one loop; `script(sink, collector)` returns what is checked."""
    loop = uvloop.new_event_loop()

    async def play():
        clock = Clock()
        collector = await Collector(loop).listen()
        Quiet.flush = lambda self: None
        sink = Sink(
            loop,
            TimerQueue(loop, clock),
            clock,
            Log("n0", 10**10, Quiet()),
            ("127.0.0.1", collector.listener.port),
            "n0",
            **more,
        ).start()
        return await script(sink, collector)

    try:
        return loop.run_until_complete(asyncio.wait_for(play(), 60))
    finally:
        loop.close()


async def settled(sink, collector, want):
    for _ in range(400):
        if collector.counts["messages"] >= want and not sink.spill:
            return
        await asyncio.sleep(0.05)


async def steadily(sink, count, seconds):
    for k in range(count):
        sink.record(
            "declined", ("account", NASTY[k % len(NASTY)]), ("product", "fetch"), ("txn", f"t{k}"), ("box", "s1")
        )
        if k % 50 == 0:
            await asyncio.sleep(50 * seconds / count)


@pytest.mark.parametrize("abort", [False, True])
@pytest.mark.slow(14)
def test_no_message_is_missing_or_double_after_an_outage(tmp_path, abort):
    """A scaled-down outage: 3 s, memory for 400 messages, the rest on disk; documented long run in docs/syslog.md."""

    async def script(sink, collector):
        await steadily(sink, 500, 0.5)
        await settled(sink, collector, 300)
        collector.leave(abort)
        await steadily(sink, 3000, 3.0)
        assert sink.state()["disk_bytes"] > 0
        await collector.back()
        await steadily(sink, 500, 0.5)
        await settled(sink, collector, 4000)
        return sink.state(), collector

    state, collector = played(tmp_path, script, spill=tmp_path / "spill", memory=400)
    assert state["dropped"] == 0 and collector.counts["malformed"] == 0, (state, collector.troubles)
    got = [dict(m.data[f"decision@{codec.ENTERPRISE}"]) for m in collector.messages]
    assert sorted(int(row["txn"][1:]) for row in got if int(row["txn"][1:]) < 500)[:3] == [0, 0, 0]
    assert len(got) == 4000 and not collector.missing()
    assert all(row.get("account", "") == NASTY[int(row["txn"][1:]) % len(NASTY)] for row in got)
    numbers = [int(dict(m.data["meta"])["sequenceId"]) for m in collector.messages]
    assert len(set(numbers)) == 4000 and (abort or numbers == sorted(numbers))  # in order


@pytest.mark.slow(9)
def test_decisions_faster_than_the_connection_go_to_disk(tmp_path, monkeypatch):
    monkeypatch.setattr("rampfront.syslog.sink.BATCH", 4)

    async def script(sink, collector):
        await steadily(sink, 2000, 2.0)  # 10 a flush at the least
        spilled = sink.state()["spilled"]
        await settled(sink, collector, 2000)
        return spilled, sink.state()["dropped"], collector

    spilled, dropped, collector = played(tmp_path, script, spill=tmp_path / "spill", memory=400)
    assert spilled > 100 and dropped == 0 and collector.counts["messages"] == 2000 and not collector.missing()


@pytest.mark.slow(5)
def test_what_does_not_fit_is_counted_and_never_silent(tmp_path):
    async def script(sink, collector):
        collector.leave()
        await asyncio.sleep(0.1)
        await steadily(sink, 2000, 1.0)
        await asyncio.sleep(0.2)
        before = sink.state()
        await collector.back()
        await settled(sink, collector, before["offered"] - before["dropped"])
        return before, collector

    state, collector = played(tmp_path, script, spill=tmp_path / "spill", spill_most=60_000, memory=200)
    assert state["dropped"] > 100 and collector.counts["messages"] == 2000 - state["dropped"]


def test_a_message_names_account_product_txn_and_box():
    said = codec.encode(
        message(
            "declined",
            (("account", 'a"]\\'), ("product", "fetch"), ("txn", "t"), ("box", None)),
            1796158429 * 10**9,
            7,
            "n0",
            "12",
            32473,
        )
    )
    assert said.decode("utf-8-sig") == (
        "<133>1 2026-12-01T20:53:49.000000Z n0 rampfront 12 declined "
        '[decision@32473 account="a\\"\\]\\\\" product="fetch" txn="t"]'
        '[meta sequenceId="7"] \ufefftxn declined'
    )
