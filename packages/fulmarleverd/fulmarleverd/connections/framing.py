"""Byte-counting filters that find the ends of request heads and of chunked bodies.

They run in front of aiohttp's parser, which then sees only complete heads and large
chunks, so that an incomplete head costs no more than its bytes and a small chunk no
more than a large one.
"""

from __future__ import annotations

import re
from collections.abc import Callable

from fulmarlever.exceptions import FulmarleverError
from fulmarleverd.connections.limits import ConnectionLimits

HEAD_END = b"\r\n\r\n"
LINE_END = b"\r\n"
HEX_DIGITS = frozenset(b"0123456789abcdefABCDEF")
# A longer number is over every limit of a body.
MAX_SIZE_DIGITS = 8
# A size line in its usual form, which is matched within the received bytes.
SIZE_LINE_PATTERN = re.compile(
    rb"([0-9a-fA-F]{1,8})(?:[ \t]{0,8};[^\r\n\0]{0,128})?\r\n"
)
# Any valid size line, after a check of its length.
LONG_SIZE_PATTERN = re.compile(rb"0*([0-9a-fA-F]*)(?:[ \t]*;[^\r\n\0]*)?\r\n")
TRAILER_PATTERN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n\0]*\r\n")
# Chunks beyond the proportion to the payload are asked for in blocks of this size.
SPARE_BLOCK = 256


class LimitExceeded(FulmarleverError):
    """A request is over a limit, or malformed, and has not run.

    ``status`` is the HTTP status to answer with, ``reason`` a label of the metric. If
    ``retry_after_s`` is set, the request may be repeated after this time.
    """

    def __init__(
        self, status: int, reason: str, detail: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(detail)
        self.status = status
        self.reason = reason
        self.detail = detail
        self.retry_after_s = retry_after_s


class HeadCollector:
    """Collects the bytes of a request head until its end, without parsing them."""

    __slots__ = ("_limits", "_buffer", "_empty_bytes", "_searched")

    def __init__(self, limits: ConnectionLimits) -> None:
        self._limits = limits
        self._buffer = bytearray()
        self._empty_bytes = 0
        self._searched = 0

    @property
    def size(self) -> int:
        """Return the number of bytes of the head that are kept."""
        return len(self._buffer)

    def take(self, data: bytes) -> tuple[bytes, bytes]:
        """Return the complete head and the bytes after it; the head is empty if not.

        Raise ``LimitExceeded`` if the head has too many bytes or fields, or too many
        empty lines precede it.
        """
        limit = self._limits.head_bytes
        if not self._buffer:
            data = self._skip_empty_lines(data)
            end = data.find(HEAD_END) + len(HEAD_END)
            # Nearly every head comes in one piece.
            if len(HEAD_END) <= end <= limit and b"\n\n" not in data[:end]:
                return self._check_fields(data[:end]), data[end:]
        kept = len(self._buffer)
        # The bytes over the limit aren't stored.
        self._buffer += data[: limit + 1 - kept]
        end = self._find_end()
        if end < 0:
            if len(self._buffer) > limit:
                raise LimitExceeded(
                    431, "head-bytes", f"the head is over {limit} bytes"
                )
            return b"", b""
        if end > limit:
            raise LimitExceeded(431, "head-bytes", f"the head is over {limit} bytes")
        head = self._check_fields(bytes(self._buffer[:end]))
        self.reset(self._limits)
        return head, data[end - kept :]

    def reset(self, limits: ConnectionLimits) -> None:
        """Begin with a new head, within the given limits."""
        self._limits = limits
        self._empty_bytes = 0
        self._searched = 0
        if self._buffer:
            self._buffer = bytearray()

    def _check_fields(self, head: bytes) -> bytes:
        fields = head.count(b"\n") - 2
        if fields > self._limits.head_fields:
            raise LimitExceeded(431, "head-fields", f"the head has {fields} fields")
        return head

    def _skip_empty_lines(self, data: bytes) -> bytes:
        if not data or data[0] not in LINE_END:
            return data
        rest = data.lstrip(LINE_END)
        self._empty_bytes += len(data) - len(rest)
        if self._empty_bytes > self._limits.empty_line_bytes:
            raise LimitExceeded(400, "empty-lines", "too many empty lines")
        return rest

    def _find_end(self) -> int:
        """Return the index after the head, or a negative number."""
        start = max(0, self._searched - len(HEAD_END) + 1)
        self._searched = len(self._buffer)
        end = self._buffer.find(HEAD_END, start)
        # The parser refuses lines that end without a carriage return.
        bare = self._buffer.find(b"\n\n", start)
        if bare >= 0 and (end < 0 or bare < end):
            return bare + 2
        return end + len(HEAD_END) if end >= 0 else -1


class ChunkScanner:
    """Takes the payload out of a chunked body and finds its end.

    ``size`` is the number of payload bytes so far, ``chunks`` the number of chunks.
    Extensions of chunks and trailers are dropped. ``borrow`` tells whether the body may
    have a number of chunks beyond the proportion to its payload.
    """

    __slots__ = (
        "_limits",
        "_borrow",
        "_allowed",
        "_borrowed",
        "_line",
        "_left",
        "_state",
        "_trailer",
        "size",
        "chunks",
    )

    SIZE_LINE, PAYLOAD, PAYLOAD_END, TRAILER, DONE = range(5)

    def __init__(
        self, limits: ConnectionLimits, borrow: Callable[[int], bool] = lambda n: False
    ) -> None:
        self._limits = limits
        self._borrow = borrow
        self._allowed = limits.free_chunks
        self._borrowed = 0
        # The bytes of an incomplete line, or of the line end after a payload.
        self._line = b""
        self._left = 0
        self._state = self.SIZE_LINE
        self._trailer = 0
        self.size = 0
        self.chunks = 0

    @property
    def is_complete(self) -> bool:
        """Return whether the end of the body has been taken."""
        return self._state == self.DONE

    def take(self, data: bytes) -> tuple[bytes, bytes]:
        """Return the payload in ``data`` and the bytes after the end of the body.

        Raise ``LimitExceeded`` if the body is too large or malformed, or has too many
        chunks.
        """
        pieces: list[bytes] = []
        position, end = 0, len(data)
        while position < end and self._state != self.DONE:
            if self._state == self.SIZE_LINE and not self._line:
                position = self._take_whole_chunks(data, position, pieces)
            if self._state == self.PAYLOAD:
                piece = data[position : position + self._left]
                pieces.append(piece)
                position += len(piece)
                self._left -= len(piece)
                if not self._left:
                    self._state = self.PAYLOAD_END
                continue
            stop = data.find(b"\n", position)
            if stop < 0:
                self._keep_line(data[position:])
                return b"".join(pieces), b""
            line = data[position : stop + 1]
            if self._line:
                line, self._line = self._line + line, b""
            position = stop + 1
            self._take_line(line)
        return b"".join(pieces), data[position:]

    def _take_whole_chunks(
        self, data: bytes, position: int, pieces: list[bytes]
    ) -> int:
        """Take chunks that lie whole in ``data``; return the position after them.

        The other methods need several times the processor time for a chunk.
        """
        longest = self._limits.chunk_line_bytes
        while line := SIZE_LINE_PATTERN.match(data, position):
            begin = line.end()
            size = int(line[1], 16)
            if not size or begin - position > longest:
                break
            if data[begin + size : begin + size + 2] != LINE_END:
                break
            self._count_chunk(size)
            pieces.append(data[begin : begin + size])
            position = begin + size + 2
        return position

    def _count_chunk(self, size: int) -> None:
        limits = self._limits
        if self.size + size > limits.body_bytes:
            raise LimitExceeded(
                413, "body-bytes", f"the body is over {limits.body_bytes} bytes"
            )
        self.size += size
        self.chunks += 1
        if self.chunks <= self._allowed:
            return
        while True:
            share = self.size // limits.bytes_per_chunk
            self._allowed = limits.free_chunks + share + self._borrowed
            if self.chunks <= self._allowed:
                return
            if not self._borrow(SPARE_BLOCK):
                raise LimitExceeded(400, "chunks", "the chunks are too small")
            self._borrowed += SPARE_BLOCK

    def _keep_line(self, part: bytes) -> None:
        self._line += part
        self._check_line(self._line)

    def _check_line(self, line: bytes) -> None:
        if self._state == self.PAYLOAD_END:
            if not LINE_END.startswith(line):
                raise _malformed("a chunk is longer than its size")
        elif self._state == self.TRAILER:
            if self._trailer + len(line) > self._limits.trailer_bytes:
                raise LimitExceeded(431, "trailers", "the trailers are too long")
        elif len(line) > self._limits.chunk_line_bytes:
            raise LimitExceeded(400, "chunk-line", "a chunk size line is too long")

    def _take_line(self, line: bytes) -> None:
        self._check_line(line)
        if not line.endswith(LINE_END):
            raise _malformed("a line of the chunked body has no carriage return")
        if self._state == self.PAYLOAD_END:
            self._state = self.SIZE_LINE
        elif self._state == self.TRAILER:
            self._trailer += len(line)
            if line == LINE_END:
                self._state = self.DONE
            elif not TRAILER_PATTERN.fullmatch(line):
                raise _malformed("a trailer is malformed")
        else:
            self._begin_chunk(line)

    def _begin_chunk(self, line: bytes) -> None:
        found = LONG_SIZE_PATTERN.fullmatch(line)
        if found is None or line[0] not in HEX_DIGITS:
            raise _malformed("a chunk has no size")
        digits = found[1]
        if not digits:
            self._state = self.TRAILER
            return
        if len(digits) > MAX_SIZE_DIGITS:
            raise LimitExceeded(413, "body-bytes", "the size of a chunk is too large")
        self._left = int(digits, 16)
        self._count_chunk(self._left)
        self._state = self.PAYLOAD


def _malformed(detail: str) -> LimitExceeded:
    return LimitExceeded(400, "malformed", detail)
