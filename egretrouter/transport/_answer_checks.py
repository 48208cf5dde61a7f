"""Check the framing of answers beyond what aiohttp does."""

import functools

import aiohttp
from aiohttp.client_exceptions import ClientPayloadError
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import set_exception

MAX_FRAMING_BYTES = 256 * 1024
# A chunk of one byte comes with five bytes of framing.
MAX_FRAMING_RATIO = 16


class _StrictResponseHandler(ResponseHandler):
    """Report a lost connection as an error for answers that end when the connection closes.

    aiohttp treats such an answer as complete, no matter how the connection was closed.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            set_exception(payload, ClientPayloadError(f"connection lost: {exc}"), exc)
        super().connection_lost(exc)


class _SingleResponseHandler(_StrictResponseHandler):
    """Close the connection of an answer that consists of little but framing.

    aiohttp bounds the lines of a head, but neither interim answers nor the extension of a chunk.
    """

    _received_bytes = 0

    def data_received(self, data: bytes) -> None:
        self._received_bytes += len(data)
        super().data_received(data)
        content_bytes = self._payload.total_bytes if self._payload is not None else 0
        if self._received_bytes <= MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * content_bytes:
            return
        error = ClientPayloadError(
            f"{self._received_bytes} bytes hold {content_bytes} bytes of content"
        )
        self.set_exception(error)
        if self._payload is not None:
            set_exception(self._payload, error)
        if self.transport is not None:
            self.transport.abort()


def check_answers(connector: aiohttp.TCPConnector, *, single: bool) -> None:
    """Make answers over a connector's connections complete or an error.

    With single, each connection carries one answer, whose framing is bounded as well.
    """
    handler = _SingleResponseHandler if single else _StrictResponseHandler
    connector._factory = functools.partial(handler, loop=connector._loop)  # type: ignore[assignment]
