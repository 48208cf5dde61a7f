"""Parse callers' requests and check them against the limits."""

import asyncio
import hashlib
import re

import msgspec
import xxhash
from aiohttp import web

from egretrouter.core.configuration import Configuration
from egretrouter.core.errors import ValidationError
from egretrouter.core.identifiers import WorkspaceId
from egretrouter.core.settings import CallerLimits
from egretrouter.transport import answer_expectation

BLOCK_CHARACTERS = 128
CHARACTERS_PER_TOKEN = 4
DEFAULT_ANSWER_TOKENS = 256
MAX_BLOCKS = 256
MAX_QUOTED_CHARACTERS = 40
DEADLINE_HEADER = "X-Request-Timeout-Seconds"
PRIORITY_HEADER = "X-Request-Priority"

_JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')
_REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}")


class RequestError(ValidationError):
    """A caller's request breaks a rule; it was not run."""

    status = 400
    name = "malformed-request"


class UnauthorizedError(RequestError):
    """The caller's token is missing or unknown."""

    status = 401
    name = "unauthorized"


class ForbiddenError(RequestError):
    """The caller's workspace may not use the service."""

    status = 403
    name = "service-not-allowed"


class NotFoundError(RequestError):
    """No service has the name, host or path that the request gives."""

    status = 404
    name = "service-not-found"


class TooLargeError(RequestError):
    """The body is larger than the limit."""

    status = 413
    name = "body-too-large"


class UnknownExpectationError(RequestError):
    """The caller expects something that the router does not know."""

    status = 417
    name = "unknown-expectation"


class SlowBodyError(RequestError):
    """The body did not arrive within the time of the call."""

    status = 408
    name = "slow-request"


class HeadersTooLargeError(RequestError):
    """The headers together are larger than the limit."""

    status = 431
    name = "headers-too-large"


class NoConfigurationError(RequestError):
    """The router has no configuration yet, so no workspace is defined."""

    status = 503
    name = "no-configuration"


class TooManyConnectionsError(RequestError):
    """As many connections as the limit allows are open; the response closes this one."""

    status = 503
    name = "too-many-connections"


class TooManyStreamsError(RequestError):
    """As many calls as the limit allows are open."""

    status = 503
    name = "too-many-streams"


class ModelBody(msgspec.Struct, frozen=True):
    """Represent the fields of a model request that routing uses."""

    model: str = ""
    prompt: str | list[object] | None = None
    messages: list[object] | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    priority: int = 0

    @property
    def answer_tokens(self) -> int:
        """Return the maximum number of tokens in the answer."""
        return self.max_completion_tokens or self.max_tokens or DEFAULT_ANSWER_TOKENS

    def prompt_bytes(self) -> bytes:
        """Return the prompt as the bytes that prefix matching compares."""
        if isinstance(self.prompt, str):
            return self.prompt.encode()
        return msgspec.json.encode(self.messages if self.messages is not None else self.prompt)


def parse_model_body(content: bytes, *, limits: CallerLimits) -> ModelBody:
    """Decode the body of a model request.

    Raises RequestError if it is not a JSON object of the expected shape or is nested too deeply.
    """
    check_json_depth(content, limit=limits.max_json_depth)
    try:
        return msgspec.json.decode(content, type=ModelBody)
    except msgspec.MsgspecError as error:
        raise RequestError(f"the body is no model request: {error}") from error


def replace_model(content: bytes, body: ModelBody, *, name: str) -> bytes:
    """Replace the model name, which may be a version or a service, by the engine's name."""
    if body.model == name:
        return content
    fields = msgspec.json.decode(content, type=dict[str, object])
    return msgspec.json.encode({**fields, "model": name})


def check_json_depth(content: bytes, *, limit: int) -> None:
    """Check how deeply a JSON text is nested.

    Raises RequestError above the limit.
    """
    depth = 0
    for byte in _JSON_STRING.sub(b"", content):
        if byte in b"[{":
            depth += 1
            if depth > limit:
                raise RequestError(f"the JSON body is nested deeper than {limit} levels")
        elif byte in b"]}":
            depth -= 1


def hash_prompt_blocks(prompt: bytes) -> tuple[int, ...]:
    """Hash the leading blocks of a prompt; each hash covers the prompt up to the block's end."""
    hasher = xxhash.xxh3_64()
    blocks = []
    for end in range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS):
        hasher.update(prompt[end - BLOCK_CHARACTERS : end])
        blocks.append(hasher.intdigest())
        if len(blocks) == MAX_BLOCKS:
            break
    return tuple(blocks)


def check_headers(request: web.BaseRequest, *, limits: CallerLimits, connections: int) -> None:
    """Check the size of the headers and the number of open connections.

    Raises HeadersTooLargeError or TooManyConnectionsError.
    """
    size = sum(len(name) + len(value) for name, value in request.raw_headers)
    if size > limits.max_header_bytes:
        raise HeadersTooLargeError(f"the headers are larger than {limits.max_header_bytes} bytes")
    if connections > limits.max_connections:
        raise TooManyConnectionsError(f"{limits.max_connections} connections are open already")


def read_request_id(request: web.BaseRequest, *, fallback: str) -> str:
    """Return the caller's request id if it is well formed, or else the fallback."""
    given = request.headers.get("X-Request-Id", "")
    return given if _REQUEST_ID.fullmatch(given) else fallback


def read_positive_number(request: web.BaseRequest, header: str, *, default: float) -> float:
    """Read a positive number from a header.

    Raises RequestError if the header holds anything else.
    """
    text = request.headers.get(header)
    if text is None:
        return default
    try:
        number = float(text)
    except ValueError:
        number = float("nan")
    if not 0 < number < float("inf"):
        raise RequestError(f"{header} is {text[:40]!r}; a number above 0 is accepted")
    return number


async def read_body(
    request: web.BaseRequest, *, limits: CallerLimits, limit_seconds: float
) -> bytes:
    """Read a request's body.

    Raises TooLargeError or SlowBodyError above a limit, or UnknownExpectationError.
    """
    if (request.content_length or 0) > limits.max_body_bytes:
        raise TooLargeError(f"the body is larger than {limits.max_body_bytes} bytes")
    try:
        async with asyncio.timeout(limit_seconds):
            if not await answer_expectation(request):
                expected = request.headers["Expect"][:MAX_QUOTED_CHARACTERS]
                raise UnknownExpectationError(f"Expect is {expected!r}; 100-continue is accepted")
            return await request.read()
    except TimeoutError as error:
        raise SlowBodyError(f"the body did not arrive within {limit_seconds:g} seconds") from error
    except web.HTTPRequestEntityTooLarge as error:
        raise TooLargeError(f"the body is larger than {limits.max_body_bytes} bytes") from error


class WorkspaceAuthenticator:
    """Identify the workspace of a request by its bearer token or header."""

    def __init__(self, configuration: Configuration | None, *, needs_tokens: bool = False) -> None:
        """Index the token digests of a configuration.

        With needs_tokens, all callers are refused while no workspace has a token.
        """
        self._needs_tokens = needs_tokens
        self._is_configured = configuration is not None
        workspaces = configuration.deployment.workspaces if configuration else ()
        self._names = [WorkspaceId(workspace.name) for workspace in workspaces]
        self._workspaces_by_digest = {
            digest: WorkspaceId(workspace.name)
            for workspace in workspaces
            for digest in workspace.token_sha256
        }

    @property
    def lacks_tokens(self) -> bool:
        """Return whether all callers are refused because no workspace has a token."""
        return self._needs_tokens and not self._workspaces_by_digest

    def authenticate(self, request: web.BaseRequest) -> WorkspaceId:
        """Return the caller's workspace.

        If no workspace has a token, the X-Workspace header names the workspace, and the first one
        is the default. Raises UnauthorizedError or NoConfigurationError.
        """
        if not self._is_configured:
            raise NoConfigurationError("the router has no configuration yet")
        if self.lacks_tokens:
            raise UnauthorizedError(
                "the callers' port is open beyond loopback, and no workspace has tokens"
            )
        if not self._workspaces_by_digest:
            named = WorkspaceId(request.headers.get("X-Workspace", ""))
            if named in self._names:
                return named
            if not named and self._names:
                return self._names[0]
            raise UnauthorizedError(f"workspace {named!r} is not in the configuration")
        scheme, _, token = request.headers.get("Authorization", "").partition(" ")
        digest = hashlib.sha256(token.strip().encode()).hexdigest()
        workspace = self._workspaces_by_digest.get(digest)
        if scheme.lower() != "bearer" or workspace is None:
            raise UnauthorizedError("the bearer token is missing or unknown")
        return workspace
