"""Load over MQTT 5.0: the part of a load worker that stands where `client.Pool` does, for streams with `front`.

One connection for each account and node, QoS 1 throughout: a txn is over with the PUBACK that carries its answer.
"""

import asyncio

from ..mqtt import codec as c
from .emulator import account_key
from .schedule import accounts

OUTCOMES = {c.OK: 200, c.QUOTA: 429}  # reason code to the status that HTTP gives for the same


class Agent(asyncio.Protocol):
    """One account's connection to one node."""

    def __init__(self, pool, account):
        self.pool, self.account, self.transport, self.up = pool, account, None, False
        self.decoder, self.begun, self.pid, self.out, self.line = c.Decoder(1 << 20, c.V5), bytearray(), 0, {}, []

    def connection_made(self, transport):
        self.transport = transport
        name, stream = self.pool.accounts[self.account]
        user = f"{self.pool.client.plan.load.streams[stream].plan}:{account_key(name)}"
        client_id = f"w{self.pool.client.worker}-{name}"
        transport.write(
            c.packet(c.CONNECT, 0, c.text("MQTT") + b"\x05\x82\x00\x3c\x00" + c.text(client_id) + c.text(user))
        )

    def data_received(self, data):
        if not self.up:
            self.begun += data
            if len(self.begun) < 2 or len(self.begun) < 2 + self.begun[1]:
                return
            if self.begun[3]:
                return self.transport.close()
            data, self.up = bytes(self.begun[2 + self.begun[1] :]), True  # behind the CONNACK
            for txn in self.line:
                self.publish(txn)
            self.line.clear()
        for packet in self.decoder.feed(data):
            if packet.kind == c.PUBACK and (held := self.out.pop(packet.pid, None)):
                txn, tries = held
                if txn.timer is not None and txn.tries == tries:
                    told = dict(packet.properties.get("user", ()))
                    back = told.get("retry-after-ms")
                    self.pool.client.answered(txn, OUTCOMES.get(packet.code, 502), back and float(back) / 1000.0)

    def connection_lost(self, trouble):
        self.pool.agents.pop(self.account, None)
        for txn, tries in [*self.out.values(), *((txn, txn.tries) for txn in self.line)]:
            if txn.timer is not None and txn.tries == tries:
                self.pool.client.cut(txn, False)

    def submit(self, txn):
        self.publish(txn) if self.up else self.line.append(txn)

    def publish(self, txn):
        client, product = self.pool.client, self.pool.client.plan.products[txn.product]
        for _ in range(65535):
            self.pid = self.pid % 65535 + 1
            if self.pid not in self.out:
                break
        self.out[self.pid] = txn, txn.tries
        mark = f"{client.worker}-{txn.number}"
        client.sent(txn)
        more = {"user": [("idempotency-key", f"k{mark}")]} if product.effect == "referenced" else {}
        left = max(1, (txn.deadline - client.clock()) // 10**9)  # MQTT tells whole seconds
        self.transport.write(
            c.publish(c.V5, f"{product.name}/{txn.account}/{mark}", b"", 1, self.pid, expiry=left, **more)
        )


class Publishers:
    """All agents at one node."""

    def __init__(self, client, address):
        host, _, port = address.rpartition(":")
        self.client, self.host, self.port, self.agents, self.opened = client, host, int(port), {}, 0
        self.accounts = accounts(client.plan)

    def submit(self, txn):
        agent = self.agents.get(txn.account)
        if agent is None:
            agent = self.agents[txn.account] = Agent(self, txn.account)
            self.opened += 1
            self.client.loop.create_task(self.open(agent))
        agent.submit(txn)

    async def open(self, agent):
        try:
            await self.client.loop.create_connection(lambda: agent, self.host, self.port)
        except OSError as trouble:
            agent.connection_lost(trouble)
