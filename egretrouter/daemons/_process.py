"""Provide the base service of routers and agents."""

import random
import ssl
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web
from mode import Service

from egretrouter.backends import (
    GuardedStore,
    HttpInstanceList,
    HttpObjectStore,
    ObjectStore,
    StoreBudgets,
    StorePolicy,
    StorePurpose,
)
from egretrouter.core.identifiers import InstanceId, ZoneId
from egretrouter.core.membership import Member, MemberRole, MemberStatus, Seed
from egretrouter.core.settings import ListenSettings, ProcessSettings, SecuritySettings
from egretrouter.daemons._control import ControlService
from egretrouter.daemons._metrics import ProcessMetrics
from egretrouter.daemons._operators import operators_application
from egretrouter.daemons._peers import PeersServicer
from egretrouter.daemons._status import StatusService
from egretrouter.protocol import egretrouter_pb2_grpc as pb_grpc
from egretrouter.transport import check_answers
from egretrouter.transport._rpc import (
    ChannelPool,
    PeerSecurity,
    TlsFiles,
    bind_server,
    build_server,
)
from egretrouter.transport._secrets import SharedSecrets

SERVER_GRACE_SECONDS = 0.5
# aiohttp waits up to twice this long for requests that are open when a port closes.
REQUESTS_GRACE_SECONDS = 0.5
FORCED_STOP_GRACE_SECONDS = 0.1
PLATFORM_CONNECTIONS = 256


def peer_security(settings: SecuritySettings) -> PeerSecurity:
    """Return the secrets and certificates that authenticate processes to each other."""
    secrets = None
    if settings.shared_secret_file is not None:
        secrets = SharedSecrets(Path(settings.shared_secret_file))
    tls = None
    if settings.peer_tls is not None and settings.peer_tls.authority_file is not None:
        tls = TlsFiles(
            certificate=Path(settings.peer_tls.certificate_file),
            key=Path(settings.peer_tls.private_key_file),
            authority=Path(settings.peer_tls.authority_file),
        )
    return PeerSecurity(secrets=secrets, tls=tls)


class ProcessService(Service):
    """Manage the sockets and the control service that every process has."""

    role: MemberRole

    def __init__(
        self,
        settings: ProcessSettings,
        *,
        metrics: ProcessMetrics,
        rng: random.Random,
        reachable: Callable[[str], bool] = lambda _: True,
        **kwargs: Any,
    ) -> None:
        """Create the process; tests use reachable to cut it off from peers and the store."""
        super().__init__(**kwargs)
        self.settings = settings
        self.rng = rng
        self.process_metrics = metrics
        self.security = peer_security(settings.security)
        self.channels = ChannelPool(self.security, reachable=reachable)
        self._reachable = reachable
        self.peer_address = ""
        self.operators_port = 0
        self.force_stop = False
        """Whether to cut off open requests on stop; a slow caller could otherwise take a minute."""
        self.control: ControlService
        self.status_service: StatusService
        self.store_budgets: StoreBudgets
        self._object_store: ObjectStore
        self.session: aiohttp.ClientSession
        self._server: Any = None
        self._runners: list[web.BaseRunner] = []

    async def start_process(
        self, *, servicers: Callable[[Any], None], peers: PeersServicer
    ) -> None:
        """Listen for peers and operators, and join the zone."""
        platform = self.settings.platform
        self._server = build_server(self.security)
        servicers(self._server)
        pb_grpc.add_PeersServicer_to_server(peers, self._server)
        listen = self.settings.peers
        port = bind_server(self._server, f"{listen.address}:{listen.port}", self.security)
        self.peer_address = f"{listen.reachable_address}:{port}"
        self.control = ControlService(
            own=self._own_member(),
            store=self.guarded_store(StorePurpose.CONFIGURATION),
            instance_list=(
                HttpInstanceList(
                    self.session,
                    base_url=platform.instance_list_url,
                    timeout_seconds=platform.timeout_seconds,
                )
                if platform.instance_list_url
                else None
            ),
            seeds=self._seeds(),
            channels=self.channels,
            rng=self.rng,
            beacon=self.beacon,
        )
        peers.control = self.control
        self.control.on_members.append(self._count_members)
        await self._server.start()
        await self.add_runtime_dependency(self.control)
        self.status_service = StatusService(
            control=self.control, store=self.guarded_store(StorePurpose.STATUS), beacon=self.beacon
        )
        await self.add_runtime_dependency(self.status_service)
        self.operators_port = await self.listen_http(
            web.AppRunner(
                operators_application(
                    dump=self.dump,
                    metrics=self.process_metrics,
                    ready=lambda: self.ready,
                    token_sha256=self.settings.security.operators_token_sha256,
                ),
                access_log=None,
                shutdown_timeout=REQUESTS_GRACE_SECONDS,
            ),
            self.settings.operators,
        )

    def _count_members(self) -> None:
        counts = Counter(member.status for member in self.control.membership.members())
        counts[self.control.membership.own.status] += 1
        for status in MemberStatus:
            self.process_metrics.members.set({"status": status.value}, counts[status])

    async def open_platform(self) -> None:
        """Create the clients of the platform."""
        platform = self.settings.platform
        connector = aiohttp.TCPConnector(limit=PLATFORM_CONNECTIONS)
        check_answers(connector)
        self.session = aiohttp.ClientSession(connector=connector)
        self.store_budgets = StoreBudgets(rng=random.Random(self.rng.random()))
        self._object_store = HttpObjectStore(
            self.session,
            base_url=platform.object_store_url,
            timeout_seconds=platform.timeout_seconds,
            watch_seconds=platform.watch_seconds,
            reachable=self._reachable,
        )

    def guarded_store(self, purpose: StorePurpose) -> ObjectStore:
        """Return the store with the budget of one purpose."""
        return GuardedStore(
            self._object_store,
            purpose=purpose,
            budgets=self.store_budgets,
            rng=random.Random(self.rng.random()),
            policy=StorePolicy(timeout_seconds=self.settings.platform.timeout_seconds),
        )

    async def listen_http(
        self,
        runner: web.BaseRunner,
        listen: ListenSettings,
        *,
        ssl_context: ssl.SSLContext | None = None,
    ) -> int:
        """Serve HTTP and return the port."""
        await runner.setup()
        site = web.TCPSite(runner, listen.address, listen.port, ssl_context=ssl_context)
        await site.start()
        self._runners.append(runner)
        port: int = runner.addresses[0][1]
        return port

    async def stop_at_once(self) -> None:
        """Stop without waiting for the work in progress."""
        self.force_stop = True
        await self.stop()

    async def on_stop(self) -> None:
        """Stop the services that use the sockets, and close the sockets."""
        # Dependencies are stopped only after this method, when their sockets would be closed.
        await self.status_service.stop()
        await self.control.stop()
        for runner in self._runners:
            if self.force_stop and runner.server is not None:
                await runner.server.shutdown(FORCED_STOP_GRACE_SECONDS)
            await runner.cleanup()
        if self._server is not None:
            await self._server.stop(SERVER_GRACE_SECONDS)
        await self.channels.close()
        await self.session.close()

    @property
    def ready(self) -> bool:
        """Return whether this process has a configuration to work with."""
        return self.control.configuration.configuration is not None

    def dump(self) -> dict[str, Any]:
        """Return the state of the process for the state dump."""
        return {
            "instance_id": self.settings.instance_id,
            "zone": self.settings.zone,
            "role": self.role.value,
            "peer_address": self.peer_address,
            "ready": self.ready,
            "control": self.control.snapshot(),
            "store": self.store_budgets.snapshot(),
            "status": self.status_service.reporter.snapshot(),
        }

    def _own_member(self) -> Member:
        return Member(
            instance_id=InstanceId(self.settings.instance_id),
            zone=ZoneId(self.settings.zone),
            role=self.role,
            address=self.peer_address,
            # A restarted process must override the state that members keep from before the restart.
            incarnation=int(time.time()),
        )

    def _seeds(self) -> tuple[Seed, ...]:
        zone = ZoneId(self.settings.zone)
        return tuple(
            Seed(instance_id=InstanceId(f"seed-{address}"), zone=zone, address=address)
            for address in self.settings.seeds
        )
