"""Clients that do not behave: each sends a stream of bytes, reads nothing, and keeps its connection open.

A client ends its sending when its bytes are all sent, when the peer has closed the connection, or when nothing was
taken of it for a while. The bytes are produced piece by piece, so that a client of a gigabyte costs nothing here.
"""

import asyncio
import errno
import itertools
import socket
from collections.abc import Iterable, Iterator

KIB, MIB = 1 << 10, 1 << 20
PIECE_BYTES = 64 * KIB
PUSH_LIMIT_S = 12.0  # a client stops sending after this time, whatever it has left
STANDSTILL_S = 2.0  # a client stops sending when nothing was taken of it for this time
PAUSE_S = 3.0
SMALL_BUFFER_BYTES = 4 * KIB  # receive buffer of a client that reads nothing
TWO_BYTE_CHUNK = b"2\r\nxx\r\n"


class Client:
    """One client's connection. `sent_bytes`: what its kernel took; `is_refused`: the peer ended the connection."""

    def __init__(self) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        self.socket.setblocking(False)
        self.sent_bytes = 0
        self.is_refused = False

    async def push(self, address: tuple[str, int], pieces: Iterable[bytes]) -> None:
        """Connects and sends the pieces. An empty piece is a pause."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(PUSH_LIMIT_S):
                await loop.sock_connect(self.socket, address)
                for piece in pieces:
                    if not piece:
                        await asyncio.sleep(PAUSE_S)
                    await asyncio.wait_for(loop.sock_sendall(self.socket, piece), STANDSTILL_S)
                    self.sent_bytes += len(piece)
                    await asyncio.sleep(0)
        except TimeoutError:
            return
        except OSError as error:
            if error.errno == errno.EMFILE:
                raise
            self.is_refused = True

    def is_closed_by_peer(self) -> bool:
        """Whether the peer has ended the connection; what it had sent before is read and dropped."""
        try:
            while self.socket.recv(PIECE_BYTES):
                pass
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def close(self) -> None:
        """Closes the connection."""
        self.socket.close()


async def push_all(address: tuple[str, int], streams: Iterable[Iterable[bytes]]) -> list[Client]:
    """Lets one client send each stream, all at once. Returns them with their connections open."""
    clients, pushes = [], []
    for stream in streams:
        client = Client()
        clients.append(client)
        pushes.append(client.push(address, stream))
    await asyncio.gather(*pushes)
    return clients


def in_pieces(total_bytes: int, filler: bytes = b"x") -> Iterator[bytes]:
    """Yields `total_bytes` of a repeated filler in pieces of at most `PIECE_BYTES`."""
    piece = filler * (PIECE_BYTES // len(filler))
    for _ in range(total_bytes // len(piece)):
        yield piece
    if rest := total_bytes % len(piece):
        yield (filler * (rest // len(filler) + 1))[:rest]


def head(method: str, path: str, *fields: str) -> bytes:
    """Returns a complete head with the fields that each request of a client needs."""
    lines = [f"{method} {path} HTTP/1.1", "Host: shop.example", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def identity(number: int) -> tuple[str, str]:
    """Returns the header fields that name a request and its deadline."""
    return f"Try-Id: crowd{number}", "Time-Left-Ms: 8000"


def endless_field(total_bytes: int) -> Iterator[bytes]:
    """A head whose first field has a value that does not end."""
    yield b"GET / HTTP/1.1\r\nHost: shop.example\r\nX-Long: "
    yield from in_pieces(total_bytes)


def endless_target(total_bytes: int) -> Iterator[bytes]:
    """A request target that does not end."""
    yield b"GET /"
    yield from in_pieces(total_bytes)


def endless_fields(total_bytes: int) -> Iterator[bytes]:
    """A head with fields of 60 bytes without end."""
    yield b"GET / HTTP/1.1\r\nHost: shop.example\r\n"
    yield from in_pieces(total_bytes, b"X-Short: " + b"y" * 49 + b"\r\n")


def empty_lines(total_bytes: int) -> Iterator[bytes]:
    """Empty lines where a request should begin."""
    yield from in_pieces(total_bytes, b"\r\n")


def endless_trailer(path: str, total_bytes: int) -> Iterator[bytes]:
    """A chunked body that is complete but for a trailer field that does not end."""
    yield head("POST", path, *identity(0), "Transfer-Encoding: chunked") + b"5\r\nhello\r\n0\r\nX-Long: "
    yield from in_pieces(total_bytes)


def endless_chunk_extension(path: str, total_bytes: int) -> Iterator[bytes]:
    """A chunked body whose first chunk has an extension that does not end."""
    yield head("POST", path, *identity(0), "Transfer-Encoding: chunked") + b"5;x="
    yield from in_pieces(total_bytes)


def sized_body(path: str, body_bytes: int, number: int = 0, withheld_bytes: int = 0) -> Iterator[bytes]:
    """A request with a body of a declared length, of which the last bytes are withheld."""
    yield head("POST", path, *identity(number), f"Content-Length: {body_bytes}")
    yield from in_pieces(body_bytes - withheld_bytes)


def unsized_body(path: str, body_bytes: int, number: int = 0, is_ended: bool = False) -> Iterator[bytes]:
    """A request whose body comes in chunks of two bytes. `is_ended`: whether its last chunk is sent."""
    yield head("POST", path, *identity(number), "Transfer-Encoding: chunked")
    yield from in_pieces(body_bytes // 2 * len(TWO_BYTE_CHUNK), TWO_BYTE_CHUNK)
    if is_ended:
        yield b"0\r\n\r\n"


def plain_request(path: str, number: int = 0) -> Iterator[bytes]:
    """A request without a body."""
    yield head("GET", path, *identity(number))


def request_and_more(path: str, total_bytes: int, number: int = 0) -> Iterator[bytes]:
    """A request whose response is not read, and further bytes behind it once the response has come."""
    return itertools.chain(plain_request(path, number), (b"",), in_pieces(total_bytes))
