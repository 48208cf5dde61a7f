"""Run an event loop in virtual time, with links between instances that have limited bandwidth."""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

_T = TypeVar("_T")

PIECE_BYTES = 16 * 1024
"""Flows that share a link take turns in pieces of this size."""
WINDOW_PIECES = 4
DATAGRAM_OVERHEAD_BYTES = 28


class _VirtualSelector(selectors.SelectSelector):
    """Advance the clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_seconds = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("every task waits for something that never happens")
        self.now_seconds += max(timeout, 0.0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run tasks in virtual time; datagrams pass over the network instead of sockets."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)
        self.network = Network(self)

    def time(self) -> float:
        return self._virtual_selector.now_seconds

    async def create_datagram_endpoint(
        self, protocol_factory: Callable[[], Any], local_addr: Any = None, **kwargs: Any
    ) -> tuple[Any, Any]:
        protocol = protocol_factory()
        return self.network.bind(local_addr, protocol), protocol


def run_virtual(main: Callable[[VirtualLoop], Coroutine[Any, Any, _T]]) -> _T:
    """Run a coroutine in a loop of its own and cancel what it leaves behind."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(main(loop))
    finally:
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        asyncio.set_event_loop(None)
        loop.close()


class Link:
    """Send pieces one after another at a fixed rate."""

    def __init__(self, loop: asyncio.AbstractEventLoop, bits_per_second: float) -> None:
        self.bits_per_second = bits_per_second
        self.sent_bytes = 0
        self._loop = loop
        self._free_seconds = 0.0

    def reserve(self, size_bytes: int) -> float:
        """Queue a piece and return when it has passed."""
        start = max(self._loop.time(), self._free_seconds)
        self._free_seconds = start + size_bytes * 8 / self.bits_per_second
        self.sent_bytes += size_bytes
        return self._free_seconds


class Host:
    """Hold the region and the links of one instance."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, *, region: str, bits_per_second: float
    ) -> None:
        self.region = region
        self.uplink = Link(loop, bits_per_second)
        self.downlink = Link(loop, bits_per_second)


class Network:
    """Connect hosts by their own links and by one link for each direction between two regions."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.region_bits_per_second = 1e9
        self.zone_latency_seconds = 0.0009
        self.region_latency_seconds = 0.0018
        self.hosts: dict[str, Host] = {}
        self.held: dict[str, list[Callable[[], None]]] = {}
        """Datagrams that wait at hosts whose processes are frozen."""
        self.lost: set[str] = set()
        """Hosts that are gone, from and to which nothing arrives."""
        self.cut_regions: set[str] = set()
        """Regions that nothing leaves and nothing enters."""
        self._loop = loop
        self._region_links: dict[tuple[str, str], Link] = {}
        self._protocols: dict[tuple[str, int], Any] = {}

    def add_host(self, address: str, *, region: str, bits_per_second: float) -> None:
        self.hosts[address] = Host(self._loop, region=region, bits_per_second=bits_per_second)

    def bind(self, address: tuple[str, int], protocol: Any) -> "_DatagramTransport":
        self._protocols[address] = protocol
        return _DatagramTransport(self, address)

    def region_link(self, source: str, target: str) -> Link:
        """Return the link from one region to another."""
        return self._region_links.setdefault(
            (source, target), Link(self._loop, self.region_bits_per_second)
        )

    def _is_cut(self, source: str, target: str) -> bool:
        regions = {self.hosts[source].region, self.hosts[target].region}
        is_between_regions = len(regions) > 1 and bool(regions & self.cut_regions)
        return is_between_regions or bool(self.lost & {source, target})

    def _path(self, source: str, target: str) -> tuple[list[Link], float]:
        sender, receiver = self.hosts[source], self.hosts[target]
        if sender.region == receiver.region:
            return [sender.uplink, receiver.downlink], self.zone_latency_seconds
        between = self.region_link(sender.region, receiver.region)
        return [sender.uplink, between, receiver.downlink], self.region_latency_seconds

    def hold(self, address: str) -> None:
        """Keep the datagrams for a host until they are released."""
        self.held[address] = []

    def release(self, address: str) -> None:
        """Deliver the datagrams that were kept for a host."""
        for deliver in self.held.pop(address):
            deliver()

    async def transfer(self, source: str, target: str, size_bytes: int) -> None:
        """Wait until a flow of some bytes has arrived, which never happens at a lost host."""
        if self._is_cut(source, target):
            await asyncio.Event().wait()
        links, latency_seconds = self._path(source, target)
        window = asyncio.Semaphore(WINDOW_PIECES)

        async def send_piece(piece_bytes: int) -> None:
            async with window:
                for link in links:
                    await self._sleep_until(link.reserve(piece_bytes))
                await asyncio.sleep(latency_seconds)

        async with asyncio.TaskGroup() as pieces:
            for start in range(0, max(1, size_bytes), PIECE_BYTES):
                pieces.create_task(send_piece(min(PIECE_BYTES, size_bytes - start)))

    async def _sleep_until(self, when_seconds: float) -> None:
        await asyncio.sleep(when_seconds - self._loop.time())

    def send_datagram(self, source: tuple[str, int], target: tuple[str, int], data: bytes) -> None:
        """Deliver a datagram if its target is bound."""
        if target[0] not in self.hosts:
            return
        links, latency_seconds = self._path(source[0], target[0])
        # A datagram waits only for its sender's link, so it may overtake flows on the others.
        sent = links[0].reserve(len(data) + DATAGRAM_OVERHEAD_BYTES)
        self._loop.call_at(sent + latency_seconds, self._deliver, source, target, data)

    def _deliver(self, source: tuple[str, int], target: tuple[str, int], data: bytes) -> None:
        if self._is_cut(source[0], target[0]):
            return
        if target[0] in self.held:
            self.held[target[0]].append(lambda: self._deliver(source, target, data))
            return
        protocol = self._protocols.get(target)
        if protocol is not None:
            protocol.datagram_received(data, source)


class _DatagramTransport:
    def __init__(self, network: Network, address: tuple[str, int]) -> None:
        self._network = network
        self._address = address

    def sendto(self, data: bytes, target: tuple[str, int]) -> None:
        self._network.send_datagram(self._address, target, data)

    def close(self) -> None:
        self._network._protocols.pop(self._address, None)
