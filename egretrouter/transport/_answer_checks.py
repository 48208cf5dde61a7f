"""Check the framing of answers beyond what aiohttp does."""

import functools
from typing import Any

import aiohttp
from aiohttp.client_exceptions import ClientPayloadError
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import set_exception
from aiohttp.streams import StreamReader

MAX_FRAMING_BYTES = 256 * 1024
# A chunk of one byte comes with five bytes of framing.
MAX_FRAMING_RATIO = 16


class _StrictResponseHandler(ResponseHandler):
    """Report lost connections as errors, and close one whose answer has little but framing.

    aiohttp treats an answer that ends when its connection closes as complete, no matter how the
    connection was closed. It bounds the lines of a head, but neither empty lines nor interim
    answers nor the extension of a chunk.
    """

    _received_bytes = 0
    """What has been received since the last request."""
    _former_payload: StreamReader | None = None
    """The content of the answer before the last request."""

    def set_response_params(self, **params: Any) -> None:
        self._received_bytes = 0
        self._former_payload = self._payload
        super().set_response_params(**params)

    def connection_lost(self, exc: BaseException | None) -> None:
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            set_exception(payload, ClientPayloadError(f"connection lost: {exc}"), exc)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        self._received_bytes += len(data)
        super().data_received(data)
        payload = self._payload if self._payload is not self._former_payload else None
        content_bytes = payload.total_bytes if payload is not None else 0
        if self._received_bytes <= MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * content_bytes:
            return
        error = ClientPayloadError(
            f"{self._received_bytes} bytes hold {content_bytes} bytes of content"
        )
        self.set_exception(error)
        if payload is not None:
            set_exception(payload, error)
        if self.transport is not None:
            self.transport.abort()


def check_answers(connector: aiohttp.TCPConnector) -> None:
    """Make answers over a connector's connections complete or an error, with bounded framing."""
    connector._factory = functools.partial(  # type: ignore[assignment]
        _StrictResponseHandler, loop=connector._loop
    )
