"""Load over MQTT 5.0: the part of a load worker that stands where `client.Pool` does, for streams with `front`.

One connection for each account and node, QoS 1 throughout: a txn is over with the PUBACK that carries its answer.
"""

import asyncio

from ..mqtt import codec
from .emulator import account_key
from .schedule import accounts

OUTCOMES = {codec.OK: 200, codec.QUOTA: 429}  # reason code to the status that HTTP gives for the same


class AccountConnection(asyncio.Protocol):
    """One account's connection to one node."""

    def __init__(self, pool, account):
        self.pool, self.account, self.transport, self.connected = pool, account, None, False
        self.decoder, self.connack_bytes, self.packet_id, self.unacknowledged, self.waiting = (
            codec.Decoder(1 << 20, codec.V5),
            bytearray(),
            0,
            {},
            [],
        )

    def connection_made(self, transport):
        self.transport = transport
        name, stream = self.pool.accounts[self.account]
        user_name = f"{self.pool.client.plan.load.streams[stream].plan}:{account_key(name)}"
        client_id = f"w{self.pool.client.worker}-{name}"
        transport.write(
            codec.packet(
                codec.CONNECT,
                0,
                codec.text("MQTT") + b"\x05\x82\x00\x3c\x00" + codec.text(client_id) + codec.text(user_name),
            )
        )

    def data_received(self, data):
        if not self.connected:
            self.connack_bytes += data
            if len(self.connack_bytes) < 2 or len(self.connack_bytes) < 2 + self.connack_bytes[1]:
                return
            if self.connack_bytes[3]:
                return self.transport.close()
            data, self.connected = bytes(self.connack_bytes[2 + self.connack_bytes[1] :]), True  # behind the CONNACK
            for txn in self.waiting:
                self.publish(txn)
            self.waiting.clear()
        for packet in self.decoder.feed(data):
            if packet.kind == codec.PUBACK and (entry := self.unacknowledged.pop(packet.pid, None)):
                txn, tries = entry
                if txn.timer is not None and txn.tries == tries:
                    user_properties = dict(packet.properties.get("user", ()))
                    retry_after_ms = user_properties.get("retry-after-ms")
                    self.pool.client.on_answered(
                        txn, OUTCOMES.get(packet.code, 502), retry_after_ms and float(retry_after_ms) / 1000.0
                    )

    def connection_lost(self, error):
        self.pool.connections.pop(self.account, None)
        for txn, tries in [*self.unacknowledged.values(), *((txn, txn.tries) for txn in self.waiting)]:
            if txn.timer is not None and txn.tries == tries:
                self.pool.client.on_connection_failed(txn, False)

    def submit(self, txn):
        self.publish(txn) if self.connected else self.waiting.append(txn)

    def publish(self, txn):
        client, product = self.pool.client, self.pool.client.plan.products[txn.product]
        for _ in range(65535):
            self.packet_id = self.packet_id % 65535 + 1
            if self.packet_id not in self.unacknowledged:
                break
        self.unacknowledged[self.packet_id] = txn, txn.tries
        transaction_id = f"{client.worker}-{txn.number}"
        client.record_first_send(txn)
        extra_properties = (
            {"user": [("idempotency-key", f"k{transaction_id}")]} if product.effect == "referenced" else {}
        )
        time_left_s = max(1, (txn.deadline - client.clock()) // 10**9)  # MQTT tells whole seconds
        self.transport.write(
            codec.publish(
                codec.V5,
                f"{product.name}/{txn.account}/{transaction_id}",
                b"",
                1,
                self.packet_id,
                expiry=time_left_s,
                **extra_properties,
            )
        )


class Publishers:
    """All agents at one node."""

    def __init__(self, client, address):
        host, _, port = address.rpartition(":")
        self.client, self.host, self.port, self.connections, self.opened_connections = client, host, int(port), {}, 0
        self.accounts = accounts(client.plan)

    def submit(self, txn):
        connection = self.connections.get(txn.account)
        if connection is None:
            connection = self.connections[txn.account] = AccountConnection(self, txn.account)
            self.opened_connections += 1
            self.client.loop.create_task(self.open(connection))
        connection.submit(txn)

    async def open(self, connection):
        try:
            await self.client.loop.create_connection(lambda: connection, self.host, self.port)
        except OSError as error:
            connection.connection_lost(error)
