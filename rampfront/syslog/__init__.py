"""Sends the decisions of the edge node to a syslog collector, and buffers them during the collector's outages.

Messages follow RFC 5424 and carry structured data. Over TCP they are framed by octet counting (RFC 6587, section
3.4.1); over UDP each message is one datagram. The request path must never wait for any of this: it appends one record
to a queue. A timer does everything else, and a separate thread does the disk I/O.

Reading order:

1. `message` defines a syslog message, `message_encoder` encodes it, and `octet_counting` frames messages for a stream
   and splits a stream into messages. `message_parser` is a strict parser for the laboratory's collector and the tests.
2. `decision_messages` maps decisions to messages. The decision driver calls `decision_recorder`.
3. `send_queue` holds queued records and frames in flight, `disk_buffer` holds messages on disk, and
   `disk_buffer_thread` runs the disk I/O on a thread. `collector_connection` is one connection; `collector_connector`
   reconnects after it is lost.
4. `syslog_sender` combines these according to `syslog_settings`, and determines the order in which messages are sent.

`message`, `message_encoder`, `message_parser`, `octet_counting`, `decision_messages` and `send_queue` do no I/O and
read no clock. `docs/syslog.md` has the design and the operators' page.
"""
