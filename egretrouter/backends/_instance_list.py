"""Read the platform's instance list over HTTP."""

from collections.abc import Iterator

import aiohttp
import msgspec
from eliot import log_message

from egretrouter.backends._http import HttpCaller
from egretrouter.backends._ports import ListedInstance
from egretrouter.core.addresses import check_any_address
from egretrouter.core.decoding import DECODE_ERRORS, quote_content
from egretrouter.core.errors import MalformedAnswerError, ValidationError
from egretrouter.core.json_parts import split_list

MAX_LIST_BYTES = 16 * 1024 * 1024


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
            return list(_decode_instances(answer.content))
        except DECODE_ERRORS as error:
            raise MalformedAnswerError(f"instance list: malformed answer: {error}") from error


def _decode_instances(content: bytes) -> Iterator[ListedInstance]:
    """Yield the instances that can be read and reached; the others are logged."""
    for entry in split_list(content, "instances"):
        try:
            instance = msgspec.json.decode(entry, type=ListedInstance)
            check_any_address(instance.address)
        except (*DECODE_ERRORS, ValidationError) as error:
            log_message(
                "instance_list:entry_malformed", error=str(error), content=quote_content(entry)
            )
        else:
            yield instance
