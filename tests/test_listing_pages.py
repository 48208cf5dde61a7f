"""Test listings of several pages between which objects change."""

from collections.abc import AsyncIterator

import aiohttp
import pytest
from egretrouter_platform._store import PlatformStore

from egretrouter.backends import StateKind
from egretrouter.core.direct import StoreRevision
from tests.platform_standins import StoreStandin


@pytest.fixture
async def standin() -> AsyncIterator[StoreStandin]:
    store = StoreStandin()
    await store.start()
    yield store
    await store.stop()


class TestChangesBetweenPages:
    """Guard against announcing a revision up to which a process does not know all changes."""

    async def test_listing_does_not_claim_a_name_that_came_after_its_page(
        self, standin: StoreStandin
    ) -> None:
        """Peers that took the state at the claimed revision never fetched the missed name."""
        missed_revision = 0

        def change() -> None:
            nonlocal missed_revision
            standin.after_page = lambda: None
            # Pages have two items: the first model's page was read, the last one's was not.
            missed_revision = standin.put("versions", "m1", {"model": "m1", "version": 2})
            standin.put("versions", "m3", {"model": "m3", "version": 2})

        for model in ("m1", "m2", "m3"):
            standin.put("versions", model, {"model": model, "version": 1})
        standin.after_page = change
        async with aiohttp.ClientSession() as session:
            store = PlatformStore(session, address=standin.address)
            listing = await store.list_state(StateKind.WEIGHTS)
        assert [getattr(item, "version", 0) for item in listing.items] == [1, 1, 2]
        assert listing.revision < StoreRevision(1, missed_revision)
        assert listing.content_revision < StoreRevision(1, missed_revision)
