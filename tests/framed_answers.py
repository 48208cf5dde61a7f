"""Read raw answers as strictly as a caller may."""

import re

import msgspec

_LENGTH = re.compile(rb"(?im)^Content-Length: *(\d+)")


class FramedAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Carry an answer as a caller reads it from a connection that has been closed."""

    status: int
    head: bytes
    body: bytes
    is_whole: bool
    """Whether the answer's own framing says that it is complete."""
    excess: bytes = b""


def read_framed(data: bytes) -> FramedAnswer | None:
    """Read the answer on a closed connection; None if its head is incomplete."""
    head, separator, rest = data.partition(b"\r\n\r\n")
    if not separator:
        return None
    status = int(head.split(b" ", 2)[1])
    if status in (204, 304) or status < 200:
        return FramedAnswer(status=status, head=head, body=b"", is_whole=True, excess=rest)
    if b"transfer-encoding: chunked" in head.lower():
        return _read_chunked(status, head, rest)
    length = _LENGTH.search(head)
    if length is None:
        return FramedAnswer(status=status, head=head, body=rest, is_whole=True)
    size = int(length[1])
    return FramedAnswer(
        status=status,
        head=head,
        body=rest[:size],
        is_whole=len(rest) >= size,
        excess=rest[size:],
    )


def _read_chunked(status: int, head: bytes, rest: bytes) -> FramedAnswer:
    body = b""
    while True:
        line, separator, after = rest.partition(b"\r\n")
        size = int(line, 16) if separator else -1
        if size < 0 or len(after) < size + 2:
            return FramedAnswer(status=status, head=head, body=body, is_whole=False)
        body += after[:size]
        rest = after[size + 2 :]
        if size == 0:
            return FramedAnswer(status=status, head=head, body=body, is_whole=True, excess=rest)
