"""Read the platform's instance list over HTTP."""

import aiohttp
import msgspec

from egretrouter.backends._http import HttpCaller
from egretrouter.backends._ports import ListedInstance
from egretrouter.core.errors import MalformedAnswerError

MAX_LIST_BYTES = 16 * 1024 * 1024


class _Instances(msgspec.Struct, frozen=True):
    instances: list[ListedInstance]


class HttpInstanceList:
    """Implement InstanceList over HTTP."""

    def __init__(
        self, session: aiohttp.ClientSession, *, base_url: str, timeout_seconds: float = 5.0
    ) -> None:
        """Limit each request to timeout_seconds."""
        self._caller = HttpCaller(
            session, name="instance list", base_url=base_url, timeout_seconds=timeout_seconds
        )

    async def instances(self) -> list[ListedInstance]:
        """Return the instances that the platform lists."""
        url = self._caller.url("instances")
        answer = await self._caller.read(url, max_bytes=MAX_LIST_BYTES)
        if answer.status != 200:
            raise self._caller.unexpected_answer("GET", url, answer)
        try:
            return msgspec.json.decode(answer.content, type=_Instances).instances
        except ValueError as error:
            raise MalformedAnswerError(f"instance list: malformed answer: {error}") from error
