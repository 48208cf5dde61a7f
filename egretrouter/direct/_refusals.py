"""Build error responses for calls without an answer from an endpoint."""

import asyncio

from aiohttp import web
from multidict import CIMultiDict

from egretrouter.core.errors import Outcome
from egretrouter.transport import answer_expectation, problem_response

BODY_TIMEOUT_SECONDS = 5.0

_PROBLEM_NAMES = {
    400: "malformed",
    401: "unauthorized",
    404: "no-route",
    408: "slow-request",
    413: "too-large",
    431: "headers-too-large",
    502: "no-whole-answer",
    503: "not-run",
    504: "timeout",
}


class Refusal(Exception):  # noqa: N818
    """A call is answered with an error by the router itself."""

    def __init__(
        self,
        status: int,
        reason: str,
        *,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_seconds: float | None = None,
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.outcome = outcome
        self.retry_after_seconds = retry_after_seconds


def problem_answer(refusal: Refusal, headers: CIMultiDict[str], call_id: str) -> web.Response:
    """Build the problem response for a refusal."""
    response = problem_response(
        status=refusal.status,
        name=_PROBLEM_NAMES.get(refusal.status, "failed"),
        detail=refusal.reason,
        outcome=refusal.outcome,
        request_id=call_id,
    )
    response.headers.extend(headers)
    if refusal.retry_after_seconds is not None:
        response.headers["Retry-After"] = f"{refusal.retry_after_seconds:.3f}"
    return response


def check_header_size(request: web.BaseRequest, limit_bytes: int) -> None:
    """Check the total size of a request's headers.

    Raises Refusal if it exceeds the limit.
    """
    size = sum(len(name) + len(value) + 4 for name, value in request.raw_headers)
    if size > limit_bytes:
        raise Refusal(431, f"the headers have {size} bytes, {limit_bytes} are allowed")


async def read_body(request: web.BaseRequest, *, limit_bytes: int, limit_seconds: float) -> bytes:
    """Read a request's body.

    Raises Refusal if it exceeds the limit or does not arrive in time.
    """
    if not request.body_exists:
        return b""
    content = bytearray()
    try:
        async with asyncio.timeout(min(limit_seconds, BODY_TIMEOUT_SECONDS)):
            # An expectation that is not known may be ignored.
            await answer_expectation(request)
            async for data in request.content.iter_any():
                content += data
                if len(content) > limit_bytes:
                    raise Refusal(413, f"the body has more than {limit_bytes} bytes")
    except TimeoutError as error:
        raise Refusal(408, "the body did not arrive in time") from error
    return bytes(content)
