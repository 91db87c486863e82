"""Carries frames between the nodes of the system: small ones as datagrams, each large one over its own TCP connection.

The service is one-way and unreliable: a frame may be lost, duplicated or delayed, and this package does not retransmit.
The protocols above it (consensus, membership, quota, orders) repeat the messages that have to arrive.

Reading order:

- `frames`: the codec. A message is a map; a frame is that map as CBOR, compressed if that makes it smaller.
- `wire`: `Wire`, the interface for the node: `send` and `send_all`, and the handler `on_frame` for received messages.
- `datagram`: the UDP endpoint for small frames.
- `transfer_scheduler`: decides when each large frame is sent. It does no I/O.
- `connections`: the base class for both ends of a transfer's TCP connection, and the bounded set that `Wire` keeps.
- `outgoing`, `incoming`: the sender's and the receiver's end of the connection.
"""
