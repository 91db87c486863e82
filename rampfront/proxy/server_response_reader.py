"""Reads a server's responses: extends `net`'s reader by the header fields of the system's protocol. No I/O.

Source: PROTOCOL.md, "Servers".
"""

from collections.abc import Callable

from ..net.limits import NetworkLimits
from ..net.memory_account import MemoryCharge
from ..net.server_response_reader import RemoteProtocolError, ServerResponseReader
from .server_response import HOP_BY_HOP_FIELDS

# Fields that the proxy evaluates, whether or not they are also forwarded.
_EVALUATED_FIELDS = frozenset(
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
_UNIQUE_FIELDS = frozenset((b"try-id", b"server-seal", b"not-run"))  # they say whose response it is, and of what
_FALSE = (b"", b"0")  # values of `Not-Run` that count as absent


class SystemResponseReader(ServerResponseReader):
    """Reads the responses of one connection. The methods `on_...` are the callbacks of `httptools`.

    Attributes:
        fields: the evaluated fields, by lower-case name; the last value of a repeated field.
        header_lines: the fields to forward to the client, as received, with their line ends.
        expects_no_body: whether the request's method is HEAD: the response ends with its head, even if that
            announces a length.
    """

    __slots__ = ("fields", "header_lines", "expects_no_body")

    def __init__(self, limits: NetworkLimits, charge: MemoryCharge, may_stream: Callable[[], bool]) -> None:
        """Expects the first response. The parameters are those of `ServerResponseReader`."""
        super().__init__(limits, charge, may_stream)
        self.fields: dict[bytes, bytes] = {}
        self.header_lines: list[bytes] = []
        self.expects_no_body = False

    def on_message_begin(self) -> None:
        """Starts a new response."""
        super().on_message_begin()
        self.fields = {}
        self.header_lines = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Records a header field. Raises RemoteProtocolError if the head is made of those of two responses."""
        if self.head_complete:
            return  # trailers are ignored
        self.check_one_response(value)
        lowered = name.lower()
        if lowered in _UNIQUE_FIELDS and lowered in self.fields:
            raise RemoteProtocolError(f"{lowered.decode()} comes twice in one head")
        if lowered in _EVALUATED_FIELDS:
            self.fields[lowered] = value
        if lowered not in HOP_BY_HOP_FIELDS:
            self.header_lines.append(b"%s: %s\r\n" % (name, value))

    def _charge_body(self, size: int) -> None:
        """Charges the body, or discards it if there is no memory for it; the response to HEAD has none."""
        if not self.expects_no_body:
            super()._charge_body(size)

    def on_headers_complete(self) -> None:
        """Evaluates the complete head."""
        fields = self.fields
        self.not_run = b"not-run" in fields and fields[b"not-run"].strip() not in _FALSE
        self.chunked = b"transfer-encoding" in fields
        if b"content-length" in fields:
            self.length = int(fields[b"content-length"])  # the parser has validated it
        super().on_headers_complete()
        if self.head_complete and self.expects_no_body:
            self.complete = True
            self.keep_alive = False
