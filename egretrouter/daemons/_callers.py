"""Handle the HTTP requests of callers."""

import asyncio
import functools
import time
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from aiohttp import web
from eliot import log_message, start_action

from egretrouter.core.calls import AttemptRules, check_key, is_idempotent
from egretrouter.core.configuration import (
    Configuration,
    ModelServiceFile,
    PlainServiceFile,
)
from egretrouter.core.errors import Outcome, ValidationError
from egretrouter.core.identifiers import CallId, ServiceName, WorkspaceId
from egretrouter.core.limits import LimitReason
from egretrouter.core.routing import RouteRequest, ServiceCatalog
from egretrouter.core.settings import CallerLimits
from egretrouter.daemons._call_driver import CallDriver
from egretrouter.daemons._caller_stream import CallerState, CallerStream
from egretrouter.daemons._endpoint import forwarded_headers
from egretrouter.daemons._metrics import RouterMetrics
from egretrouter.daemons._requests import (
    CHARACTERS_PER_TOKEN,
    DEADLINE_HEADER,
    PRIORITY_HEADER,
    ForbiddenError,
    NotFoundError,
    RequestError,
    TooManyConnectionsError,
    TooManyStreamsError,
    WorkspaceAuthenticator,
    check_headers,
    hash_prompt_blocks,
    parse_model_body,
    read_body,
    read_positive_number,
    read_request_id,
    replace_model,
)
from egretrouter.daemons._routed_call import CallServices, RoutedCall
from egretrouter.daemons._service_admissions import CallRefused, ServiceAdmissions
from egretrouter.transport._problems import problem_response

REFUSAL_RETRY_SECONDS = 1.0
STOPPING_DETAIL = "this router is stopping; call another one"
MODEL_PATHS = frozenset({"/v1/chat/completions", "/v1/completions"})
# Request headers that the router does not forward to endpoints.
_ROUTER_HEADERS = frozenset({"authorization", "x-workspace", "expect", "accept-encoding"})


class CallerHandler:
    """Authenticate, admit and run the requests of callers on one router."""

    def __init__(
        self,
        *,
        services: CallServices,
        limits: CallerLimits,
        metrics: RouterMetrics,
        needs_tokens: bool = False,
    ) -> None:
        self._services = services
        self._limits = limits
        self._metrics = metrics
        self._catalog = ServiceCatalog(None)
        self._needs_tokens = needs_tokens
        self._authenticator = WorkspaceAuthenticator(None, needs_tokens=needs_tokens)
        self._configuration: Configuration | None = None
        self._admissions = ServiceAdmissions()
        self._drivers: set[CallDriver] = set()
        self._draining = False
        self.count_connections: Callable[[], int] = lambda: 0
        self.open_calls = 0
        self.open_requests = 0
        self.idle = asyncio.Event()
        self.idle.set()

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration to all later calls."""
        self._configuration = configuration
        self._catalog = ServiceCatalog(configuration)
        self._authenticator = WorkspaceAuthenticator(configuration, needs_tokens=self._needs_tokens)
        if self._authenticator.lacks_tokens:
            log_message("router:callers_refused", reason="no workspace has tokens")
        self._admissions.configure(configuration)

    def set_router_count(self, routers: int) -> None:
        """Set the number of routers that share the limits of the workspaces."""
        self._admissions.set_router_count(routers)

    def tick(self) -> None:
        """Refuse queued calls that can no longer meet their deadline."""
        self._admissions.tick()

    def drain(self) -> None:
        """Refuse new calls; the idle event is set once the last open request has its response."""
        self._draining = True

    def end_calls(self) -> None:
        """End every open call with the outcome that is known now."""
        self._draining = True
        self._admissions.fail_waiting(TooManyStreamsError(STOPPING_DETAIL))
        for driver in self._drivers:
            driver.stop()

    @property
    def ready(self) -> bool:
        """Return whether calls can be answered."""
        is_open = self._configuration is not None and not self._authenticator.lacks_tokens
        return is_open and not self._draining

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request and return the response."""
        self.open_requests += 1
        self.idle.clear()
        try:
            response = await self._dispatch_request(request)
        finally:
            self.open_requests -= 1
            if not self.open_requests:
                self.idle.set()
        if self._draining:
            response.force_close()
        return response

    async def _dispatch_request(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.method in ("GET", "HEAD"):
            if request.path == "/healthz":
                return web.json_response({"status": "ok"})
            if request.path == "/readyz":
                return self._report_readiness()
            if request.path == "/v1/models":
                return self._list_models()
        if request.method == "POST" and request.path in MODEL_PATHS:
            return await self._handle_with_problems(request, self._handle_model_call)
        return await self._handle_with_problems(request, self._handle_plain_call)

    def _report_readiness(self) -> web.Response:
        status = 200 if self.ready else 503
        generation = self._configuration.generation if self._configuration else 0
        return web.json_response({"ready": self.ready, "generation": generation}, status=status)

    def _list_models(self) -> web.Response:
        names = sorted(self._catalog.model_names())
        data = [{"id": name, "object": "model", "owned_by": "egretrouter"} for name in names]
        return web.json_response({"object": "list", "data": data})

    async def _handle_with_problems(
        self,
        request: web.BaseRequest,
        handler: Callable[[web.BaseRequest, str], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        """Run a handler, and answer its exceptions with problem documents."""
        request_id = read_request_id(request, fallback=uuid.uuid4().hex)
        try:
            self._check_accepting_calls()
            check_headers(request, limits=self._limits, connections=self.count_connections())
            return await handler(request, request_id)
        except RequestError as error:
            self._metrics.record_refusal(error.name)
            response = _refusal_response(
                error.status, error.name, str(error), request_id, REFUSAL_RETRY_SECONDS
            )
            if isinstance(error, TooManyConnectionsError):
                response.force_close()
            return response
        except ValidationError as error:
            return _refusal_response(400, "malformed-request", str(error), request_id, None)
        except CallRefused as refused:
            reason = refused.command.reason
            self._metrics.record_refusal(reason.value)
            return _refusal_response(
                503 if reason in _OVERLOAD_REASONS else 429,
                reason.value.replace("_", "-"),
                f"the call was refused by a limit: {reason.value}",
                request_id,
                refused.command.retry_after_seconds,
            )

    def _check_accepting_calls(self) -> None:
        if self._draining:
            raise TooManyStreamsError(STOPPING_DETAIL)
        if self.open_calls >= self._limits.max_streams:
            raise TooManyStreamsError(f"{self._limits.max_streams} calls are open already")

    async def _handle_model_call(
        self, request: web.BaseRequest, request_id: str
    ) -> web.StreamResponse:
        started = time.monotonic()
        workspace = self._authenticator.authenticate(request)
        limit_seconds = read_positive_number(
            request, DEADLINE_HEADER, default=self._limits.max_body_seconds
        )
        content = await read_body(
            request,
            limits=self._limits,
            limit_seconds=min(limit_seconds, self._longest_call_seconds()),
        )
        body = parse_model_body(content, limits=self._limits)
        target = self._catalog.find_model(body.model)
        if target is None:
            known = ", ".join(sorted(self._catalog.model_names()))
            raise NotFoundError(f"model {body.model[:80]!r} is unknown; known are: {known}")
        _check_allowed(target.service, workspace)
        content = replace_model(content, body, name=target.adapter or target.service.model)
        prompt = body.prompt_bytes()
        prompt_tokens = len(prompt) // CHARACTERS_PER_TOKEN
        route = RouteRequest(
            service=ServiceName(target.service.name),
            version_digest=target.version_digest if target.adapter is None else None,
            adapter=target.adapter,
            prompt_tokens=prompt_tokens,
            prompt_blocks=hash_prompt_blocks(prompt),
            request_bytes=len(content),
        )
        rules = AttemptRules(
            idempotent=True,
            hedged=not body.stream,
            # An adapter's answer also depends on the base version, which its digest does not cover.
            repeatable_answer=target.service.endpoint.resumes_streams and target.adapter is None,
        )
        call = self._build_call(
            request, request_id, workspace, target.service, content, route, rules, started
        )
        call = msgspec.structs.replace(call, priority=call.priority or body.priority)
        return await self._run_call(request, call, prompt_tokens + body.answer_tokens)

    def _longest_call_seconds(self) -> float:
        """Return how long a model request may take whose model is not known yet."""
        services = self._configuration.services.values() if self._configuration else ()
        deadlines = [s.deadline_seconds for s in services if s.kind == "model"]
        return max([self._limits.max_body_seconds, *deadlines])

    async def _handle_plain_call(
        self, request: web.BaseRequest, request_id: str
    ) -> web.StreamResponse:
        started = time.monotonic()
        workspace = self._authenticator.authenticate(request)
        service = self._catalog.find_plain_service(host=request.host, path=request.path)
        if service is None:
            raise NotFoundError(f"no service has host {request.host!r} or path {request.path!r}")
        _check_allowed(service, workspace)
        content = await read_body(
            request, limits=self._limits, limit_seconds=_allowed_seconds(request, service)
        )
        headers = {name.lower(): value for name, value in request.headers.items()}
        key = request.headers.get("Idempotency-Key")
        if key is not None:
            check_key(key)
        idempotent = is_idempotent(
            service, method=request.method, path=request.path_qs, headers=headers
        )
        rules = AttemptRules(idempotent=idempotent, keyed=key is not None and not idempotent)
        route = RouteRequest(service=ServiceName(service.name), request_bytes=len(content))
        call = self._build_call(
            request, request_id, workspace, service, content, route, rules, started
        )
        if rules.keyed:
            call = msgspec.structs.replace(call, idempotency_key=key)
        return await self._run_call(request, call, 0)

    def _build_call(
        self,
        request: web.BaseRequest,
        request_id: str,
        workspace: WorkspaceId,
        service: ModelServiceFile | PlainServiceFile,
        content: bytes,
        route: RouteRequest,
        rules: AttemptRules,
        started_seconds: float,
    ) -> RoutedCall:
        deadline_seconds = started_seconds + _allowed_seconds(request, service)
        left_seconds = max(0.0, deadline_seconds - time.monotonic())
        headers = [
            (name, value)
            for name, value in forwarded_headers(request.headers.items())
            if name.lower() not in _ROUTER_HEADERS and name.lower() != "x-request-id"
        ]
        return RoutedCall(
            call_id=CallId(uuid.uuid4().hex),
            request_id=request_id,
            workspace=workspace,
            method=request.method,
            path=request.path_qs,
            headers=(*headers, ("X-Request-Id", request_id)),
            content=content,
            route=msgspec.structs.replace(route, deadline_seconds=left_seconds),
            rules=rules,
            deadline_at_seconds=deadline_seconds,
            priority=int(read_positive_number(request, PRIORITY_HEADER, default=1.0)) - 1,
        )

    async def _run_call(
        self, request: web.BaseRequest, call: RoutedCall, tokens: int
    ) -> web.StreamResponse:
        self.open_calls += 1
        stream = CallerStream(
            request,
            call_id=call.call_id,
            request_id=call.request_id,
            is_draining=lambda: self._draining,
        )
        driver = CallDriver(call, services=self._services, stream=stream)
        driver.on_first_token = functools.partial(self._admissions.record_answer_started, call)
        arrived_seconds = time.monotonic()
        try:
            with start_action(
                action_type="router:call",
                call_id=call.call_id,
                request_id=call.request_id,
                service=call.route.service,
                workspace=call.workspace,
            ) as action:
                admitted = await self._admissions.admit(call, tokens=tokens)
                self._drivers.add(driver)
                await driver.run(urgent=admitted.urgent)
                action.add_success_fields(state=stream.state.value, bytes=driver.answer_bytes)
            return await stream.close()
        finally:
            self._drivers.discard(driver)
            self._release_call(call, driver, stream, arrived_seconds)

    def _release_call(
        self,
        call: RoutedCall,
        driver: CallDriver,
        stream: CallerStream,
        arrived_seconds: float,
    ) -> None:
        overloaded = stream.failure is not None and stream.failure.reason in _OVERLOAD_FAILURES
        self._admissions.release(call, overloaded=overloaded)
        self.open_calls -= 1
        self._metrics.record_call(
            service=call.route.service,
            outcome=_call_outcome(stream),
            seconds=time.monotonic() - arrived_seconds,
            first_token_seconds=driver.first_token_seconds,
        )

    def snapshot(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        return {
            "open_requests": self.open_requests,
            "open_calls": self.open_calls,
            "draining": self._draining,
            "admission": self._admissions.snapshot(),
        }


_OVERLOAD_REASONS = frozenset({LimitReason.QUEUE_FULL, LimitReason.DEADLINE})
_OVERLOAD_FAILURES = frozenset({"full", "deadline", "no_endpoint"})


def _call_outcome(stream: CallerStream) -> str:
    if stream.state is CallerState.FINISHED:
        return "answered"
    return stream.failure.outcome.value if stream.failure is not None else "refused"


def _allowed_seconds(
    request: web.BaseRequest, service: ModelServiceFile | PlainServiceFile
) -> float:
    """Return how long a call may take from its arrival to its answer."""
    wanted = read_positive_number(request, DEADLINE_HEADER, default=service.deadline_seconds)
    return min(wanted, service.deadline_seconds)


def _check_allowed(service: ModelServiceFile | PlainServiceFile, workspace: WorkspaceId) -> None:
    if service.workspaces and workspace not in service.workspaces:
        log_message("router:forbidden", service=service.name, workspace=workspace)
        raise ForbiddenError(f"workspace {workspace!r} may not use service {service.name!r}")


def _refusal_response(
    status: int, name: str, detail: str, request_id: str, retry_after_seconds: float | None
) -> web.Response:
    return problem_response(
        status=status,
        name=name,
        detail=detail,
        outcome=Outcome.NOT_RUN,
        request_id=request_id,
        retry_after_seconds=retry_after_seconds if status in (429, 503) else None,
    )
