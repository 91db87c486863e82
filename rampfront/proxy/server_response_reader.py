"""Reads the responses of one server, without I/O: the header fields of the system's protocol on `net`'s reader.

Source: PROTOCOL.md, "Servers".
"""

from collections.abc import Callable

from ..net.limits import NetworkLimits
from ..net.server_response_reader import ServerResponseReader
from .server_response import HOP_BY_HOP_FIELDS

# Fields that are looked at here, beside being passed on or not.
_FIELDS = frozenset(
    (
        b"try-id",
        b"server-seal",
        b"not-run",
        b"server-load",
        b"content-encoding",
        b"content-length",
        b"transfer-encoding",
        b"keep-alive",
    )
)
_FALSE = (b"", b"0")  # of `Not-Run`


class SystemResponseReader(ServerResponseReader):
    """Reads the responses of one connection. The methods `on_...` are the callbacks of `httptools`.

    Attributes:
        fields: the fields that are looked at here, by their names in lower case; of one that comes twice the last.
        header_lines: the fields that go back to the client, as they came, with their line ends.
        expects_no_body: the response is one to HEAD: it ends with its head, whatever length that announces.
    """

    __slots__ = ("fields", "header_lines", "expects_no_body")

    def __init__(self, limits: NetworkLimits, may_stream: Callable[[], bool]) -> None:
        """Expects the first response. Parameters as `ServerResponseReader` has them."""
        super().__init__(limits, may_stream)
        self.fields: dict[bytes, bytes] = {}
        self.header_lines: list[bytes] = []
        self.expects_no_body = False

    def on_message_begin(self) -> None:
        """A response begins."""
        super().on_message_begin()
        self.fields = {}
        self.header_lines = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header field."""
        if self.head_complete:
            return  # guards the head against trailers
        lowered = name.lower()
        if lowered in _FIELDS:
            self.fields[lowered] = value
        if lowered not in HOP_BY_HOP_FIELDS:
            self.header_lines.append(b"%s: %s\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        """The head is complete."""
        fields = self.fields
        self.not_run = b"not-run" in fields and fields[b"not-run"].strip() not in _FALSE
        self.chunked = b"transfer-encoding" in fields
        if b"content-length" in fields:
            self.length = int(fields[b"content-length"])  # the parser has checked it
        super().on_headers_complete()
        if self.head_complete and self.expects_no_body:
            self.complete = True
            self.keep_alive = False
