"""Records of the journal, and their bytes. No I/O.

A record is `RECORD_MARK`, length, CRC-32 of the body, body; the body is a msgpack array whose first element is the
kind. The mark lets a reader find the next record behind a damaged one. Submissions are numbered; the number counts
on over restarts. An intent without an outcome is in doubt: it may have run.
"""

import struct
import zlib
from enum import IntEnum

import msgspec

RECORD_MARK = b"\xabRJ1"
_LENGTH_AND_CHECKSUM = struct.Struct("<II")  # bytes of the body, CRC-32 of the body
_HEADER_BYTES = len(RECORD_MARK) + _LENGTH_AND_CHECKSUM.size
_MAX_BODY_BYTES = 1 << 16  # a longer length is damage


class Ending(IntEnum):
    """How a submission ended."""

    SUCCEEDED = 0  # a complete response came
    NOT_RUN = 1
    DOUBT = 2  # it may have run


class Start(msgspec.Struct, frozen=True, array_like=True, tag=0, forbid_unknown_fields=True, gc=False):
    """A process began to write.

    Attributes:
        at_ns: Unix time in ns.
        node: its name.
    """

    at_ns: int
    node: str


class Intent(msgspec.Struct, frozen=True, array_like=True, tag=1, forbid_unknown_fields=True, gc=False):
    """A submission is about to leave.

    Attributes:
        number: of the submission.
        at_ns: Unix time in ns.
        transaction_id: the id that the client gave, in Latin-1.
        product: the name of its product.
        account: the customer.
        server: the id of the server that it goes to.
        attempt: its number among the submissions of the transaction, from 0.
    """

    number: int
    at_ns: int
    transaction_id: str
    product: str
    account: str
    server: str
    attempt: int


class Outcome(msgspec.Struct, frozen=True, array_like=True, tag=2, forbid_unknown_fields=True, gc=False):
    """A submission ended.

    Attributes:
        number: of its intent.
        at_ns: Unix time in ns.
        ending: how.
    """

    number: int
    at_ns: int
    ending: Ending


Record = Start | Intent | Outcome

_encode_body = msgspec.msgpack.Encoder().encode
_decode_body = msgspec.msgpack.Decoder(Record).decode


class DamagedRecordError(ValueError):
    """No complete record stands at an offset; the text says why."""


def encode_record(record: Record) -> bytes:
    """The bytes of a record."""
    body = _encode_body(record)
    return RECORD_MARK + _LENGTH_AND_CHECKSUM.pack(len(body), zlib.crc32(body)) + body


def decode_record(data: bytes, offset: int) -> tuple[Record, int]:
    """Reads the record at an offset.

    Returns:
        The record, and the offset behind it.

    Raises:
        DamagedRecordError: there is none, or it is torn or damaged.
    """
    body_start = offset + _HEADER_BYTES
    if body_start > len(data):
        raise DamagedRecordError("torn: the file ends within a record's head")
    if not data.startswith(RECORD_MARK, offset):
        raise DamagedRecordError("no record begins here")
    length, checksum = _LENGTH_AND_CHECKSUM.unpack_from(data, offset + len(RECORD_MARK))
    if length > _MAX_BODY_BYTES:
        raise DamagedRecordError("a length that no record has")
    end = body_start + length
    if end > len(data):
        raise DamagedRecordError("torn: the file ends within a record")
    body = data[body_start:end]
    if zlib.crc32(body) != checksum:
        raise DamagedRecordError("its checksum is wrong")
    try:
        return _decode_body(body), end
    except msgspec.DecodeError:
        raise DamagedRecordError(_reason_of_bad_body(body)) from None


def _reason_of_bad_body(body: bytes) -> str:
    """Why a body with the right checksum is no record."""
    try:
        msgspec.msgpack.decode(body, type=list)
    except msgspec.DecodeError:
        return "no record under its checksum"
    return "a record of no kind that there is"
