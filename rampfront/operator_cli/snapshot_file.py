"""The file format of snapshots: a configuration, byte for byte as it was sent, and the zones evacuated at the time.

The file consists of a line `rampfront-snapshot 1 SHA256`, whose checksum covers everything after it, a line of JSON
(`HEADER_FIELDS`) and the configuration's body. It contains API keys, so only its owner may read it.
"""

import hashlib
import json
import os
from dataclasses import dataclass
from pathlib import Path

from result import Err, Ok, Result

from ..settings import configuration_reader
from .control_answers import Json
from .errors import UsageError

MAGIC = b"rampfront-snapshot"
FORMAT_VERSION = 1
MAX_FILE_BYTES = 64 << 20
MAX_QUOTED_CHARS = 20
FIRST_LINE_PARTS = 3  # magic, format version, checksum
HEADER_FIELDS = {"Revision": str, "Step": int, "Emptied": list, "Zones": dict, "Bytes": int, "TakenAt": str}
OWNER_ONLY = 0o600


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A validated snapshot."""

    header: Json
    body: bytes  # of the configuration
    document: Json  # the tables in the body
    revision: int  # version of the configuration


def pack(body: bytes, header: Json) -> bytes:
    """Returns the content of a snapshot's file. `header`: its fields except `Bytes`, which is added."""
    header_line = json.dumps({**header, "Bytes": len(body)}, separators=(",", ":")).encode()
    content = header_line + b"\n" + body
    return b"%s %d %s\n" % (MAGIC, FORMAT_VERSION, _checksum(content)) + content


def _checksum(content: bytes) -> bytes:
    return hashlib.sha256(content).hexdigest().encode()


def unpack(raw: bytes) -> Result[Snapshot, str]:
    """Returns the snapshot in the content of a file, or a message with the fault and the remedy."""
    first_line, content = _split_line(raw)
    fault = _check_first_line(first_line.split(b" "), content)
    if fault:
        return Err(fault)
    header_line, body = _split_line(content)
    try:
        header = json.loads(header_line)
    except (ValueError, RecursionError):
        return Err("its second line is not JSON; use another copy")
    fault = _check_header(header, len(body))
    if fault:
        return Err(fault)
    outcome = configuration_reader.read(body)
    if not isinstance(outcome, Ok):
        return Err(f"its configuration: {outcome.err_value}; docs/system/reference.md describes the fields")
    revision = outcome.ok_value.revision
    if header["Revision"] != f"r{revision}":
        return Err(f"Revision: {header['Revision']}, and its configuration is r{revision}")
    return Ok(Snapshot(header, body, json.loads(body), revision))


def _split_line(content: bytes) -> tuple[bytes, bytes]:
    """Returns the first line, without its newline, and the rest."""
    end = content.find(b"\n")
    return (content[:end], content[end + 1 :]) if end >= 0 else (content, b"")


def _check_first_line(parts: list[bytes], content: bytes) -> str:
    """Returns the fault in the magic, the format version or the checksum; an empty text if there is none."""
    if len(parts) != FIRST_LINE_PARTS or parts[0] != MAGIC:
        return "it is not a snapshot; `snapshot save FILE` writes one, and `apply FILE` applies a configuration alone"
    version = parts[1][:MAX_QUOTED_CHARS].decode("latin-1")
    if parts[1] != b"%d" % FORMAT_VERSION:
        return f"its format is version {version!r} and this program reads {FORMAT_VERSION}: use the one that wrote it"
    if parts[2] != _checksum(content):
        return f"its checksum does not match its {len(content)} bytes: it is truncated or was changed; use another copy"
    return ""


def _check_header(header: object, body_bytes: int) -> str:
    """Returns the fault in the header; an empty text if there is none."""
    for field, kind in HEADER_FIELDS.items():
        if not isinstance(header, dict) or type(header.get(field)) is not kind:
            return f"{field}: missing, or of another type; use another copy"
    assert isinstance(header, dict)
    if header["Bytes"] != body_bytes:
        return f"Bytes: {header['Bytes']}, but the body has {body_bytes}; use another copy"
    for zone in header["Emptied"]:
        if zone not in header["Zones"]:
            return f"Emptied: no such zone: {zone!r}"
    return ""


def load(path: Path) -> Snapshot:
    """Returns the snapshot in a file; ends the command if it is invalid."""
    if path.stat().st_size > MAX_FILE_BYTES:
        raise UsageError(f"{path}: larger than {MAX_FILE_BYTES >> 20} MiB, the limit for snapshots")
    outcome = unpack(path.read_bytes())
    if not isinstance(outcome, Ok):
        raise UsageError(f"{path}: {outcome.err_value}")
    return outcome.ok_value


def write(path: Path, raw: bytes) -> None:
    """Writes the file atomically, readable by its owner alone; an existing file stays until the new one is on disk.
    Ends the command if the file cannot be written."""
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        with open(os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_EXCL, OWNER_ONLY), "wb") as file:
            file.write(raw)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
    except OSError as error:
        temporary.unlink(missing_ok=True)
        raise UsageError(f"{path}: {error.strerror}; name another file") from None
