"""The memory account: who gets memory, who is refused, and who gives way."""

import pytest
from proxy_fixtures import TWO_SERVERS, WRITE, ProxyHarness

from rampfront.net.memory_account import MemoryAccount, MemoryShortError, machine_account

SEC = 10**9
TIMEOUT_NS = 10 * SEC
MB = 10**6


class Holder:
    """Releases its charge when it gives way."""

    def __init__(self, account):
        self.charge, self.gave_way = account.open(), False

    def give_way(self):
        self.gave_way = True
        self.charge.release()


class Clock:
    def __init__(self):
        self.now = 0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def account(clock):
    return MemoryAccount(clock, 1000, {"memory_refused": 0, "memory_yielded": 0})


def receiving(account, size):
    holder = Holder(account)
    holder.charge.raise_to(size)
    holder.charge.receiving(holder, TIMEOUT_NS, 0)
    return holder


def test_a_large_charge_leaves_memory_for_small_ones(account):
    large = account.open()
    with pytest.raises(MemoryShortError):
        large.raise_to(801)
    assert account.used_bytes == 0 and account.largest_charge_bytes == 800
    large.raise_to(800)
    second = account.open()
    with pytest.raises(MemoryShortError):
        second.raise_to(170)
    second.raise_to(150)
    small = account.open()
    small.raise_to(30)
    assert account.used_bytes == 980 and account.counts["memory_refused"] == 2


def test_a_refused_charge_stays_as_it_was_and_a_released_one_is_free(account):
    charge = account.open()
    charge.raise_to(500)
    with pytest.raises(MemoryShortError):
        charge.raise_to(900)
    charge.raise_to(100)
    assert charge.size == account.used_bytes == 500
    account.close(charge)
    assert account.used_bytes == 0


def test_the_largest_stalled_charge_gives_way_and_no_more_than_needed(account, clock):
    holders = [receiving(account, size) for size in (200, 400, 100)]
    clock.now = 2 * SEC
    newcomer = account.open()
    newcomer.raise_to(500)
    assert [holder.gave_way for holder in holders] == [False, True, False]
    assert account.counts["memory_yielded"] == 1


def test_who_is_at_work_or_makes_progress_does_not_give_way(account, clock):
    pending, sender = receiving(account, 300), receiving(account, 400)
    pending.charge.received()
    for _ in range(20):
        clock.now += SEC // 2
        sender.charge.receiving(sender, TIMEOUT_NS, 20)  # the pace at which it is complete in time
    with pytest.raises(MemoryShortError):
        account.open().raise_to(400)
    assert not pending.gave_way and not sender.gave_way


def test_a_byte_now_and_then_is_no_progress(account, clock):
    trickler = receiving(account, 600)
    for _ in range(20):
        clock.now += SEC // 4
        trickler.charge.receiving(trickler, TIMEOUT_NS, 1)  # just now
    account.open().raise_to(500)
    assert trickler.gave_way


def test_a_burst_does_not_buy_more_than_the_grace_time(account, clock):
    sender = receiving(account, 600)
    sender.charge.receiving(sender, TIMEOUT_NS, 599)
    clock.now = SEC
    account.open().raise_to(500)
    assert sender.gave_way


def test_a_response_is_charged_until_its_client_has_read_it(account, clock):
    reader, idler = Holder(account), Holder(account)
    for holder in (reader, idler):
        holder.charge.set(400)
        holder.charge.sending(holder, TIMEOUT_NS, 400)
    for unsent_bytes in range(380, 0, -20):
        clock.now += SEC // 2
        reader.charge.note_unsent(unsent_bytes)
    account.open().raise_to(190)
    assert idler.gave_way and not reader.gave_way and account.used_bytes == 590
    reader.charge.note_unsent(0)
    assert account.used_bytes == 190 and not reader.charge.is_sending


@pytest.mark.parametrize("memory_mb, largest_mb", [(200, 81.6), (300, 141.6), (64, 6.4), (20, 2)])
def test_the_account_is_a_part_of_the_machine(memory_mb, largest_mb):
    account = machine_account(lambda: 0, memory_mb, {})
    assert account.capacity_bytes < memory_mb * MB and account.largest_charge_bytes == largest_mb * MB


def test_a_stalled_body_gives_way_with_a_refusal_that_promises_it_has_not_run():
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.memory.capacity_bytes = 10_000
    proxy.client("stalled").feed(
        b"POST /write/x HTTP/1.1\r\nHost: host.example\r\nTry-Id: s\r\nAuthorization: Bearer ann-key\r\n"
        b"Content-Length: 6000\r\n\r\n" + b"x" * 5999
    )
    proxy.wait(2000)
    proxy.send_request(WRITE, body=b"x" * 6000)
    assert proxy.pending() and proxy.log.counts["memory_yielded"] == 1
    refusal = proxy.response("stalled")
    assert refusal.status == 503 and float(refusal["retry-after"]) > 0 and refusal["connection"] == "close"
    assert proxy.log.counts["dispatches"] == 1


def test_a_request_behind_a_response_stays_charged_when_the_response_is_sent():
    """The sweep finds the response sent, and releases its memory, not that of the request that has begun since."""
    proxy = ProxyHarness(TWO_SERVERS)
    client = proxy.client()
    proxy.send_request()
    client.get_write_buffer_size = lambda: 300
    proxy.respond()
    client.feed(
        b"POST /write/x HTTP/1.1\r\nHost: host.example\r\nTry-Id: s\r\nContent-Length: 6000\r\n\r\n" + b"x" * 5000
    )
    client.get_write_buffer_size = lambda: 0
    proxy.client_front.sweep()
    assert 6300 < proxy.memory.used_bytes < 9000
    client.cut()
    assert proxy.memory.used_bytes == 0


def test_no_more_clients_are_cut_off_than_the_memory_needs():
    """The memory of a client that is cut off counts as free at once, not only when the event loop reports its end."""
    proxy = ProxyHarness(TWO_SERVERS)
    proxy.memory.capacity_bytes = 20_000
    for name in ("a", "b"):
        proxy.client(name).get_write_buffer_size = lambda: 1000
        proxy.send_request(try_id=name, client=name)
        proxy.respond(body=b"x" * 6000, try_id=name)
    proxy.wait(2000)
    proxy.send_request(WRITE, body=b"x" * 9000)
    assert proxy.pending() and proxy.log.counts["memory_yielded"] == 1
    assert sorted(proxy.pipes[name].closed for name in ("a", "b")) == [False, True]
