"""Ask a router where it would send a call, and format its answer."""

from collections.abc import Sequence

import aiohttp
import msgspec

from egretrouter.cli._requests import get_content
from egretrouter.core.decoding import DECODE_ERRORS
from egretrouter.core.direct import (
    ExplainedEndpoint,
    ExplainProblem,
    ExplainQuery,
    Explanation,
)
from egretrouter.core.errors import BackendUnavailableError, MalformedAnswerError, ValidationError

EXPLAIN_PATH = "/explain"
COLUMN_GAP = "  "
HEADINGS = ("ENDPOINT", "ZONE", "LOAD", "IN FLIGHT", "AGE", "VERSION", "STATE")
_REASONS = {
    "cold": "cold, and this router may send it no call now",
    "evacuated": "its zone is evacuated",
    "failing": "calls to it have just failed",
    "full": "no room for a call that is to start in time",
    "leaving": "it leaves",
    "outside_home": "outside the home regions",
    "paused": "it asked for a pause",
    "rate_limited": "at the rate that it accepts, or other routers own that",
    "silent": "its agent has stopped reporting",
    "version": "it does not hold the weights, or is loading",
}


class CallNotExplainedError(ValidationError):
    """The router has no route for the call, or does not know its key."""


async def fetch_explanation(
    session: aiohttp.ClientSession, url: str, query: ExplainQuery, *, timeout_seconds: float
) -> Explanation:
    """Return where a router would send a call now, and why.

    Raises CallNotExplainedError, BackendUnavailableError if the router can't be asked, or
    MalformedAnswerError.
    """
    values = msgspec.to_builtins(query)
    parameters = {name: str(value) for name, value in values.items() if value is not None}
    status, content = await get_content(
        session, url, EXPLAIN_PATH, parameters=parameters, timeout_seconds=timeout_seconds
    )
    if status != 200:
        raise _problem(url, status, content)
    try:
        return msgspec.json.decode(content, type=Explanation)
    except DECODE_ERRORS as error:
        raise MalformedAnswerError(f"{url}: the answer is no explanation: {error}") from error


def _problem(
    url: str, status: int, content: bytes
) -> BackendUnavailableError | CallNotExplainedError:
    try:
        problem = msgspec.json.decode(content, type=ExplainProblem)
    except DECODE_ERRORS:
        return BackendUnavailableError(f"{url}: GET {EXPLAIN_PATH} answered {status}")
    message = f"{url}: {problem.reason}"
    if problem.status >= 500:
        return BackendUnavailableError(message)
    return CallNotExplainedError(message)


def explanation_json(explanation: Explanation) -> str:
    """Format an explanation as one JSON object."""
    return msgspec.json.format(msgspec.json.encode(explanation, order="sorted"), indent=2).decode()


def explanation_lines(explanation: Explanation) -> list[str]:
    """Format an explanation as human-readable lines."""
    workspace = explanation.workspace or "none"
    lines = [
        f"router {explanation.router} in {explanation.zone}, "
        f"configuration {explanation.configuration}",
        f"route {explanation.route} ({explanation.kind.value}), service {explanation.service}, "
        f"workspace {workspace}, rank {explanation.rank}",
    ]
    if explanation.waiting_ahead is not None:
        lines.append(f"{explanation.waiting_ahead} calls wait before it")
    if explanation.endpoints:
        rows = [_row(endpoint, explanation) for endpoint in explanation.endpoints]
        lines += ["", *_table([HEADINGS, *sorted(rows)]), ""]
    else:
        lines.append("no endpoint of the service is registered")
    return [*lines, _decision_line(explanation)]


def _row(endpoint: ExplainedEndpoint, explanation: Explanation) -> tuple[str, ...]:
    load, version = endpoint.load, endpoint.version
    return (
        endpoint.endpoint_id,
        endpoint.zone,
        f"{load.expected_calls:g}/{load.slots}",
        str(load.in_flight),
        "-" if load.age_seconds is None else f"{load.age_seconds:.2f} s",
        "-" if version is None else str(version),
        _describe(endpoint, explanation),
    )


def _describe(endpoint: ExplainedEndpoint, explanation: Explanation) -> str:
    if endpoint.endpoint_id == explanation.chosen:
        return "chosen"
    if endpoint.exclusion is None:
        return "candidate"
    return _REASONS.get(endpoint.exclusion, endpoint.exclusion)


def _decision_line(explanation: Explanation) -> str:
    refusal = explanation.refusal
    if refusal is None:
        version = "" if explanation.version is None else f", version {explanation.version}"
        return f"would be sent to {explanation.chosen}{version}"
    after = refusal.retry_after_seconds
    retry = "" if after is None else f"; Retry-After {after:.3f} s"
    return f"would be refused with {refusal.status}: {refusal.reason}{retry}"


def _table(rows: Sequence[tuple[str, ...]]) -> list[str]:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [
        COLUMN_GAP.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    ]
