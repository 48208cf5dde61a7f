"""Provide fixtures that several test modules use."""

from collections.abc import AsyncIterator

import aiohttp
import pytest
from hypothesis import settings

# Seeds are fixed and examples have no deadline, so that runs are reproducible.
settings.register_profile("repeatable", derandomize=True, deadline=None)
settings.load_profile("repeatable")


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as opened:
        yield opened
