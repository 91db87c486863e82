"""Frames between the nodes of the system: small ones as datagrams, large ones over a TCP connection of their own.

The service is one-way and unreliable: a frame may be lost, doubled or late, and nothing is sent again here. The
protocols above (consensus, membership, quota, orders) repeat what matters.

Reading order:

- `frames`: the codec. A message is a map; a frame is that map as CBOR, compressed where it pays.
- `wire`: `Wire`, which the node uses: `send` and `send_all` out, the handler `on_frame` in.
- `datagram`: the UDP endpoint for small frames.
- `transfer_scheduler`: which large frame goes to whom next. It does no I/O.
- `connections`: what the ends of a transfer's TCP connection have in common, and the bounded set that `Wire` keeps.
- `outgoing`, `incoming`: the sender's and the receiver's end.
"""
