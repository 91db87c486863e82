"""Load over MQTT 5.0: replaces `client.Pool` in a load worker for streams whose `front` is MQTT.

There is one connection for each account and node, with QoS 1 throughout: a transaction ends with the PUBACK that
carries its result.
"""

import asyncio

from ..mqtt import codec
from .emulator import account_key
from .schedule import accounts

OUTCOMES = {codec.OK: 200, codec.QUOTA_EXCEEDED: 429}  # the HTTP status that corresponds to the reason code


class AccountConnection(asyncio.Protocol):
    """One account's connection to one node."""

    def __init__(self, pool, account):
        """`account`: the index of the account."""
        self.pool, self.account, self.transport, self.connected = pool, account, None, False
        self.decoder, self.connack_bytes, self.packet_id, self.unacknowledged, self.waiting = (
            codec.Decoder(1 << 20, codec.V5),
            bytearray(),
            0,
            {},
            [],
        )

    def connection_made(self, transport):
        """Called by the event loop: the connection is up. Sends CONNECT."""
        self.transport = transport
        name, stream = self.pool.accounts[self.account]
        user_name = f"{self.pool.client.plan.load.streams[stream].plan}:{account_key(name)}"
        client_id = f"w{self.pool.client.worker}-{name}"
        transport.write(
            codec.encode_packet(
                codec.CONNECT,
                0,
                codec.encode_text("MQTT")
                + b"\x05\x82\x00\x3c\x00"
                + codec.encode_text(client_id)
                + codec.encode_text(user_name),
            )
        )

    def data_received(self, data):
        """Called by the event loop: bytes of CONNACK and PUBACK packets."""
        if not self.connected:
            self.connack_bytes += data
            if len(self.connack_bytes) < 2 or len(self.connack_bytes) < 2 + self.connack_bytes[1]:
                return
            if self.connack_bytes[3]:
                return self.transport.close()
            # The rest after the CONNACK.
            data, self.connected = bytes(self.connack_bytes[2 + self.connack_bytes[1] :]), True
            for txn in self.waiting:
                self.publish(txn)
            self.waiting.clear()
        for packet in self.decoder.feed(data):
            if packet.kind == codec.PUBACK and (entry := self.unacknowledged.pop(packet.packet_id, None)):
                txn, tries = entry
                if txn.timer is not None and txn.tries == tries:
                    user_properties = dict(packet.properties.get("user", ()))
                    retry_after_ms = user_properties.get("retry-after-ms")
                    self.pool.client.on_answered(
                        txn, OUTCOMES.get(packet.code, 502), retry_after_ms and float(retry_after_ms) / 1000.0
                    )

    def connection_lost(self, error):
        """Called by the event loop: the connection has ended. All of its transactions fail."""
        self.pool.connections.pop(self.account, None)
        for txn, tries in [*self.unacknowledged.values(), *((txn, txn.tries) for txn in self.waiting)]:
            if txn.timer is not None and txn.tries == tries:
                self.pool.client.on_connection_failed(txn, False)

    def submit(self, txn):
        """Publishes a transaction, or queues it until the connection is accepted."""
        self.publish(txn) if self.connected else self.waiting.append(txn)

    def publish(self, txn):
        """Publishes a transaction under a free packet ID."""
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
        time_left_s = max(1, (txn.deadline - client.clock()) // 10**9)  # MQTT's expiry is in whole seconds
        self.transport.write(
            codec.encode_publish(
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
    """The connections of all accounts to one node."""

    def __init__(self, client, address):
        """`address`: of the node's MQTT listener, as `host:port`."""
        host, _, port = address.rpartition(":")
        self.client, self.host, self.port, self.connections, self.opened_connections = client, host, int(port), {}, 0
        self.accounts = accounts(client.plan)

    def submit(self, txn):
        """Sends a transaction on its account's connection, which is opened if necessary."""
        connection = self.connections.get(txn.account)
        if connection is None:
            connection = self.connections[txn.account] = AccountConnection(self, txn.account)
            self.opened_connections += 1
            self.client.loop.create_task(self.open(connection))
        connection.submit(txn)

    async def open(self, connection):
        """Opens a connection."""
        try:
            await self.client.loop.create_connection(lambda: connection, self.host, self.port)
        except OSError as error:
            connection.connection_lost(error)
