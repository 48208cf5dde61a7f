"""Send requests to the operators' ports of processes."""

from collections.abc import Mapping

import aiohttp

from egretrouter.core.errors import BackendUnavailableError


async def get_content(
    session: aiohttp.ClientSession,
    url: str,
    path: str,
    *,
    headers: Mapping[str, str] | None = None,
    parameters: Mapping[str, str] | None = None,
    timeout_seconds: float,
) -> tuple[int, bytes]:
    """Return the status and the content of the answer to a GET request.

    Raises BackendUnavailableError if the process can't be asked or does not answer in time.
    """
    try:
        async with session.get(
            url + path,
            headers=headers,
            params=parameters,
            timeout=aiohttp.ClientTimeout(total=timeout_seconds),
            allow_redirects=False,
        ) as response:
            return response.status, await response.read()
    except (aiohttp.ClientError, TimeoutError) as error:
        reason = str(error) or "no answer in time"
        raise BackendUnavailableError(f"{url}: {reason}") from error
    except ValueError as error:
        raise BackendUnavailableError(f"{url}: the request can't be sent: {error}") from error
