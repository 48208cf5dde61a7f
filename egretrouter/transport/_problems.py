"""Build RFC 9457 problem documents for failed calls."""

import json
import math

from aiohttp import web

from egretrouter.core.errors import Outcome

PROBLEM_TYPE_PREFIX = "urn:egretrouter:problem:"


def problem_response(
    *,
    status: int,
    name: str,
    detail: str,
    outcome: Outcome,
    request_id: str,
    retry_after_seconds: float | None = None,
) -> web.Response:
    """Build the response to a call that failed or was refused."""
    headers = {"X-Request-Id": request_id}
    if retry_after_seconds is not None and retry_after_seconds > 0:
        headers["Retry-After"] = str(math.ceil(retry_after_seconds))
    return web.Response(
        status=status,
        body=problem_body(
            status=status, name=name, detail=detail, outcome=outcome, request_id=request_id
        ),
        content_type="application/problem+json",
        headers=headers,
    )


def problem_body(
    *, status: int, name: str, detail: str, outcome: Outcome, request_id: str
) -> bytes:
    """Encode a problem document as JSON."""
    return json.dumps(
        {
            "type": PROBLEM_TYPE_PREFIX + name,
            "title": name.replace("-", " "),
            "status": status,
            "detail": detail,
            "outcome": outcome.value,
            "request_id": request_id,
        }
    ).encode()
