"""Compress contents that many peers request within a short time."""

import zlib
from collections import OrderedDict
from collections.abc import Callable, Hashable

from egretrouter.core.errors import MalformedAnswerError
from egretrouter.transport._rpc import MESSAGE_LIMIT_BYTES

# Higher levels save little: names of hosts and paths do not repeat, the rest does at any level.
DEFLATE_LEVEL = 1


class DeflatedContents:
    """Keep the compressed form of the contents that were requested last."""

    def __init__(self, *, max_contents: int) -> None:
        self._max_contents = max_contents
        self._contents: OrderedDict[Hashable, bytes] = OrderedDict()

    def get(self, key: Hashable, build: Callable[[], bytes]) -> bytes:
        """Return the compressed content of a key, which must always stand for the same content."""
        content = self._contents.pop(key, None)
        if content is None:
            content = deflate(build())
        self._contents[key] = content
        if len(self._contents) > self._max_contents:
            self._contents.popitem(last=False)
        return content


def deflate(content: bytes) -> bytes:
    """Compress a content."""
    return zlib.compress(content, DEFLATE_LEVEL)


def inflate(content: bytes) -> bytes:
    """Decompress a content that a peer sent.

    Raises MalformedAnswerError if it is incomplete or larger than a message may be.
    """
    decompressor = zlib.decompressobj()
    try:
        inflated = decompressor.decompress(content, MESSAGE_LIMIT_BYTES)
    except zlib.error as error:
        raise MalformedAnswerError(f"compressed content of a peer: {error}") from error
    if not decompressor.eof:
        raise MalformedAnswerError(
            f"compressed content of a peer is incomplete or over {MESSAGE_LIMIT_BYTES} bytes"
        )
    return inflated
