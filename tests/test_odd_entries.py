"""Test that an odd entry of the store costs no more than itself."""

import asyncio
import json
import time
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import pytest
from egretrouter_platform import _malformed_entries
from egretrouter_platform._store import PlatformStore

from egretrouter.backends import StateChanges, StateEvent, StateKind
from egretrouter.core.direct import Endpoint, StoreRevision
from egretrouter.core.errors import MalformedAnswerError
from tests.helpers import end_outage
from tests.odd_entries import (
    ODD_ENTRIES,
    UNREAD_ODDITIES,
    RawStore,
    nested,
    spec,
    stored,
)
from tests.platform_standins import configuration
from tests.platform_world import PlatformWorld

KIND = "servers"


def good(name: str) -> bytes:
    return stored(b'"%s"' % name.encode(), spec())


@pytest.fixture
async def raw() -> AsyncIterator[RawStore]:
    store = RawStore()
    await store.start()
    yield store
    await store.stop()


@pytest.fixture
async def store(raw: RawStore) -> AsyncIterator[PlatformStore]:
    async with aiohttp.ClientSession() as session:
        yield PlatformStore(session, address=raw.address)


async def list_ids(store: PlatformStore) -> list[str]:
    listing = await store.list_state(StateKind.ENDPOINTS)
    assert listing.revision == StoreRevision(0, 9)
    assert listing.content_revision == StoreRevision(0, 2)
    return [item.endpoint_id for item in listing.items if isinstance(item, Endpoint)]


class TestListing:
    """Guard against listings that one odd entry makes unreadable."""

    @pytest.mark.parametrize("position", [0, 1, 2, 4])
    @pytest.mark.parametrize("odd", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
    async def test_odd_entry_leaves_the_others(
        self, raw: RawStore, store: PlatformStore, odd: bytes, position: int
    ) -> None:
        items = [good(name) for name in ("i-1", "i-2", "i-3", "i-4")]
        raw.items[KIND] = [*items[:position], odd, *items[position:]]
        assert await list_ids(store) == ["i-1", "i-2", "i-3", "i-4"]

    @pytest.mark.parametrize("odd", UNREAD_ODDITIES.values(), ids=UNREAD_ODDITIES)
    async def test_field_that_nobody_reads_leaves_the_others(
        self, raw: RawStore, store: PlatformStore, odd: bytes
    ) -> None:
        raw.items[KIND] = [good("i-1"), odd, good("i-z")]
        assert [i for i in await list_ids(store) if i != "i-odd"] == ["i-1", "i-z"]

    async def test_very_many_odd_entries_leave_the_others(
        self, raw: RawStore, store: PlatformStore
    ) -> None:
        raw.page_items = 500
        odd = [ODD_ENTRIES[name] for name in ("zone: NaN", "slots: 2,000 lists", "null")]
        raw.items[KIND] = [good("i-1"), *(odd * 300), good("i-2")]
        assert await list_ids(store) == ["i-1", "i-2"]

    async def test_page_without_a_name_to_go_on_from_is_an_error(
        self, raw: RawStore, store: PlatformStore
    ) -> None:
        raw.items[KIND] = [good("i-1"), *[ODD_ENTRIES["missing meta"]] * 3, good("i-2")]
        with pytest.raises(MalformedAnswerError):
            await store.list_state(StateKind.ENDPOINTS)

    async def test_revision_that_the_store_has_not_reached_hides_no_change(
        self, raw: RawStore, store: PlatformStore
    ) -> None:
        raw.items[KIND] = [good("i-1"), stored(b'"i-2"', spec(), revision=b"999999999")]
        assert await list_ids(store) == ["i-1", "i-2"]

    async def test_unbalanced_answer_is_an_error(self, raw: RawStore, store: PlatformStore) -> None:
        raw.items[KIND] = [good("i-1"), b'{"meta":{"name":"i-2"},"spec":[[[}']
        with pytest.raises(MalformedAnswerError):
            await store.list_state(StateKind.ENDPOINTS)


class TestWatch:
    """Guard against watches that one odd entry makes unreadable."""

    @pytest.mark.parametrize("odd", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
    async def test_odd_event_leaves_the_others(
        self, raw: RawStore, store: PlatformStore, odd: bytes
    ) -> None:
        for item in (good("i-1"), odd, good("i-2")):
            raw.add_event(KIND, item)
        changes = await store.watch_state(
            StateKind.ENDPOINTS, after_revision=StoreRevision(0, 9), wait_seconds=1
        )
        assert changes.revision == StoreRevision(0, 12)
        usable = [event.name for event in changes.events if event.item is not None]
        assert usable == ["i-1", "i-2"]

    @pytest.mark.parametrize("deleted", [b"1e999", b"null", nested(3000)])
    async def test_event_with_an_odd_mark_of_removal_leaves_the_others(
        self, raw: RawStore, store: PlatformStore, deleted: bytes
    ) -> None:
        raw.add_event(KIND, good("i-odd"), deleted=deleted)
        raw.add_event(KIND, good("i-2"))
        changes = await store.watch_state(
            StateKind.ENDPOINTS, after_revision=StoreRevision(0, 9), wait_seconds=1
        )
        assert [(e.name, e.item is None) for e in changes.events] == [
            ("i-odd", True),
            ("i-2", False),
        ]

    @pytest.mark.parametrize(
        "odd", ["slots: 100,000 lists", "born: 1e999", "zone: NaN", "port 70000"]
    )
    async def test_entry_that_becomes_odd_names_no_engine(
        self, raw: RawStore, store: PlatformStore, odd: str
    ) -> None:
        raw.add_event(KIND, good("i-odd"))
        raw.add_event(KIND, ODD_ENTRIES[odd])
        changes = await store.watch_state(
            StateKind.ENDPOINTS, after_revision=StoreRevision(0, 9), wait_seconds=1
        )
        assert [(event.name, event.item is None) for event in changes.events] == [
            ("i-odd", False),
            ("i-odd", True),
        ]


class TestProcessList:
    """Guard against a list of processes that one odd entry makes unreadable."""

    @pytest.mark.parametrize("odd", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
    async def test_odd_entry_leaves_the_others(
        self, raw: RawStore, store: PlatformStore, odd: bytes
    ) -> None:
        process = b'{"role":"router","zone":"z1","region":"r1","address":"127.0.0.2"}'
        items = [stored(b'"front-%d"' % number, process) for number in (1, 2)]
        raw.items["egretrouter-processes"] = [items[0], odd, items[1]]
        members = await store.list_members()
        assert [member.instance_id for member in members] == ["front-1", "front-2"]

    @pytest.mark.parametrize(
        "process",
        [
            b'{"role":"router","zone":"z1","region":"r1","address":"%s"}' % address
            for address in (
                b"", b"a.example", b"127.0.0.1:7", b"127.0.0", b"a..b", b"x\\u0000", b"9" * 70_000
            )
        ] + [
            b'{"role":"owner","zone":"z1","region":"r1","address":"127.0.0.1"}',
            b'{"role":"agent","zone":"%s","region":"r1","address":"127.0.0.1"}' % (b"z" * 70_000),
        ],
        ids=str,
    )  # fmt: skip
    async def test_process_that_nothing_can_reach_is_left_out(
        self, raw: RawStore, store: PlatformStore, process: bytes
    ) -> None:
        raw.items["egretrouter-processes"] = [stored(b'"front-1"', process)]
        assert await store.list_members() == []


@pytest.fixture
async def world(raw: RawStore) -> AsyncIterator[PlatformWorld]:
    world = PlatformWorld()
    world.store = raw  # type: ignore[assignment]
    raw.page_items = 500
    yield world
    await world.stop()


class TestRouter:
    """Guard against a router that ends, or no longer follows the list, because of one entry."""

    @pytest.mark.parametrize("odd", ["slots: 100,000 lists", "zone: NaN", "born: 5,000 digits"])
    @pytest.mark.parametrize("kind", [KIND, "egretrouter-processes", "config", "versions"])
    async def test_router_that_finds_an_odd_entry_serves_and_follows_the_list(
        self, raw: RawStore, world: PlatformWorld, kind: str, odd: str
    ) -> None:
        raw.put_raw(kind, ODD_ENTRIES[odd])
        async with asyncio.timeout(10):
            await world.start(engines=1)
            await world.wait_until(lambda: len(world.router.shared_state.directory.all_endpoints()))
        assert (await world.call("/read/x"))[0] == 200
        await self._check_that_it_follows(world)

    @pytest.mark.parametrize("odd", ["slots: 100,000 lists", "zone: NaN", "born: 5,000 digits"])
    @pytest.mark.parametrize("kind", [KIND, "config", "versions"])
    async def test_router_that_sees_an_odd_entry_appear_serves_and_follows_the_list(
        self, raw: RawStore, world: PlatformWorld, kind: str, odd: str
    ) -> None:
        await world.start(engines=1)
        raw.put_raw(kind, ODD_ENTRIES[odd])
        await asyncio.sleep(0.2)
        assert (await world.call("/read/x"))[0] == 200
        await self._check_that_it_follows(world)

    async def _check_that_it_follows(self, world: PlatformWorld) -> None:
        await world.add_engine("i-late")
        listings = world.store.listings  # type: ignore[attr-defined]
        async with asyncio.timeout(10):
            directory = world.router.shared_state.directory
            await world.wait_until(
                lambda: "i-late" in [e.endpoint_id for e in directory.all_endpoints()]
            )
            # The list is polled beside the watch; that must go on too.
            await world.wait_until(lambda: world.store.listings > listings + 1)  # type: ignore[attr-defined]
        assert not world.router.crashed
        assert not world.router.should_stop

    @pytest.mark.parametrize("odd", ["port 70000", "port -1", "zero byte in the address"])
    async def test_address_that_nothing_can_reach_gets_no_call(
        self, raw: RawStore, world: PlatformWorld, odd: str
    ) -> None:
        raw.put_raw(KIND, ODD_ENTRIES[odd])
        await world.start(engines=1)
        # As many as the good engine has slots, so that none is refused.
        calls = [world.call("/sale/x", call_id=f"c-{n}") for n in range(4)]
        assert [status for status, _, _ in await asyncio.gather(*calls)] == [200] * 4

    async def test_odd_configuration_leaves_the_last_good_one_in_force(
        self, raw: RawStore, world: PlatformWorld
    ) -> None:
        await world.start(engines=1)
        table = json.dumps(configuration(2))
        for content in (
            b"null",
            nested(3000),
            b'{"version":1e999,"routes":[]}',
            b'{"version":2}',
            table.replace('"version": 2', '"version": ' + "9" * 30).encode(),
            table.replace('"timeout_ms": 800', '"timeout_ms": 1e300').encode(),
            table.replace('"attempts": 2', '"attempts": ' + "9" * 30).encode(),
        ):
            raw.put_raw("config", stored(b'"main"', content))
            await asyncio.sleep(0.1)
            assert (await world.call("/read/x"))[0] == 200
        assert world.router.shared_state.routes is not None
        assert world.router.shared_state.routes.table.version == 1


class TestOutage:
    """Guard against an engine that is used although its entry became odd during an outage."""

    async def test_entry_that_became_odd_in_an_outage_names_no_engine(
        self, raw: RawStore, world: PlatformWorld, store: PlatformStore
    ) -> None:
        await world.start(engines=2)
        state = world.router.shared_state
        raw.items[KIND] = [stored(b'"i-0"', b"null", revision=b"99")]
        raw.revision = 99
        listing = await store.list_state(StateKind.ENDPOINTS)
        end_outage(state)
        state.apply_listing(StateKind.ENDPOINTS, listing, asked_seconds=time.monotonic())
        # The entry that is missing may still come back.
        assert [e.endpoint_id for e in state.directory.all_endpoints()] == ["i-1"]

    async def test_entry_that_a_watch_reports_as_odd_after_an_outage_names_no_engine(
        self, world: PlatformWorld
    ) -> None:
        await world.start(engines=2)
        state = world.router.shared_state
        end_outage(state)
        events = (
            StateEvent(name="i-0", item=None, malformed=True),
            StateEvent(name="i-1", item=None),
        )
        changes = StateChanges(events=events, revision=StoreRevision(1, 10**6))
        state.apply_changes(StateKind.ENDPOINTS, changes)
        # The entry that was removed may still come back.
        assert [e.endpoint_id for e in state.directory.all_endpoints()] == ["i-1"]


class TestLog:
    """Guard against a log that each listing fills with the same entries."""

    async def test_odd_entry_is_logged_once_for_each_change(
        self, raw: RawStore, store: PlatformStore, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        lines: list[dict[str, Any]] = []
        monkeypatch.setattr(
            _malformed_entries, "log_event", lambda event, **fields: lines.append(fields)
        )
        raw.items[KIND] = [ODD_ENTRIES["slots: 100,000 lists"], ODD_ENTRIES["missing meta"]]
        for _ in range(3):
            await store.list_state(StateKind.ENDPOINTS)
        assert [line["name"] for line in lines] == ["i-odd", None]
        raw.items[KIND][0] = stored(b'"i-odd"', b"null", revision=b"3")
        await store.list_state(StateKind.ENDPOINTS)
        assert [line["name"] for line in lines] == ["i-odd", None, "i-odd"]
        assert all(len(line["content"]) <= 200 for line in lines)
