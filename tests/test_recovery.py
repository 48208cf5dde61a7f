"""Test that a fleet with real services recovers from failures of whole zones and roles."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import pytest

from egretrouter.backends import HttpObjectStore, StoredObject
from egretrouter.core.configuration import INDEX_KEY
from egretrouter.core.errors import PublishConflictError
from egretrouter.core.membership import MemberStatus
from egretrouter.core.status import ZoneStatus
from egretrouter.daemons import AgentService, RouterService
from egretrouter.demo import FleetOptions, read_parts
from egretrouter.protocol import egretrouter_pb2 as pb
from egretrouter.publishing import publish
from egretrouter.standins import Outage, expected_answer
from egretrouter.transport import inflate
from tests.serving_fleet import EXAMPLES, SERVICES, WAIT_SECONDS, ServingFleet, eventually

ZONE = "taquari-z1"


@pytest.fixture
async def fleet() -> AsyncIterator[ServingFleet]:
    fleet = ServingFleet(
        read_parts(EXAMPLES / "ovo-justo"),
        options=FleetOptions(routers=3, token_interval_seconds=0.001),
    )
    await fleet.serve()
    yield fleet
    await fleet.stop()


async def answers(fleet: ServingFleet, router: RouterService) -> bool:
    """Return whether a router gives the complete answer of the version."""
    url = f"http://127.0.0.1:{router.callers_port}/v1/completions"
    body = {"model": "cotacoes", "prompt": "ovos", "max_tokens": 8}
    async with aiohttp.ClientSession() as session, session.post(url, json=body) as response:
        answer = await response.json()
    text = expected_answer(fleet.manifest.digest, "ovos", count=8)
    return response.status == 200 and bool(answer["choices"][0]["text"] == text)


async def all_answer(fleet: ServingFleet) -> bool:
    """Return whether every router answers."""
    return all([await answers(fleet, router) for router in fleet.routers.values()])


class TestReplacement:
    """Guard against state lost with a replaced process, and against needless copies."""

    async def test_all_routers_are_replaced_at_once(self, fleet: ServingFleet) -> None:
        old, orders = dict(fleet.routers), fleet.orders()
        await asyncio.gather(*(router.stop() for router in old.values()))
        fleet.routers.clear()
        for name, router in old.items():
            await fleet.start_router(f"{name}-new", zone=router.settings.zone)
        await fleet.wait_for_routes(SERVICES, timeout_seconds=WAIT_SECONDS)
        assert await all_answer(fleet)
        assert fleet.orders() == orders

    async def test_new_agents_of_a_zone_keep_what_their_engines_have_loaded(
        self, fleet: ServingFleet
    ) -> None:
        orders, sent_bytes = fleet.orders(), fleet.origin.sent_bytes
        old = [a for a in fleet.processes(ZONE) if isinstance(a, AgentService)]
        await asyncio.gather(*(agent.stop() for agent in old))
        new = [await fleet.replace_agent(agent.instance_id) for agent in old]
        await eventually(lambda: all(agent.ready for agent in new))
        names = {agent.instance_id for agent in new}
        router = next(r for r in fleet.routers.values() if r.settings.zone == ZONE)
        await eventually(lambda: names <= router.view.endpoints())
        assert await all_answer(fleet)
        assert (fleet.orders(), fleet.origin.sent_bytes) == (orders, sent_bytes)

    async def test_status_in_the_store_lists_every_process(self, fleet: ServingFleet) -> None:
        def stored_status() -> ZoneStatus | None:
            content = fleet.object_api.content(f"status/{ZONE}")
            return ZoneStatus.from_json(content) if content else None

        names = {process.settings.instance_id for process in fleet.processes(ZONE)}

        def complete() -> bool:
            status = stored_status()
            return status is not None and status.processes == dict.fromkeys(names, 1)

        await eventually(complete)

    async def test_a_link_sends_load_that_gossip_does_not(self, fleet: ServingFleet) -> None:
        """Summaries of other zones carry no load of single endpoints, so only links can."""
        router = next(r for r in fleet.routers.values() if r.settings.zone == ZONE)
        name, agent = next(
            (n, a)
            for n, a in fleet.agents.items()
            if a.settings.zone != ZONE and a.service == "llm-cotacoes"
        )
        await eventually(lambda: name in router.view.endpoints())
        link = router._get_link(agent.peer_address)
        assert await link.wait_until_up(timeout_seconds=WAIT_SECONDS)
        # A channel that is closed under a link must not end the link.
        await router.channels.discard(agent.peer_address)
        await eventually(lambda: not link.is_up)
        assert await link.wait_until_up(timeout_seconds=WAIT_SECONDS)
        await eventually(
            lambda: router.selector._loads[name].report_at_seconds is not None  # type: ignore[index]
        )


class TestStoreOut:
    """Guard against a start that depends on the store."""

    async def test_a_router_fetches_the_configuration_from_peers(self, fleet: ServingFleet) -> None:
        fleet.object_api.outage = Outage.DROP
        router = await fleet.start_router("entry-late", zone=ZONE)
        await eventually(lambda: set(SERVICES) <= router.served_services())
        assert await answers(fleet, router)

    @pytest.mark.parametrize("accepts_deflate", [True, False])
    async def test_parts_are_compressed_for_peers_that_accept_it(
        self, fleet: ServingFleet, accepts_deflate: bool
    ) -> None:
        control = next(iter(fleet.routers.values())).control
        assert control.configuration.configuration is not None
        digests = control.configuration.configuration.index.parts.values()
        request = pb.ConfigurationRequest(wanted_digests=digests, accepts_deflate=accepts_deflate)
        reply = control.build_configuration_reply(request)
        assert {part.deflated for part in reply.parts} == {accepts_deflate}
        contents = [inflate(p.content) if accepts_deflate else p.content for p in reply.parts]
        assert contents == [control.configuration.get_part(digest) for digest in digests]

    async def test_a_whole_zone_restarts(self, fleet: ServingFleet) -> None:
        fleet.object_api.outage = Outage.DROP
        orders, sent_bytes = fleet.orders(), fleet.origin.sent_bytes
        old = fleet.processes(ZONE)
        await asyncio.gather(*(process.stop() for process in old))
        for process in old:
            if isinstance(process, AgentService):
                await fleet.replace_agent(process.instance_id)
            else:
                await fleet.start_router(process.settings.instance_id, zone=ZONE)
        new = fleet.processes(ZONE)
        assert not set(new) & set(old)
        await eventually(lambda: all(process.ready for process in new))
        await fleet.wait_for_routes(SERVICES, timeout_seconds=WAIT_SECONDS)
        assert await all_answer(fleet)
        assert (fleet.orders(), fleet.origin.sent_bytes) == (orders, sent_bytes)


class StaleStore(HttpObjectStore):
    """Return once the index from before another operator's publication."""

    before: StoredObject | None = None

    async def get(self, key: str) -> StoredObject:
        """Read an object."""
        if key == INDEX_KEY and self.before is not None:
            before, self.before = self.before, None
            return before
        return await super().get(key)


class TestPartition:
    """Guard against a generation that reverts or is published twice."""

    async def test_a_zone_cut_off_keeps_its_generation_and_catches_up(
        self, fleet: ServingFleet
    ) -> None:
        seen: dict[str, list[int]] = {}
        inside = fleet.processes(ZONE)
        everyone = [*fleet.agents.values(), *fleet.routers.values()]
        for process in everyone:
            found = seen.setdefault(process.settings.instance_id, [])
            process.control.on_configuration.append(
                lambda c, found=found: found.append(c.generation)  # type: ignore[misc]
            )
        async with aiohttp.ClientSession() as session:
            store = StaleStore(session, base_url=fleet.object_api.url)
            before = await store.get(INDEX_KEY)
            await fleet.cut_off(ZONE)
            limits = fleet.deployment.workspaces[0].model_copy(update={"weight": 7})
            others = fleet.deployment.workspaces[1:]
            changed = fleet.deployment.model_copy(update={"workspaces": (limits, *others)})
            original = fleet.deployment
            fleet.replace_part(changed)
            assert await fleet.publish() == 2
            outside = [process for process in everyone if process not in inside]
            await eventually(lambda: all(p.control.configuration.generation == 2 for p in outside))
            assert all(p.control.configuration.generation == 1 for p in inside)
            router = next(r for r in inside if isinstance(r, RouterService))
            assert await answers(fleet, router)
            store.before = before
            fleet.replace_part(original.model_copy(update={"workspaces": others}))
            with pytest.raises(PublishConflictError) as conflict:
                await publish(store, fleet.collection())
            assert conflict.value.generation == 2
        await fleet.cut_off()
        await eventually(lambda: all(p.control.configuration.generation == 2 for p in inside))
        # A store that is restored from a backup sends the earlier index to the watches.
        watches = fleet.object_api.calls["watch"]
        await fleet.object_api.write(INDEX_KEY, before.content)
        await eventually(lambda: fleet.object_api.calls["watch"] > watches)
        assert await all_answer(fleet)
        assert all(generations == [2] for generations in seen.values())


class TestMembership:
    """Guard against calls to a leaving instance, and against a paused one that never returns."""

    @pytest.mark.known_red
    async def test_a_leaving_agent_gets_no_calls_while_the_list_contains_it(
        self, fleet: ServingFleet
    ) -> None:
        name, agent = next((n, a) for n, a in fleet.agents.items() if a.service == "llm-cotacoes")
        for router in fleet.routers.values():
            await eventually(lambda r=router: name in r.view.endpoints())  # type: ignore[misc]
            await router._get_link(agent.peer_address).wait_until_up(timeout_seconds=WAIT_SECONDS)
        drained = asyncio.create_task(agent.drain())
        await eventually(
            lambda: not any(name in r.view.endpoints() for r in fleet.routers.values())
        )
        # The agent keeps announcing the drain until every router has received it.
        assert not drained.done()
        await drained
        await agent.stop()
        reads = fleet.instance_list.reads
        await eventually(lambda: fleet.instance_list.reads > reads + 2 * len(fleet.agents))
        assert not any(name in r.view.endpoints() for r in fleet.routers.values())
        assert await all_answer(fleet)

    async def test_a_paused_agent_returns(self, fleet: ServingFleet) -> None:
        agent = next(
            a
            for a in fleet.agents.values()
            if a.service == "llm-cotacoes" and a.settings.zone == ZONE
        )
        router = next(r for r in fleet.routers.values() if r.settings.zone == ZONE)
        name, control = agent.instance_id, agent.control
        incarnation = control.membership.own.incarnation
        handle = control._dispatch_to_membership
        control._dispatch_to_membership = lambda message: None  # type: ignore[method-assign]

        def status() -> MemberStatus | None:
            members = {m.instance_id: m for m in router.control.membership.members()}
            return members[name].status if name in members else None

        await eventually(lambda: status() not in (MemberStatus.ALIVE, MemberStatus.SUSPECT))
        assert name not in router.view.endpoints()
        assert await all_answer(fleet)
        control._dispatch_to_membership = handle  # type: ignore[method-assign]
        await eventually(lambda: status() is MemberStatus.ALIVE)
        await eventually(lambda: name in router.view.endpoints())
        assert control.membership.own.incarnation > incarnation
