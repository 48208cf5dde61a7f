"""Call a model engine over HTTP."""

from collections.abc import AsyncIterator

import aiohttp
import msgspec
from yarl import URL

from egretrouter.backends._http import Answer, HttpCaller
from egretrouter.backends._ports import EngineReport
from egretrouter.core.decoding import DECODE_ERRORS
from egretrouter.core.errors import (
    LostAnswerError,
    MalformedAnswerError,
    OrderError,
    StaleFencingNumberError,
)
from egretrouter.core.identifiers import Digest, EndpointId, ModelName, VersionName

MAX_REPORT_BYTES = 1024 * 1024


class _Refusal(msgspec.Struct, frozen=True):
    code: str
    message: str = ""


class _RefusalBody(msgspec.Struct, frozen=True):
    error: _Refusal


class HttpEngine:
    """Implement Engine over HTTP."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        *,
        base_url: str,
        endpoint_id: EndpointId,
        order_giver: str | None = None,
        timeout_seconds: float = 5.0,
        load_timeout_seconds: float = 600.0,
    ) -> None:
        """Limit loads to load_timeout_seconds and other requests to timeout_seconds."""
        self.endpoint_id = endpoint_id
        self._caller = HttpCaller(
            session,
            name=f"endpoint {endpoint_id}",
            base_url=base_url,
            timeout_seconds=timeout_seconds,
        )
        self._order_giver = order_giver
        self._load_timeout = aiohttp.ClientTimeout(total=load_timeout_seconds)

    async def report(self) -> EngineReport:
        """Return the loaded versions and the load of the engine."""
        url = self._caller.url("engine", "report")
        answer = await self._caller.read(url, max_bytes=MAX_REPORT_BYTES)
        if answer.status != 200:
            raise self._caller.unexpected_answer("GET", url, answer)
        try:
            return msgspec.json.decode(answer.content, type=EngineReport)
        except DECODE_ERRORS as error:
            raise MalformedAnswerError(
                f"endpoint {self.endpoint_id}: malformed report: {error}"
            ) from error

    async def load(
        self,
        *,
        model: ModelName,
        version: VersionName,
        manifest_digest: Digest,
        weights_digest: Digest,
        content: AsyncIterator[bytes],
        fencing_number: int,
        base_model: ModelName | None = None,
    ) -> None:
        """Send the content of a version for loading; the engine verifies its digest."""
        headers = self._headers(model, version, fencing_number)
        headers["X-Manifest-Digest"] = manifest_digest
        headers["X-Weights-Digest"] = weights_digest
        if base_model is not None:
            headers["X-Base-Model"] = base_model
        body = _ContentBody(content)
        url = self._caller.url("engine", "load")
        try:
            answer = await self._caller.write(
                "POST", url, headers=headers, data=body.iterate(), timeout=self._load_timeout
            )
        except LostAnswerError:
            if body.error is not None:
                raise body.error from None
            raise
        self._check(url, answer)

    async def unload(self, *, model: ModelName, version: VersionName, fencing_number: int) -> None:
        """Unload a version."""
        url = self._caller.url("engine", "unload")
        headers = self._headers(model, version, fencing_number)
        self._check(url, await self._caller.write("POST", url, headers=headers))

    def _headers(
        self, model: ModelName, version: VersionName, fencing_number: int
    ) -> dict[str, str]:
        headers = {
            "X-Model": model,
            "X-Version": version,
            "X-Fencing-Number": str(fencing_number),
        }
        if self._order_giver is not None:
            headers["X-Order-Giver"] = self._order_giver
        return headers

    def _check(self, url: URL, answer: Answer) -> None:
        if answer.status == 200:
            return
        try:
            refusal = msgspec.json.decode(answer.content, type=_RefusalBody).error
        except DECODE_ERRORS:
            raise self._caller.unexpected_answer("POST", url, answer) from None
        error_type = (
            StaleFencingNumberError if refusal.code == "stale_fencing_number" else OrderError
        )
        raise error_type(
            f"endpoint {self.endpoint_id} refused the order ({refusal.code}): {refusal.message}"
        )


class _ContentBody:
    """Iterate over content as a request body, and store the error that ends the iteration.

    aiohttp reports such an error as a failed connection, which would hide its cause. The engine
    receives an incomplete body in this case, so the order does not take effect.
    """

    def __init__(self, content: AsyncIterator[bytes]) -> None:
        self._content = content
        self.error: Exception | None = None

    async def iterate(self) -> AsyncIterator[bytes]:
        try:
            async for part in self._content:
                yield part
        except Exception as error:
            self.error = error
            raise
