"""Provide the services that routers and agents have in common, and their lifecycle."""

import asyncio
import json
import random
import signal
from typing import Any

from aiohttp import web
from mode import Service

from egretrouter.backends import StateKind, StateStore
from egretrouter.core.direct import FleetRole
from egretrouter.direct._fleet_service import FleetService
from egretrouter.direct._logs import log_event
from egretrouter.direct._metrics import RenderedMetrics
from egretrouter.direct._news_service import NewsService
from egretrouter.direct._peer_state import StateReplies
from egretrouter.direct._settings import DirectSettings
from egretrouter.direct._shared_state import SharedStateService
from egretrouter.protocol import egretrouter_pb2 as pb
from egretrouter.protocol import egretrouter_pb2_grpc as pb_grpc
from egretrouter.transport import ChannelPool, PeerSecurity, build_server

LISTEN_BACKLOG = 1024
PEER_SERVER_GRACE_SECONDS = 0.1


class StatePeersServicer(pb_grpc.PeersServicer):
    """Serve the shared state to peers."""

    def __init__(self, replies: StateReplies) -> None:
        self._replies = replies

    async def FetchState(self, request: pb.StateRequest, context: Any) -> pb.StateReply:  # noqa: N802
        """Return the requested kinds of shared state."""
        return self._replies.build(request)


class DirectProcess(Service):
    """Run the membership, the shared state and the servers that every process has."""

    role: FleetRole
    kinds: tuple[StateKind, ...]
    watched_kinds: tuple[StateKind, ...] = ()
    """The kinds that every process of the role watches at the store, whatever its rank."""

    def __init__(
        self, settings: DirectSettings, *, store: StateStore, rng: random.Random, **kwargs: Any
    ) -> None:
        super().__init__(**kwargs)
        self.settings = settings
        self.rng = rng
        self.channels = ChannelPool(PeerSecurity(secrets=None, tls=None))
        self.fleet = FleetService(settings, role=self.role, store=store, rng=rng)
        self.shared_state = SharedStateService(
            settings,
            store=store,
            fleet=self.fleet,
            channels=self.channels,
            kinds=self.kept_kinds(settings),
            watched_kinds=self.watched_kinds,
            rng=rng,
        )
        self.news = NewsService(fleet=self.fleet, rng=rng)
        self.state_replies = StateReplies(self.shared_state)
        self._peer_server: Any = None
        self._servers: list[asyncio.Server] = []

    def kept_kinds(self, settings: DirectSettings) -> tuple[StateKind, ...]:
        """Return the kinds of shared state that the process keeps in its deployment."""
        return self.kinds

    async def start_process(
        self, servicer: pb_grpc.PeersServicer, metrics: RenderedMetrics
    ) -> None:
        """Start the servers for peers and operators, the membership and the shared state."""
        self._peer_server = build_server(PeerSecurity(secrets=None, tls=None))
        pb_grpc.add_PeersServicer_to_server(servicer, self._peer_server)
        self._peer_server.add_insecure_port(f"{self.settings.address}:{self.settings.peer_port}")
        await self._peer_server.start()
        await self.add_runtime_dependency(self.fleet)
        await self.add_runtime_dependency(self.shared_state)
        await self.add_runtime_dependency(self.news)
        await self.listen(
            web.Server(
                lambda request: self._handle_operator_request(request, metrics), access_log=None
            ),
            f"{self.settings.address}:{self.settings.metrics_port}",
        )

    async def listen(self, server: web.Server, address: str) -> asyncio.Server:
        """Serve HTTP at ADDRESS:PORT and return the listener."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(server, host, int(port), backlog=LISTEN_BACKLOG)
        self._servers.append(listener)
        return listener

    async def _handle_operator_request(
        self, request: web.BaseRequest, metrics: RenderedMetrics
    ) -> web.StreamResponse:
        if request.path == "/metrics":
            content, headers = metrics.rendered(request.headers.get("Accept", ""))
            return web.Response(body=content, headers=headers)
        if request.path == "/dump":
            return web.Response(
                text=json.dumps(self.dump(), default=str), content_type="application/json"
            )
        response = self.answer_operator(request)
        if response is not None:
            return response
        return web.Response(
            status=404, text="paths are /metrics, /dump and, at routers, /explain\n"
        )

    def answer_operator(self, request: web.BaseRequest) -> web.Response | None:
        """Answer an operator's request for a path that only some roles have."""
        return None

    def dump(self) -> dict[str, Any]:
        """Return the state of the process for the state dump."""
        return {
            "instance_id": self.settings.instance_id,
            "role": self.role.value,
            "fleet": self.fleet.snapshot(),
            "state": self.shared_state.snapshot(),
            "news": self.news.snapshot(),
        }

    async def drain(self) -> None:
        """Complete the work in progress before the process stops."""

    def reload(self) -> None:
        """Reload the settings."""

    async def on_stop(self) -> None:
        """Stop the services and close the sockets."""
        for server in self._servers:
            server.close()
        await self.news.stop()
        await self.shared_state.stop()
        await self.fleet.stop()
        if self._peer_server is not None:
            await self._peer_server.stop(PEER_SERVER_GRACE_SECONDS)
        await self.channels.close()


def bound_port(listener: asyncio.Server) -> int:
    """Return the port that a listener is bound to."""
    port: int = listener.sockets[0].getsockname()[1]
    return port


async def run_until_stopped(process: DirectProcess) -> None:
    """Run a process until SIGTERM or SIGINT, then drain and stop it; reload settings on SIGHUP."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, process.reload)
    log_event("process:starting", instance=process.settings.instance_id, role=process.role.value)
    await process.start()
    log_event("process:started", instance=process.settings.instance_id)
    await stop.wait()
    log_event("process:draining", instance=process.settings.instance_id)
    await process.drain()
    await process.stop()
    log_event("process:stopped", instance=process.settings.instance_id)
