"""Run a router, the process that accepts callers' requests."""

import asyncio
import random
import time
from typing import Any

from aiohttp import web
from eliot import log_message
from mode import Service

from egretrouter.backends import StorePurpose
from egretrouter.core.configuration import Configuration
from egretrouter.core.identifiers import InstanceId, RegionId, ServiceName, ZoneId
from egretrouter.core.limits import Backoff, HedgingBudget, RetryBudget
from egretrouter.core.membership import MemberRole
from egretrouter.core.routing import EndpointSelector
from egretrouter.core.settings import RouterSettings
from egretrouter.daemons._callers import CallerHandler
from egretrouter.daemons._claim_routers import ClaimRouters
from egretrouter.daemons._claims import ClaimService
from egretrouter.daemons._endpoint_view import EndpointView
from egretrouter.daemons._link import AgentLink
from egretrouter.daemons._metrics import RouterMetrics
from egretrouter.daemons._peers import PeersServicer
from egretrouter.daemons._process import REQUESTS_GRACE_SECONDS, ProcessService
from egretrouter.daemons._routed_call import CallServices
from egretrouter.daemons._tls import CallerTls
from egretrouter.transport import CallerServer

REFRESH_SECONDS = 0.5
# After the last call, callers get this time to read their answers.
LAST_ANSWERS_SECONDS = 10.0
STOP_SECONDS = 1.0
# While the object API is unavailable, a stop waits no longer; agents keep answers for 30 s.
CLAIM_ENDS_SECONDS = 2.5
# After a second signal, callers get this time to read the outcomes of their calls.
OUTCOME_SECONDS = 0.5
LIMITS_TICK_SECONDS = 0.1
# Zone summaries list other endpoints every few seconds, so a link may soon be needed again. A link
# costs memory, and a reconnection every 2 s if its agent is gone. Without a limit, links would add
# up to one for each agent that was ever in view.
UNLISTED_LINK_SECONDS = 30.0


class RouterService(ProcessService):
    """Run the callers' port, the links to agents and the endpoint selector."""

    role = MemberRole.ROUTER

    def __init__(self, settings: RouterSettings, *, rng: random.Random, **kwargs: Any) -> None:
        self.metrics = RouterMetrics()
        super().__init__(settings, metrics=self.metrics, rng=rng, **kwargs)
        self.router_settings = settings
        self.callers_port = 0
        self.handler: CallerHandler
        self._callers_server: CallerServer
        self._callers_runner: web.ServerRunner
        self.claims: ClaimService
        self.selector: EndpointSelector
        self.view: EndpointView
        self._links: dict[str, AgentLink] = {}
        self._unlisted_since_seconds: dict[str, float] = {}

    async def on_start(self) -> None:
        """Join the zone and start listening for callers."""
        await self.open_platform()
        peers = PeersServicer(dump=self.dump)
        self.selector = EndpointSelector(
            zone=ZoneId(self.settings.zone),
            region=RegionId(self.settings.region),
            random_generator=random.Random(self.rng.random()),
        )
        await self.start_process(servicers=lambda _: None, peers=peers)
        self.claims = peers.claims = self._build_claim_service()
        await self.add_runtime_dependency(self.claims)
        self.view = EndpointView(membership=self.control.membership, selector=self.selector)
        self.handler = CallerHandler(
            services=self._build_call_services(),
            limits=self.router_settings.limits,
            metrics=self.metrics,
            needs_tokens=self.router_settings.needs_tokens,
        )
        self.control.on_configuration.append(self._configure)
        self.control.on_members.append(self.view.refresh)
        active_configuration = self.control.configuration.configuration
        if active_configuration is not None:
            self._configure(active_configuration)
        limits = self.router_settings.limits
        self._callers_server = CallerServer(
            self.handler.handle,
            max_body_bytes=limits.max_body_bytes,
            access_log=None,
            max_field_size=limits.max_header_bytes,
            max_line_size=limits.max_header_bytes,
            keepalive_timeout=limits.idle_connection_seconds,
        )
        self.handler.count_connections = lambda: len(self._callers_server.connections)
        self._callers_runner = web.ServerRunner(
            self._callers_server, shutdown_timeout=REQUESTS_GRACE_SECONDS
        )
        tls = None
        if self.router_settings.callers_tls is not None:
            tls = CallerTls(self.router_settings.callers_tls)
            self.add_future(tls.reload_on_change())
        self.callers_port = await self.listen_http(
            self._callers_runner,
            self.router_settings.callers,
            ssl_context=tls.context if tls is not None else None,
        )

    async def drain(self) -> None:
        """Refuse new calls, and wait until those that were read are answered and recorded."""
        self.handler.drain()
        await self.control.leave()
        await self.handler.idle.wait()
        await self._close_callers(limit_seconds=LAST_ANSWERS_SECONDS)
        stored = await self.claims.flush_ends(timeout_seconds=CLAIM_ENDS_SECONDS)
        log_message("router:drained", claim_ends_stored=stored)

    async def stop_at_once(self) -> None:
        """Tell the callers of open calls what is known about them, and stop."""
        self.handler.end_calls()
        await self._close_callers(limit_seconds=OUTCOME_SECONDS)
        await super().stop_at_once()

    async def _close_callers(self, *, limit_seconds: float) -> None:
        """Stop listening, and close each connection once its requests are answered."""
        for site in self._callers_runner.sites:
            await site.stop()
        now_seconds = asyncio.get_running_loop().time()
        unanswered = await self._callers_server.close_answered(
            until_seconds=now_seconds + limit_seconds
        )
        log_message("router:callers_closed", unanswered=unanswered)

    def served_services(self) -> frozenset[ServiceName]:
        """Return the services that have an endpoint in view."""
        return self.view.services()

    def _build_call_services(self) -> CallServices:
        return CallServices(
            selector=self.selector,
            get_link=self._get_link,
            find_serving_digest=self.view.find_serving_digest,
            retry_budget=RetryBudget(),
            hedging_budget=HedgingBudget(),
            backoff=Backoff(random.Random(self.rng.random())),
            claims=self.claims,
            rng=self.rng,
        )

    def _build_claim_service(self) -> ClaimService:
        return ClaimService(
            routers=ClaimRouters(
                membership=self.control.membership, listed=lambda: self.control.listed
            ),
            store=self.guarded_store(StorePurpose.CLAIMS),
            channels=self.channels,
            rng=random.Random(self.rng.random()),
            beacon=self.beacon,
        )

    def _get_link(self, address: str) -> AgentLink:
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = AgentLink(
                address=address,
                router_id=InstanceId(self.settings.instance_id),
                channels=self.channels,
                coalesce_events=self.router_settings.coalesce_events,
                on_load=lambda load: self.view.record_load(address, load),
                beacon=self.beacon,
            )
            self.add_future(self.add_runtime_dependency(link))
        return link

    def _configure(self, configuration: Configuration) -> None:
        self.process_metrics.generation.set({}, configuration.generation)
        self.handler.configure(configuration)
        zones = configuration.deployment.zones
        self.view.set_regions({ZoneId(z.name): RegionId(z.region) for z in zones})
        self.view.refresh()

    @Service.task
    async def _refresh_view(self) -> None:
        while not self.should_stop:
            await self.sleep(REFRESH_SECONDS)
            self.view.refresh()
            self.handler.set_router_count(self.view.count_routers()[1])
            await self._close_unlisted_links(time.monotonic())

    async def _close_unlisted_links(self, now_seconds: float) -> None:
        """Close idle links to agents that left or that zone summaries no longer list."""
        unlisted = self._links.keys() - self.view.addresses()
        self._unlisted_since_seconds = {
            a: self._unlisted_since_seconds.get(a, now_seconds) for a in unlisted
        }
        for address, since_seconds in self._unlisted_since_seconds.items():
            link = self._links[address]
            if link.is_idle and now_seconds - since_seconds >= UNLISTED_LINK_SECONDS:
                del self._links[address]
                await link.stop()
                await self.channels.discard(address)

    @Service.task
    async def _expire_queued_calls(self) -> None:
        while not self.should_stop:
            await self.sleep(LIMITS_TICK_SECONDS)
            self.handler.tick()

    async def on_stop(self) -> None:
        """Close callers' connections, the links and the channels, users before what they use."""
        await self._close_callers(limit_seconds=0.0 if self.force_stop else STOP_SECONDS)
        await self.claims.stop()
        for link in self._links.values():
            await link.stop()
        await super().on_stop()

    @property
    def ready(self) -> bool:
        """Return whether callers can be answered."""
        return super().ready and self.handler.ready

    def dump(self) -> dict[str, Any]:
        """Return the state of the router for the state dump."""
        now_seconds = asyncio.get_running_loop().time()
        return {
            **super().dump(),
            "callers_port": self.callers_port,
            "calls": self.handler.snapshot(),
            "claims": self.claims.snapshot(),
            "selector": self.selector.snapshot(now_seconds=now_seconds),
            "links": {address: link.link_state.value for address, link in self._links.items()},
        }
