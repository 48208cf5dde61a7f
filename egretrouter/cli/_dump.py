"""Fetch the state of a process from its operators' port."""

import json
from pathlib import Path
from typing import Any

import aiohttp

from egretrouter.cli._requests import get_content
from egretrouter.core.errors import BackendUnavailableError, MalformedAnswerError
from egretrouter.core.validation import read_content

STATE_PATH = "/debug/state"


async def fetch_state(
    session: aiohttp.ClientSession, url: str, *, token_file: Path | None, timeout_seconds: float
) -> Any:
    """Return the JSON value of GET /debug/state.

    Raises BackendUnavailableError, or MistakesError if the token file can't be read.
    """
    headers = {}
    if token_file is not None:
        token = read_content(token_file).decode("latin-1").strip()
        headers["Authorization"] = f"Bearer {token}"
    status, content = await get_content(
        session, url, STATE_PATH, headers=headers, timeout_seconds=timeout_seconds
    )
    if status != 200:
        raise BackendUnavailableError(f"{url}: GET {STATE_PATH} answered {status}")
    try:
        return json.loads(content)
    except (ValueError, RecursionError) as error:
        raise MalformedAnswerError(f"{url}: the state is not JSON: {error}") from error
