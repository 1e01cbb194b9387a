"""Checksummed frames of a segment file."""

import dataclasses
import struct
import zlib

FRAME_MAGIC = 0x67674C31
HEADER = struct.Struct('<IIII')
"""Magic, body length in bytes, CRC-32 of the body, CRC-32 of the header."""

HEADER_FIELDS = struct.Struct('<III')
MAX_BODY_BYTES = 64 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class FrameScan:
    """The intact frames of a segment.

    Attributes:
        bodies: bodies of the intact prefix in order.
        intact_bytes: length of the intact prefix.
        later_bodies: bodies of the intact frames behind the first damage.
    """

    bodies: list[bytes]
    intact_bytes: int
    later_bodies: list[bytes]


def pack_frame(body: bytes) -> bytes:
    """Return a body with its checksummed header."""
    fields = HEADER_FIELDS.pack(FRAME_MAGIC, len(body), zlib.crc32(body))
    return fields + struct.pack('<I', zlib.crc32(fields)) + body


def scan_frames(data: bytes) -> FrameScan:
    """Read the frames of a segment or snapshot."""
    bodies: list[bytes] = []
    offset = 0
    while offset < len(data):
        body = _read_frame(data, offset)
        if body is None:
            break
        bodies.append(body)
        offset += HEADER.size + len(body)
    return FrameScan(
        bodies=bodies,
        intact_bytes=offset,
        later_bodies=_find_frames(data, offset + 1),
    )


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


def _find_frames(data: bytes, start: int) -> list[bytes]:
    """Return the bodies of intact frames, wherever they begin."""
    magic = struct.pack('<I', FRAME_MAGIC)
    bodies: list[bytes] = []
    position = data.find(magic, start)
    while position >= 0:
        body = _read_frame(data, position)
        if body is None:
            position = data.find(magic, position + 1)
            continue
        bodies.append(body)
        position = data.find(magic, position + HEADER.size + len(body))
    return bodies
