"""Checksummed frames of a segment file."""

import dataclasses
import struct
import zlib

from greengagering.state import errors

FRAME_MAGIC = 0x67674C31
HEADER = struct.Struct('<IIII')
"""Magic, body length in bytes, CRC-32 of the body, CRC-32 of the header."""

HEADER_FIELDS = struct.Struct('<III')
MAX_BODY_BYTES = 64 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class FrameScan:
    """The intact frames of a segment.

    Attributes:
        bodies: bodies in order.
        intact_bytes: length of the intact prefix.
    """

    bodies: list[bytes]
    intact_bytes: int


def pack_frame(body: bytes) -> bytes:
    """Return a body with its checksummed header."""
    fields = HEADER_FIELDS.pack(FRAME_MAGIC, len(body), zlib.crc32(body))
    return fields + struct.pack('<I', zlib.crc32(fields)) + body


def scan_frames(path: str, data: bytes, *, is_newest: bool) -> FrameScan:
    """Read the frames of a segment or snapshot.

    A torn tail is left by a write that was never synced and therefore never
    acknowledged; the scan ends before it. Any other damage is in synced data,
    and is an error: damage before intact frames, and all damage in a file that
    may have no torn tail.

    Args:
        path: file name for error messages.
        data: content of the file.
        is_newest: whether this is a segment and no later one exists; only
            the newest segment may have a torn tail.

    Raises:
        DamagedSegmentError: a damaged frame is not part of a torn tail.
    """
    bodies: list[bytes] = []
    offset = 0
    while offset < len(data):
        body = _read_frame(data, offset)
        if body is None:
            if not is_newest or _has_intact_frame(data, offset + 1):
                raise errors.DamagedSegmentError(path, offset)
            break
        bodies.append(body)
        offset += HEADER.size + len(body)
    return FrameScan(bodies=bodies, intact_bytes=offset)


def _read_frame(data: bytes, offset: int) -> bytes | None:
    if offset + HEADER.size > len(data):
        return None
    magic, length, body_crc, header_crc = HEADER.unpack_from(data, offset)
    fields = data[offset : offset + HEADER_FIELDS.size]
    if magic != FRAME_MAGIC or zlib.crc32(fields) != header_crc:
        return None
    start = offset + HEADER.size
    body = data[start : start + length]
    if len(body) != length or zlib.crc32(body) != body_crc:
        return None
    return body


def _has_intact_frame(data: bytes, start: int) -> bool:
    magic = struct.pack('<I', FRAME_MAGIC)
    position = data.find(magic, start)
    while position >= 0:
        if _read_frame(data, position) is not None:
            return True
        position = data.find(magic, position + 1)
    return False
