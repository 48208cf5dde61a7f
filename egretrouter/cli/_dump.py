"""Fetch the state of a process from its operators' port."""

import json
from pathlib import Path
from typing import Any

import aiohttp

from egretrouter.core.errors import BackendUnavailableError, MalformedAnswerError
from egretrouter.core.validation import read_content


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
    try:
        async with session.get(
            f"{url}/debug/state",
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=timeout_seconds),
            allow_redirects=False,
        ) as response:
            content = await response.read()
    except (aiohttp.ClientError, TimeoutError) as error:
        reason = str(error) or "no answer in time"
        raise BackendUnavailableError(f"{url}: {reason}") from error
    except ValueError as error:
        raise BackendUnavailableError(f"{url}: the request can't be sent: {error}") from error
    if response.status != 200:
        raise BackendUnavailableError(f"{url}: GET /debug/state answered {response.status}")
    try:
        return json.loads(content)
    except (ValueError, RecursionError) as error:
        raise MalformedAnswerError(f"{url}: the state is not JSON: {error}") from error
