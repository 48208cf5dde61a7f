"""Provide an endpoint that answers with raw bytes."""

import asyncio
import re
import socket
import struct
from collections.abc import Callable

import msgspec

# The first half of an answer is read on its own, so that parsers stop in the middle as well.
HALF_SECONDS = 0.002
_CALL_ID = re.compile(rb"(?im)^X-(?:Attempt|Call)-Id: *([^\r\n]*)")
_LENGTH = re.compile(rb"(?im)^Content-Length: *(\d+)")


class RawAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the bytes of an answer and the end of its connection."""

    data: bytes
    reset: bool = False


class RawRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Carry what a test needs to know of a request."""

    head: bytes
    call_id: str


class RawEndpoint:
    """Answer each request with the bytes that a function of the test selects, then close."""

    def __init__(self, respond: Callable[[RawRequest], RawAnswer]) -> None:
        self.requests: list[RawRequest] = []
        self._respond = respond
        self._server: asyncio.Server

    async def start(self, port: int = 0) -> str:
        self._server = await asyncio.start_server(self._handle, "127.0.0.1", port)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            length = _LENGTH.search(head)
            if length is not None:
                await reader.readexactly(int(length[1]))
            call_id = _CALL_ID.search(head)
            request = RawRequest(head=head, call_id=call_id[1].decode() if call_id else "")
            self.requests.append(request)
            answer = self._respond(request)
            half = len(answer.data) // 2
            writer.write(answer.data[:half])
            await asyncio.sleep(HALF_SECONDS)
            writer.write(answer.data[half:])
            if answer.reset:
                # With a linger time of 0, closing the socket resets the connection.
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def stop(self) -> None:
        self._server.close()
