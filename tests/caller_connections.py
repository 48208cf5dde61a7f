"""Send requests over connections whose end shows what became of the last request."""

import asyncio
import socket
from collections.abc import Sequence
from enum import Enum

import msgspec

SETTLE_SECONDS = 0.05
"""How long after the end of a connection a reset by the other side may still arrive."""
READ_BYTES = 65_536


class RequestEnd(Enum):
    """List how a request can end that was sent on a connection."""

    ANSWERED = "answered"
    NOT_SENT = "not sent"
    """The connection was already closed, or closed before the last byte of the request."""
    UNREAD = "unread"
    """The other side closed without reading the request; its kernel says so with a reset."""
    CUT = "cut"
    """The connection ended inside the answer."""
    DROPPED = "dropped"
    """The other side read the request and closed without a byte of an answer."""


class Received(msgspec.Struct, frozen=True, kw_only=True):
    """Represent what a caller received for one request."""

    end: RequestEnd
    status: int = 0
    headers: dict[str, str] = {}
    early: bool = False
    """Whether the answer came before the whole request was sent."""

    @property
    def reusable(self) -> bool:
        """Return whether the connection can be used for another request."""
        closes = self.early or self.headers.get("connection") == "close"
        return self.end is RequestEnd.ANSWERED and not closes


class _ConnectionEndedError(Exception):
    """The other side has closed the connection."""

    def __init__(self, *, reset: bool) -> None:
        super().__init__()
        self.reset = reset


class CallerConnection:
    """Send one request after the other on a socket of its own, and never close it first.

    A closed socket answers data with a reset, and one that is closed over data that its process
    never read sends a reset as well. Only a connection that ends without a reset after a request
    was sent can have been closed by a process that had read the request.
    """

    def __init__(self) -> None:
        self._socket = socket.socket()
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._loop = asyncio.get_running_loop()
        self._data = b""

    async def open(self, address: str) -> None:
        """Connect to HOST:PORT."""
        host, _, port = address.rpartition(":")
        await self._loop.sock_connect(self._socket, (host, int(port)))

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    async def send(self, parts: Sequence[bytes], *, pause_seconds: float = 0.0) -> Received:
        """Send the parts of a request with pauses between them, and read the answer."""
        for number, part in enumerate(parts):
            if number > 0:
                await asyncio.sleep(pause_seconds)
            if self._has_input():
                # A refusal can come before the end of the request; anything else is a close.
                break
            try:
                await self._loop.sock_sendall(self._socket, part)
            except OSError:
                break
        else:
            return await self._receive()
        received = await self._receive()
        if received.end in (RequestEnd.DROPPED, RequestEnd.UNREAD):
            return Received(end=RequestEnd.NOT_SENT)
        return msgspec.structs.replace(received, early=True)

    def _has_input(self) -> bool:
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    async def _receive(self) -> Received:
        try:
            while True:
                head = await self._read_until(b"\r\n\r\n")
                status, headers = _parse_head(head)
                if status != 100:
                    break
            await self._read_content(headers)
        except _ConnectionEndedError as error:
            if self._data:
                return Received(end=RequestEnd.CUT)
            return Received(end=RequestEnd.UNREAD if error.reset else RequestEnd.DROPPED)
        except _ContentCutError:
            return Received(end=RequestEnd.CUT, status=status, headers=headers)
        return Received(end=RequestEnd.ANSWERED, status=status, headers=headers)

    async def _read_content(self, headers: dict[str, str]) -> None:
        try:
            if headers.get("transfer-encoding") == "chunked":
                while int(size := await self._read_until(b"\r\n"), 16):
                    await self._read_exactly(int(size, 16) + 2)
                await self._read_until(b"\r\n")
            else:
                await self._read_exactly(int(headers["content-length"]))
        except _ConnectionEndedError as error:
            raise _ContentCutError from error

    async def _read_until(self, mark: bytes) -> bytes:
        while mark not in self._data:
            await self._read_more()
        found, _, self._data = self._data.partition(mark)
        return found

    async def _read_exactly(self, count: int) -> None:
        while len(self._data) < count:
            await self._read_more()
        self._data = self._data[count:]

    async def _read_more(self) -> None:
        try:
            data = await self._loop.sock_recv(self._socket, READ_BYTES)
        except OSError as error:
            raise _ConnectionEndedError(reset=True) from error
        if not data:
            await asyncio.sleep(SETTLE_SECONDS)
            error_number = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            raise _ConnectionEndedError(reset=error_number != 0)
        self._data += data


class _ContentCutError(Exception):
    """The connection ended inside the content of an answer."""


def _parse_head(head: bytes) -> tuple[int, dict[str, str]]:
    first, *lines = head.decode().split("\r\n")
    fields = [line.partition(":") for line in lines]
    return int(first.split(" ")[1]), {
        name.strip().lower(): value.strip() for name, _, value in fields
    }
