"""Splits the bytes of a connection into whole HTTP/1.1 requests."""

import dataclasses
import enum
import re
from typing import Protocol

from greengagering.protocol import pages
from greengagering.transport import _http
from greengagering.transport._refusals import Refusal

HEAD_END = b'\r\n\r\n'
LINE_END = b'\r\n'
MAX_CHUNK_LINE_BYTES = 1024
"""Longest line with a chunk's size, which has room for extensions."""

SMALL_BODY_BYTES = 16 * 1024
"""Size up to which a body without a stated length counts as small."""

_FRAMING_FIELD = re.compile(
    rb'\r\n(content-length|transfer-encoding|expect)[ \t]*:[ \t]*([^\r\n]*)',
    re.IGNORECASE,
)
_EXPECT_LINE = re.compile(rb'\r\nexpect[ \t]*:[^\r\n]*', re.IGNORECASE)
_CHUNK_SIZE = re.compile(rb'[0-9A-Fa-f]{1,16}')
_REQUEST_LINE = re.compile(rb'([A-Z]+) (\S+) HTTP/1\.[01]')


class RequestLimits(Protocol):
    """Limits on the requests of a server; they may change at run time."""

    @property
    def max_header_bytes(self) -> int:
        """Most bytes of a request line, and of all header fields together."""
        ...

    def find_max_body_bytes(self, path: str) -> int:
        """Return the size of the largest body of a request to a path."""
        ...


class FramingError(Exception):
    """A request is malformed or exceeds a limit."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


class Progress(enum.Enum):
    """What a call of RequestFramer.advance came to.

    Attributes:
        INCOMPLETE: more bytes are needed.
        BODY_BEGINS: the head is complete, and a body follows; its size is
            known now, and advance must be called again.
        UNFINISHED: the limit of chunks was reached; bytes are left to parse.
        COMPLETE: a whole request is ready to be taken.
    """

    INCOMPLETE = enum.auto()
    BODY_BEGINS = enum.auto()
    UNFINISHED = enum.auto()
    COMPLETE = enum.auto()


@dataclasses.dataclass(slots=True)
class _Head:
    """A request's head.

    Attributes:
        content: the bytes of the head, with the empty line.
        body_bytes: stated size of the body, or None if it is in chunks.
        max_body_bytes: size of the largest body that is allowed.
        expects_continue: whether the client waits for a 100 response.
    """

    content: bytes
    body_bytes: int | None
    max_body_bytes: int
    expects_continue: bool


class RequestFramer:
    """Buffers a connection's bytes until they are a whole request.

    A body in chunks is passed on as a single chunk, without extensions and
    trailers, so its parser's work doesn't depend on the client's chunks.
    """

    def __init__(self, limits: RequestLimits) -> None:
        self._limits = limits
        self._buffer = bytearray()
        self._head: _Head | None = None
        self._body = bytearray()
        self._searched_bytes = 0
        self._skipped_bytes = 0
        self._extension_bytes = 0
        self._is_last_chunk_read = False

    @property
    def held_bytes(self) -> int:
        """Bytes of a request that isn't complete."""
        head_bytes = len(self._head.content) if self._head else 0
        return len(self._buffer) + len(self._body) + head_bytes

    @property
    def has_begun(self) -> bool:
        """Whether bytes of a request have come, empty lines included."""
        return bool(
            self._buffer or self._head is not None or self._skipped_bytes
        )

    @property
    def has_head(self) -> bool:
        """Whether the head is complete, and the rest of a body isn't."""
        return self._head is not None

    @property
    def expects_continue(self) -> bool:
        """Whether the client sends the body only after a 100 response."""
        return self._head is not None and self._head.expects_continue

    @property
    def wanted_body_bytes(self) -> int:
        """Bytes that the present body may need, as far as is known."""
        if self._head is None:
            return 0
        if self._head.body_bytes is not None:
            return self._head.body_bytes
        if len(self._body) + len(self._buffer) <= SMALL_BODY_BYTES:
            return min(SMALL_BODY_BYTES, self._head.max_body_bytes)
        return max(
            self._head.max_body_bytes, len(self._body) + len(self._buffer)
        )

    def feed(self, data: bytes) -> None:
        """Add bytes that have come."""
        self._buffer += data

    def advance(self, max_chunks: int) -> Progress:
        """Parse what has come.

        Args:
            max_chunks: number of chunks parsed at most, as small chunks take
                long.

        Raises:
            FramingError: the request must be refused.
        """
        if self._head is None:
            if not self._read_head():
                return Progress.INCOMPLETE
            return Progress.BODY_BEGINS
        if self._head.body_bytes is not None:
            is_whole = len(self._buffer) >= self._head.body_bytes
            return Progress.COMPLETE if is_whole else Progress.INCOMPLETE
        if not self._is_last_chunk_read:
            progress = self._read_chunks(max_chunks)
            if progress is not Progress.COMPLETE:
                return progress
        return self._read_trailers()

    def take_request(self) -> bytes:
        """Return the whole request, and begin with the next one."""
        assert self._head is not None
        head = self._head
        if head.body_bytes is not None:
            request = head.content + self._buffer[: head.body_bytes]
            del self._buffer[: head.body_bytes]
        else:
            size = b'%x\r\n' % len(self._body) if self._body else b''
            end = b'\r\n0\r\n\r\n' if self._body else b'0\r\n\r\n'
            request = b''.join((head.content, size, self._body, end))
        self._head = None
        self._body = bytearray()
        self._searched_bytes = 0
        self._skipped_bytes = 0
        self._extension_bytes = 0
        self._is_last_chunk_read = False
        return request

    def clear(self) -> None:
        """Drop what has come."""
        self._buffer = bytearray()
        self._body = bytearray()
        self._head = None
        self._skipped_bytes = 0

    def _read_head(self) -> bool:
        self._skip_empty_lines()
        buffer = self._buffer
        if not buffer:
            return False
        if not 65 <= buffer[0] <= 90:
            raise _malformed('the request begins with no method')
        line_bytes = buffer.find(LINE_END)
        end = buffer.find(HEAD_END, max(self._searched_bytes - 3, 0))
        self._searched_bytes = len(buffer)
        self._check_head_size(line_bytes, end)
        if end < 0:
            return False
        content = bytes(buffer[: end + len(HEAD_END)])
        del buffer[: end + len(HEAD_END)]
        self._head = self._parse_head(content, line_bytes)
        return True

    def _skip_empty_lines(self) -> None:
        # A client may send an empty line after a body (RFC 9112, 2.2).
        if self._buffer[:1] not in (b'\r', b'\n'):
            return
        stripped = self._buffer.lstrip(LINE_END)
        self._skipped_bytes += len(self._buffer) - len(stripped)
        self._buffer = stripped
        self._searched_bytes = 0
        if self._skipped_bytes > self._limits.max_header_bytes:
            raise _malformed('only empty lines come, and no request')

    def _check_head_size(self, line_bytes: int, end: int) -> None:
        limit = self._limits.max_header_bytes
        shown = line_bytes if line_bytes >= 0 else len(self._buffer)
        if shown > limit:
            raise FramingError(
                Refusal(
                    414,
                    pages.ErrorKind.TOO_LARGE,
                    f'the request line has at least {shown} bytes, and '
                    f'{limit} are allowed',
                )
            )
        if line_bytes < 0:
            return
        head_end = end if end >= 0 else len(self._buffer) - len(HEAD_END)
        fields_bytes = head_end - line_bytes
        if fields_bytes > limit:
            raise FramingError(
                Refusal(
                    431,
                    pages.ErrorKind.TOO_LARGE,
                    f'the header fields have at least {fields_bytes} bytes, '
                    f'and {limit} are allowed',
                )
            )

    def _parse_head(self, content: bytes, line_bytes: int) -> _Head:
        line = _REQUEST_LINE.fullmatch(content, 0, line_bytes)
        if line is None:
            raise _malformed('the request line is not one of HTTP/1.1')
        if line[1] == b'CONNECT':
            raise FramingError(
                Refusal(
                    405,
                    pages.ErrorKind.INVALID_INPUT,
                    'method CONNECT is not served',
                )
            )
        path = _find_path(line[2].decode('latin-1'))
        limit = self._limits.find_max_body_bytes(path)
        found: dict[bytes, bytes] = {}
        for field in _FRAMING_FIELD.finditer(content, line_bytes):
            name = field[1].lower()
            if name in found:
                raise _malformed(f'field {name.decode()} is there twice')
            found[name] = field[2].strip()
        length = _read_length(found, limit)
        expects_continue = found.get(b'expect', b'').lower() == b'100-continue'
        if expects_continue:
            # The 100 response is sent when the head has been read, so the
            # parser of the whole request must not send another one.
            content = _EXPECT_LINE.sub(b'', content)
        return _Head(content, length, limit, expects_continue)

    def _read_chunks(self, max_chunks: int) -> Progress:
        """Move the data of whole chunks from the buffer to the body."""
        assert self._head is not None
        buffer = self._buffer
        position = 0
        progress = Progress.UNFINISHED
        for _ in range(max_chunks):
            line_end = buffer.find(
                LINE_END, position, position + MAX_CHUNK_LINE_BYTES
            )
            if line_end < 0:
                if len(buffer) - position >= MAX_CHUNK_LINE_BYTES:
                    raise _malformed("a chunk's size has no end")
                progress = Progress.INCOMPLETE
                break
            size = self._read_chunk_size(bytes(buffer[position:line_end]))
            if not size:
                position = line_end + len(LINE_END)
                self._is_last_chunk_read = True
                progress = Progress.COMPLETE
                break
            body_bytes = len(self._body) + size
            if body_bytes > self._head.max_body_bytes:
                raise _too_large(body_bytes, self._head.max_body_bytes)
            data_start = line_end + len(LINE_END)
            data_end = data_start + size
            if len(buffer) < data_end + len(LINE_END):
                progress = Progress.INCOMPLETE
                break
            if buffer[data_end : data_end + len(LINE_END)] != LINE_END:
                raise _malformed('a chunk is longer than its stated size')
            self._body += buffer[data_start:data_end]
            position = data_end + len(LINE_END)
        del buffer[:position]
        self._searched_bytes = 0
        return progress

    def _read_chunk_size(self, line: bytes) -> int:
        text, has_extension, extension = line.partition(b';')
        if has_extension:
            self._extension_bytes += len(extension)
            if self._extension_bytes > self._limits.max_header_bytes:
                raise _malformed('the extensions of chunks are too long')
        if not _CHUNK_SIZE.fullmatch(text.strip()):
            raise _malformed("a chunk's size is not a number")
        return int(text, 16)

    def _read_trailers(self) -> Progress:
        buffer = self._buffer
        if buffer[: len(LINE_END)] == LINE_END:
            del buffer[: len(LINE_END)]
            return Progress.COMPLETE
        end = buffer.find(HEAD_END, max(self._searched_bytes - 3, 0))
        self._searched_bytes = len(buffer)
        trailer_bytes = end if end >= 0 else len(buffer) - len(HEAD_END)
        limit = self._limits.max_header_bytes
        if trailer_bytes > limit:
            raise FramingError(
                Refusal(
                    431,
                    pages.ErrorKind.TOO_LARGE,
                    f'the trailers have at least {trailer_bytes} bytes, and '
                    f'{limit} are allowed',
                )
            )
        if end < 0:
            return Progress.INCOMPLETE
        del buffer[: end + len(HEAD_END)]
        return Progress.COMPLETE


def _find_path(target: str) -> str:
    """Return the path of a request's target, which may be a whole URL."""
    if target.startswith('/'):
        return target
    _, _, rest = target.partition('://')
    return f'/{rest.partition("/")[2]}'


def _read_length(fields: dict[bytes, bytes], limit: int) -> int | None:
    """Return the stated size of a body, or None if it is in chunks."""
    coding = fields.get(b'transfer-encoding')
    text = fields.get(b'content-length')
    if coding is not None:
        if text is not None:
            raise _malformed('both a length and a transfer coding are there')
        if coding.lower() != b'chunked':
            raise FramingError(
                Refusal(
                    501,
                    pages.ErrorKind.INVALID_INPUT,
                    'no transfer coding but chunked is served',
                )
            )
        return None
    if text is None:
        return 0
    if not text.isdigit():
        raise _malformed('field content-length is not a number')
    # A number of many digits takes long to convert, and none is served.
    digits = text.lstrip(b'0')[:20] or b'0'
    length = int(digits)
    if length > limit:
        raise _too_large(length, limit)
    return length


def _malformed(message: str) -> FramingError:
    return FramingError(Refusal(400, pages.ErrorKind.INVALID_INPUT, message))


def _too_large(size_bytes: int, max_bytes: int) -> FramingError:
    page = _http.too_large_page(size_bytes, max_bytes)
    return FramingError(
        Refusal(413, pages.ErrorKind.TOO_LARGE, page.message, page.fields)
    )
