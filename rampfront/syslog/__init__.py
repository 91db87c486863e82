"""Decisions of the edge node as syslog messages, sent to a collector and kept through its outages.

A message is RFC 5424 with structured data. Over TCP it is framed by octet counting (RFC 6587, section 3.4.1), over UDP
it is one datagram. The path of a transaction must never wait for any of this: it appends one record to a queue, and
all else is done by a timer, the disk by a thread.

To read, in this order:

1. `message` is one syslog message, `message_encoder` makes bytes of it, `octet_counting` frames them and cuts a stream
   into messages again. `message_parser` reads messages strictly; the laboratory's collector and the tests use it.
2. `decision_messages` says which message each decision becomes. `decision_recorder` is what the decision driver calls.
3. `send_queue` is what waits and what is in flight, `disk_buffer` what was put on disk, `disk_buffer_thread` the thread
   that writes and reads it. `collector_connection` is one connection, `collector_connector` opens it anew after it is
   lost.
4. `syslog_sender` joins these as `syslog_settings` asks, and says in which order messages go out.

`message`, `message_encoder`, `message_parser`, `octet_counting`, `decision_messages` and `send_queue` do no I/O and
read no clock. `docs/syslog.md` has the design and the operators' page.
"""
