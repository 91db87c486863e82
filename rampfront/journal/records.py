"""The records of the journal and their encoding. No I/O.

A record is encoded as `RECORD_MARK`, length, CRC-32 of the body, and the body, a msgpack array whose first element is
the record's kind. The mark lets a reader find the next record after a damaged one. Submissions are numbered
consecutively across restarts. An intent without an outcome is in doubt, as the transaction may have run.
"""

import struct
import zlib
from enum import IntEnum

import msgspec

RECORD_MARK = b"\xabRJ1"
_LENGTH_AND_CHECKSUM = struct.Struct("<II")  # length and CRC-32 of the body
_HEADER_BYTES = len(RECORD_MARK) + _LENGTH_AND_CHECKSUM.size
_MAX_BODY_BYTES = 1 << 16  # a greater length is damage


class Ending(IntEnum):
    """How a submission ended."""

    SUCCEEDED = 0  # a complete response was received
    NOT_RUN = 1
    IN_DOUBT = 2  # the transaction may have run


class Start(msgspec.Struct, frozen=True, array_like=True, tag=0, forbid_unknown_fields=True, gc=False):
    """A process began to write the journal.

    Attributes:
        at_ns: Unix time in ns.
        node: the name of the node.
    """

    at_ns: int
    node: str


class Intent(msgspec.Struct, frozen=True, array_like=True, tag=1, forbid_unknown_fields=True, gc=False):
    """A submission is about to be sent.

    Attributes:
        number: the number of the submission.
        at_ns: Unix time in ns.
        transaction_id: the id that the client gave, in Latin-1.
        product: the name of its product.
        account: the customer.
        server: the id of the server that the submission is for.
        attempt: the number of the submission among those of the transaction, from 0.
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
        number: the number of its intent.
        at_ns: Unix time in ns.
        ending: how it ended.
    """

    number: int
    at_ns: int
    ending: Ending


Record = Start | Intent | Outcome

_encode_body = msgspec.msgpack.Encoder().encode
_decode_body = msgspec.msgpack.Decoder(Record).decode


class DamagedRecordError(ValueError):
    """There is no complete record at an offset; the message is the reason."""


def encode_record(record: Record) -> bytes:
    """Encodes a record."""
    body = _encode_body(record)
    return RECORD_MARK + _LENGTH_AND_CHECKSUM.pack(len(body), zlib.crc32(body)) + body


def decode_record(data: bytes, offset: int) -> tuple[Record, int]:
    """Decodes the record at an offset.

    Returns:
        The record, and the offset after it.

    Raises:
        DamagedRecordError: there is no record, or it is torn or damaged.
    """
    body_start = offset + _HEADER_BYTES
    if body_start > len(data):
        raise DamagedRecordError("torn: the file ends within a record header")
    if not data.startswith(RECORD_MARK, offset):
        raise DamagedRecordError("no record begins here")
    length, checksum = _LENGTH_AND_CHECKSUM.unpack_from(data, offset + len(RECORD_MARK))
    if length > _MAX_BODY_BYTES:
        raise DamagedRecordError("record length out of range")
    end = body_start + length
    if end > len(data):
        raise DamagedRecordError("torn: the file ends within a record")
    body = data[body_start:end]
    if zlib.crc32(body) != checksum:
        raise DamagedRecordError("checksum mismatch")
    try:
        return _decode_body(body), end
    except msgspec.DecodeError:
        raise DamagedRecordError(_invalid_body_reason(body)) from None


def _invalid_body_reason(body: bytes) -> str:
    """Returns why a body whose checksum matches is not a record."""
    try:
        msgspec.msgpack.decode(body, type=list)
    except msgspec.DecodeError:
        return "body is not a msgpack array"
    return "unknown record kind or malformed fields"
