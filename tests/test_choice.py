"""Short runs of one `choice.Node`, compared with readable traces. Each test names the failure it guards against."""

from types import SimpleNamespace

from helper import MS, NodeHarness

from rampfront import terms as t


def test_window_and_others():
    """The window test of RFC 0015: own and others' counts, adds of the growth, and early adds in a surge."""
    p = NodeHarness()
    p.serve(range(2))
    p.wait(100)
    p.count(2)
    p.say("the others have 6")
    p.serve(range(2, 4))
    p.count(10)
    p.serve(range(4, 12))
    p.wait(9400)
    p.say("the next window: the past one weighs two fifths")
    p.serve(range(12, 24))
    p.check("window")


def test_quota_refills():
    """After a burst the window stays full for long. With fresh counts, the units that the quota has earned since are
    admitted, less those that the others used."""
    for others in (0, 6):
        p, totals = NodeHarness(), {}
        p.say(f"a burst, then a try each half second; {others} units of others meanwhile")
        for k in range(-16, 14):
            if k >= 0:
                p.wait(500)
            p.serve([20 + k])
            while p.pending_adds:
                name = p.pending_adds[0].name
                totals[name] = totals.get(name, 0) + p.pending_adds[0].amount
                p.count(totals[name] + (others if k > 5 else 0))
        p.lines = [line for line in p.lines if "adds" not in line]
        p.check(f"quota_refills_{others}")


def test_true_units():
    """Actual units below the announced ones are offset against later growth: adds never decrease."""
    p = NodeHarness()
    p.arrive(0, units=4)
    p.end(0, actual_units=1)
    p.wait(100)
    p.count(4)
    p.serve([1], units=2)
    p.wait(1500)
    p.say("2 new units less 3 handed back: nothing to add")
    p.serve([2], units=2)
    p.wait(1500)
    p.check("true_units")


def test_add_in_doubt():
    """A timed-out add is neither resent blindly nor forgotten: the next total shows whether it was applied."""
    for landed, total in ((True, 2), (False, 0)):
        p = NodeHarness()
        p.serve(range(2))
        p.count(outcome=t.TIMED_OUT)
        p.wait(200)
        p.count(total)
        p.say(f"total {total}: the add in doubt had {'' if landed else 'not '}landed")
        p.serve([2])
        p.wait(1500)
        p.check(f"doubt_{'landed' if landed else 'lost'}")


def test_comes_once():
    """A customer's single txn costs the counter no call. The second txn causes the first reading, which covers both.
    Under a ceiling, which needs a total, the first txn causes it."""
    p = NodeHarness()
    p.serve([0])
    p.wait(3000)
    p.say("the second txn")
    p.serve([1])
    p.wait(100)
    p.say("a first one under a ceiling")
    p.serve([2], plan=2, account="b")
    p.wait(100)
    p.check("comes_once")


def test_counts_lost():
    """A total below what earlier totals imply means that the counter lost counts: the node reports its own again."""
    p = NodeHarness()
    p.serve(range(2))
    p.count(3)
    p.serve(range(2, 4))
    p.say("the counter came back empty")
    p.count(2)
    p.serve([4])
    p.wait(1500)
    p.check("lost")


def test_counter_silent():
    """If the counter is silent, the breaker opens, calls are paced, and the others are assumed to go on as last
    read."""
    p = NodeHarness()
    p.serve(range(2))
    p.count(3)
    for k in range(8):
        p.wait(1000)
        if p.pending_adds:
            p.count(outcome=t.TIMED_OUT)
        p.serve([2 + k, 12 + k], account=f"b{k}")
    p.wait(100)
    p.say(f"counter {p.node.breaker}; customer a asks for much")
    p.serve(range(20, 30))
    p.check("silent")


def test_cap():
    """A cap on submissions in flight: the shared count rises and falls with our own; the rest of it is the others'."""
    p = NodeHarness()
    p.arrive(0, plan=1)
    p.count(2)
    p.arrive(1, plan=1)
    p.end(0)
    p.count(1)
    p.arrive(2, plan=1)
    p.check("cap")


def test_ceiling_after_start():
    """A restart does not refill the ceiling: the node's share counts as spent, whatever the quota would allow."""
    p = NodeHarness()
    p.arrive(0, plan=2, units=4)
    p.wait(500)
    p.arrive(1, plan=2, units=4)
    p.arrive(2, plan=2, units=4)
    p.check("ceiling")


def test_ceiling_by_totals():
    """A total raises our share of the ceiling to an even part of what it leaves, on whichever node the traffic arrives.
    If the others have used it, or the counter does not answer, the even split at the ceiling's rate stays."""
    for others in (0, 26):
        p = NodeHarness()
        p.say(f"the others have sent on {others}")
        p.arrive(0, plan=2, units=4)
        p.wait(100)
        p.count(others)
        for txn in range(1, 9):
            p.serve([txn], plan=2, units=4)
            if p.pending_adds:
                p.count(others + 4 * txn)
        p.check(f"ceiling_{others}")


def test_repeats():
    """Rule 2: which repeats each product allows once a submission may have run, or certainly has not."""
    p = NodeHarness(servers=0, nodes=1)  # capacity for all, so that only the rules decide
    p.update_servers(0)
    p.update_servers(1, cell=1, complete=False)
    for product, name in ((0, "inquiry-like"), (1, "referenced, by cell"), (2, "once-only")):
        for how, said in ((t.NOT_ACCEPTED, "turned away unseen"), (t.TIMED_OUT, "timed out")):
            txn = 2 * product + (how == t.TIMED_OUT)
            p.say(f"{name}, {said}")
            p.arrive(txn, product=product, account=f"r{txn}")
            server = p.last_server()
            p.wait(300)
            p.end(txn, how, server, 300)
            if txn in p.node.txns:
                p.end(txn, server=p.last_server())
    p.say("referenced, past the time that repeats are remembered")
    p.arrive(9, product=1, expiry=9000, account="r9")
    server = p.last_server()
    p.wait(3000)
    p.end(9, t.CONNECTION_LOST, server, 3000)
    p.check("repeats")


def test_drains():
    """Rule 3: servers that drain, are removed or missing from a complete list; with none left a txn is answered at
    once."""
    p = NodeHarness(servers=2)
    p.update_servers(0, state=t.DRAINING, complete=False)
    p.arrive(0, account="x")
    p.end(0, server=1)
    p.update_servers(1, state=t.REMOVED, complete=False)
    p.arrive(1, account="y")
    p.update_servers(0)
    p.arrive(2, account="z")
    p.update_servers()
    p.end(2, t.CONNECTION_LOST)
    p.check("drains")


def test_cold_budget():
    """Rule 4: in any span, a new app server gets the cold share of what a warm one does for this node."""
    p = NodeHarness(servers=1)
    for k in range(160):
        p.arrive(k, account=f"c{k}")
        p.end(k, duration_ms=20)
        p.wait(50)
    p.update_servers(1, started_at_ms=p.now_ms, complete=False)
    p.update_servers(0, state=t.DRAINING, complete=False)
    p.lines = []
    for k in range(200, 240):
        p.arrive(k, account=f"d{k}")
        if k in p.node.txns:
            p.end(k, server=1, duration_ms=20)
        p.wait(50)
    p.lines = [line for line in p.lines if " to " in line]
    p.check("cold")


def test_fast_failure():
    """Fast failures must not look like free capacity, yet the app server is tried again from time to time."""
    p = NodeHarness(servers=3, has_counter=False)
    to = [0, 0, 0]
    for k in range(300):
        p.arrive(k, account=f"e{k}")
        while k in p.node.txns:
            server = p.last_server()
            to[server] += 1
            p.end(k, t.ERROR if server == 0 else t.DONE, server, 2 if server == 0 else 100)
        p.wait(20)
    p.lines = [f"sent: {to}"]
    p.check("fast_failure")


def test_ill_by_itself():
    """One app server that refuses every connection does not lower the limits of the others, and is no fallback once
    they are full: txns beyond the capacity are declined at once."""
    p = NodeHarness(servers=3, has_counter=False, nodes=1)
    to, full = [0, 0, 0], 0
    for k in range(400):
        p.arrive(k, account=f"e{k}")
        while k in p.node.txns and (server := p.last_server()) == 0:
            to[0] += 1
            p.end(k, t.NOT_ACCEPTED, 0, 0)
        if k in p.node.txns:
            to[server] += 1
        p.wait(20)
        if k % 40 == 39:
            full += p.node.servers[1].in_flight + p.node.servers[2].in_flight
            for txn in list(p.node.txns):
                p.end(txn, server=p.node.txns[txn].last_server)
    p.lines = [f"sent: {to}", f"limit {p.node.limit / p.node.initial_limit:.2f} of its start", f"out when full: {full}"]
    p.check("ill_by_itself")


def test_answers_lost():
    """One answer in four is lost while the rest arrive in time. Limits must not shrink by it, or lost answers would
    occupy the capacity. If nearly all time out, they do shrink."""
    for lost in (4, 1):
        p = NodeHarness(servers=3, has_counter=False, nodes=1)
        for k in range(200):
            p.arrive(k, account=f"e{k}")
            if k in p.node.txns:
                how = t.TIMED_OUT if k % lost == 0 else t.DONE
                p.end(k, how, p.node.txns[k].last_server, 1000 if how == t.TIMED_OUT else 50, final=True)
            p.wait(5)
        p.lines = [f"1 of {lost} lost: limit {p.node.limit / p.node.initial_limit:.2f} of its start"]
        p.check(f"answers_lost_{lost}")


def test_full_fleet():
    """Limits below one hold in sum and on average: first savings are used, then txns are declined, then capacity
    returns."""
    p = NodeHarness(servers=4, nodes=16)
    for k in range(16):
        p.arrive(k, account=f"f{k}", nodes=2)
        p.wait(100)
    p.say("all that was out is settled")
    for k in list(p.node.txns):
        p.end(k, server=p.node.txns[k].last_server, duration_ms=1600)
    for k in range(20, 26):
        p.wait(600)
        p.arrive(k, account=f"f{k}", nodes=2)
    p.lines = [line for line in p.lines if "adds" not in line]
    p.check("full_fleet")


def test_thin_share():
    """If the node's share is under one txn, each txn reads its account's count first; a declined one takes its add
    back. Without an answer free capacity decides, as excess work costs much."""
    p = NodeHarness(nodes=300, servers=200, plans=(t.Plan(2.0, 10.0, 0, 0.0, 0.0, 0.0, 1.2),))
    for k, total in enumerate((2.1465, 21, 24)):
        p.arrive(k, nodes=200)
        p.say(f"the counter tells {total}")
        p.count(total)
    p.say("the client of a txn that waits leaves; then the answer comes")
    p.arrive(3, nodes=200)
    p.apply_input(t.Left(3))
    p.count(3)
    p.say(f"open txns: {len(p.node.txns)}; too short an expiry to wait, with one out already")
    p.arrive(4, nodes=200, expiry=90)
    p.arrive(5, nodes=200)
    p.say("the counter times out")
    p.count(outcome=t.TIMED_OUT)
    p.check("thin_share")


def test_thin_cap():
    """Under a cap the add stays while the submission is in flight and is taken back at its end."""
    p = NodeHarness(nodes=300, servers=200)
    p.arrive(0, plan=1, nodes=200)
    p.count(1)
    p.arrive(1, plan=1, nodes=200)
    p.count(3)
    p.count(2)
    p.end(0, server=p.last_server())
    p.check("thin_cap")


def test_cold_among_many():
    """Rule 4 over a fleet: 200 nodes that each use an app server rarely keep to the budget together."""
    sent = 0
    for seed in range(200):
        p = NodeHarness(servers=1, nodes=200, seed=seed)
        for k in range(8):
            p.arrive(k, account=f"g{k}")
            if k in p.node.txns:
                p.end(k, duration_ms=20)
            p.wait(1000)
        p.update_servers(1, started_at_ms=p.now_ms, complete=False)
        p.update_servers(0, state=t.DRAINING, complete=False)
        for k in range(10, 14):  # in one span, cold at a fifth: 200 x 1 a second x 2.0 x 0.8 x 0.2 = 64
            p.arrive(k, account=f"h{k}")
            sent += k in p.node.txns
            p.wait(240)
    p.lines = [f"sent by 200 nodes in a span: {sent}"]
    p.check("cold_many")


def test_late_is_over():
    """Past the latency target, a txn whose late answer has no value is not sent again: that load would be useless."""
    p = NodeHarness(servers=2)
    p.arrive(0)
    p.wait(1000)
    p.end(0, t.TIMED_OUT, server=p.last_server(), duration_ms=1000)
    p.arrive(1)
    p.wait(200)
    p.end(1, t.ERROR, server=p.last_server(), duration_ms=200)
    p.check("late")


def test_probes_by_own_txns():
    """However many app servers and nodes there are, there is less than one probe a txn. If the settings give eight
    times the usual price, there are an eighth as many, because all nodes together pay for them."""
    for name, fee in (("probes", 0.0), ("dear_probes", 0.08)):
        p = NodeHarness(servers=60, nodes=300, may_probe=True, probe_cost=fee)
        for k in range(200):
            p.arrive(k, account=f"i{k}", nodes=2)
            p.wait(500)
        p.lines = [f"probes for 200 txns: {sum('probes' in line for line in p.lines)}"]
        p.check(name)


def test_probed_are_full():
    """In a node with little traffic the few probed servers are soon full: a txn is then sent to one of the others."""
    p = NodeHarness(servers=60, nodes=40)
    for k in range(4):
        p.apply_input(t.Probed(k, t.DONE, MS, {}))
    for k in range(6):
        p.arrive(k, account=f"i{k}", nodes=2)
    p.lines = [f"{len(p.node.txns)} of 6 sent, {sum(s.in_flight for s in p.node.probed)} of them to those probed"]
    p.check("probed_are_full")


def test_list_of_the_gone():
    """An outdated list names twenty removed servers beside ten that serve. A failed connect is no load, so limits stay,
    further submissions are free, and the removed servers are soon avoided."""
    p, sent = NodeHarness(servers=30, nodes=12, has_counter=False), {True: 0, False: 0}
    for k in range(120):
        p.arrive(k, account=f"e{k}")
        while k in p.node.txns:
            server = p.last_server()
            sent[server < 20] += 1
            p.end(k, t.CONNECT_FAILED if server < 20 else t.DONE, server, 0 if server < 20 else 100, final=server >= 20)
        p.wait(80)
    p.lines = [
        f"sent: {sent[False]} of 120 to those that serve, {sent[True]} to the gone",
        f"limit {p.node.limit / p.node.initial_limit:.2f} of its start, savings {p.node.saved_retries:.0f}",
    ]
    p.check("list_of_the_gone")


def test_replaced_at_once():
    """Six in ten app servers are new and cold. Nodes without statistics of them warm them up nevertheless, within rule
    4, and a txn that the probed servers may not take is sent to another one."""
    p, cold, settled = NodeHarness(servers=60, nodes=40, has_counter=False), 0, 0
    for k in range(600):
        if k == 300:
            p.update_servers(*range(36), state=t.REMOVED, complete=False)
            p.update_servers(*range(60, 96), started_at_ms=p.now_ms, complete=False)
            for server in range(60, 64):
                p.apply_input(t.Probed(server, t.DONE, MS, {}))
        p.arrive(k, account=f"e{k}")
        if k in p.node.txns:
            cold, settled = cold + (p.last_server() >= 60), settled + (k >= 300)
            p.end(k, server=p.last_server())
        p.wait(80)
    p.lines = [f"of 300 behind the change {settled} sent, {cold} of them to the new"]
    p.check("replaced_at_once")


def test_noise_of_fading_counts():
    """A decaying count is higher than the quota's refill warrants. An account with a shared count may be a little over
    its quota while there is capacity, and is held to it once txns within their quotas find none."""
    p = NodeHarness(nodes=300, servers=200, plans=(t.Plan(2.0, 10.0, 0, 0.0, 0.0, 0.0, 1.2),))
    for k, (pressed, over) in enumerate(((0.0, 1.06), (0.0, 1.2), (0.2, 1.06))):
        p.node.declined_share = pressed
        p.pending_adds.clear()
        p.arrive(k, nodes=200, account=f"a{k}")
        age = p.node.txns[k].age_weight
        p.say(f"told {over:.2f} of its quota; found no room {pressed:.0%}")
        p.count(10.0 * over * age)
    p.lines = [line for line in p.lines if "adds" not in line]
    p.check("noise")


def test_few_are_kept_to():
    """With many app servers and few txns, a node keeps to servers it knows: few connections, and failing servers
    known."""
    p, used = NodeHarness(servers=60, nodes=40, has_counter=False), set()
    for k in range(400):
        p.arrive(k, account=f"e{k}")
        if k in p.node.txns:
            used.add(p.last_server())
            p.end(k, server=p.last_server())
        p.wait(80)
        if k in (99, 199, 399):
            p.say(f"{k + 1} txns: {len(used)} app servers met")
    p.lines = [line for line in p.lines if "met" in line]
    p.check("few_are_kept_to")


def test_short_expiry_and_leaving():
    """Rule 1: a submission ends before the expiry, however short; a client that has left gets no answer."""
    p = NodeHarness()
    p.arrive(0, expiry=50)
    p.wait(46)
    p.end(0, t.TIMED_OUT, duration_ms=46)
    p.arrive(1, expiry=4)
    p.arrive(2)
    p.apply_input(t.Left(2))
    p.end(2, t.CANCELLED)
    p.say(f"open txns: {len(p.node.txns)}")
    p.check("expiry")


METERED = dict(
    plans=(t.Plan(20.0, 26.0, 0, 0.0, 0.0, 0.0, 0.5),), usage_period=1000 * MS, nodes=300, servers=200, max_units=4.0
)


def test_meter_spares_calls():
    """An overloaded counter is not asked about an account whose reported usage is low, and an account that uses more
    than its quota is declined without a call. If the counter is not overloaded, it is asked for all."""
    for use, stretch in ((0.2, 1.0), (0.2, 20.0), (2.0, 20.0)):
        p = NodeHarness(**METERED)
        calls = sent = 0
        for k in range(60):
            p.node.tick_scale = stretch
            p.free_all_places()
            p.arrive(k, nodes=200)
            calls += len(p.pending_adds)
            if p.pending_adds:
                p.count(26 * use * 0.5 * p.pending_adds[0].amount)
            if k in p.node.txns:
                sent += 1
                p.end(k, server=p.last_server(), duration_ms=20, usage=use)
            p.pending_adds.clear()
            p.node.calls.clear()
            p.wait(400)
        p.lines = [f"use {use:g}, stretch {stretch:g}: {calls // 10} tens of 60 asked, {sent // 10} tens sent on"]
        p.check(f"meter_{use:g}_{stretch:g}")


def test_patience():
    """The latency target counts from the client's first try: a later try with too little time left is declined at once.
    If first tries have no common time left, nothing is deducted."""
    product = t.Product(t.READ_ONLY, t.ALL, 1000 * MS, 0, 0.0, client_timeout=4000 * MS)
    for common in (True, False):
        p = NodeHarness(servers=3, nodes=1, products=(product,), has_counter=False)
        for k in range(8):
            p.arrive(k, account=f"p{k}", expiry=3000 if common else 3000 + 100 * k)
            p.end(k, server=p.last_server(), duration_ms=100)
            p.wait(100)
        p.lines = []
        for k, left in ((20, 3000), (21, 3600), (22, 2900)):
            p.arrive(k, account=f"p{k}", expiry=left)
        p.check(f"patience_{'common' if common else 'none'}")


def test_stood_still():
    """Time-outs found right after a stall are the node's own fault: no limit shrinks and no tick gets longer."""
    for still in (True, False):
        p = NodeHarness(servers=3, nodes=1)
        for k in range(3):
            p.serve([10 + k])
            p.arrive(k, account=f"q{k}")
        p.wait(100)
        limit, where = p.node.limit, [p.node.txns[k].last_server for k in range(3)]
        if still:
            p.now_ms += 2000  # no reminder is handled meanwhile
            p.wait(0)
        for k in range(3):
            p.end(k, t.TIMED_OUT, where[k], 1000)
        p.count(outcome=t.TIMED_OUT)
        p.lines = [f"limit {p.node.limit / limit:.2f} of before, stretch {p.node.tick_scale:g}"]
        p.check(f"stood_still_{still}")


def test_places_given_up():
    """A timed-out submission may still run, so its place stays occupied for some mean times and work does not pile up.
    While answers are lost but arrive in time otherwise, the place is free at once."""
    for silent in (0.0, 0.9):
        p = NodeHarness(servers=1, nodes=1, has_counter=False)
        p.serve([0, 1, 2])
        p.node.lost_share = silent
        for k in range(10, 14):
            p.arrive(k, account=f"g{k}")
        for k in range(10, 13):
            p.end(k, t.TIMED_OUT, duration_ms=1000, final=True)
        p.say(
            f"held after three time-outs, {silent:g} of what is out for long never comes: {p.node.servers[0].occupied}"
        )
        p.wait(500)
        p.say(f"held some mean times later: {p.node.servers[0].occupied}")
        p.lines = [line for line in p.lines if "held" in line]
        p.check(f"places_{silent:g}")


def test_second_copy():
    """Once most overdue answers are lost, a read-only txn is duplicated on another server; the first answer settles it
    and the other submission is cancelled. A once-only txn is not duplicated, nor is any while all servers are slow."""
    p = NodeHarness(servers=3, nodes=1, has_counter=False, may_duplicate=True)
    p.serve([0, 1, 2])
    for silent, tardy, product in ((0.0, 0.0, 0), (0.9, 0.0, 0), (0.9, 0.0, 2), (0.9, 0.5, 0)):
        txn = 10 + len(p.lines)
        p.node.lost_share, p.node.late_share = silent, tardy
        p.say(f"product {product}, {silent:g} never comes, {tardy:g} slow")
        p.arrive(txn, product=product, account=f"c{txn}")
        p.wait(400)
        if len(p.node.txns[txn].in_flight) > 1:
            p.end(txn, server=p.last_server(), duration_ms=100, attempt=1)
            p.end(txn, t.CANCELLED, p.node.servers[0].id if p.last_server() else 1, 400, final=True, attempt=0)
        else:
            p.end(txn, server=p.last_server(), duration_ms=400)
    p.say(f"open txns: {len(p.node.txns)}")
    p.check("second_copy")


def test_busy_accounts_yield():
    """While txns within their quotas find no capacity, accounts near their quotas whose count is unread are shed
    first."""
    for pressed in (0.0, 0.6):
        p = NodeHarness(**METERED)
        p.node.tick_scale, p.node.declined_share = 24.0, pressed
        sent = [0, 0]
        for k in range(200):
            for which, use in enumerate((0.2, 0.7)):
                account = p.node.account(f"y{which}", 0, 200)
                account.usage, account.usage_read_at, p.node.declined_share = use, p.node.now, pressed
                p.free_all_places()
                p.arrive(2 * k + which, account=f"y{which}", nodes=200)
                p.pending_adds.clear()
                p.node.calls.clear()
                if p.node.txns.get(2 * k + which):
                    sent[which] += p.node.txns[2 * k + which].submissions > 0
                    p.node.txns.pop(2 * k + which)
        p.lines = [f"pressed {pressed:g}: sent on of 200, calm {sent[0] // 20} tens of two, busy {sent[1] // 20}"]
        p.check(f"yield_{pressed:g}")


def test_the_last_room_is_for_those_of_high_rank():
    """The last capacity is kept from txns of high shed rank; while there is plenty, the rank has no effect."""
    p = NodeHarness(servers=2, nodes=1, has_counter=False)
    p.node.slack = 1.0
    at = p.node.limit
    for held, expected in ((0.0, [True, True]), (0.8 * at, [False, True]), (at, [False, False])):
        for server in p.node.servers.values():
            server.occupied = held
        found = []
        for rank in (1.0, 0.0):
            txn = SimpleNamespace(
                shed_rank=rank,
                proximity_exponent=1.0,
                last_server=-1,
                product=p.node.products[0],
                in_flight={},
                expires_at=p.node.now + 1000 * MS,
                submissions=1,
                account=None,
                risk_at=None,
                allowed_zones=None,
            )
            found.append(p.node.choose(txn) is not None)
        assert found == expected, held
