"""Offer fixtures that several test modules use."""

from collections.abc import AsyncIterator

import aiohttp
import pytest


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as opened:
        yield opened
