"""Admit the calls of one router to the services, within the limits of the workspaces."""

import asyncio
import time
from typing import Any

from egretrouter.core.configuration import Configuration
from egretrouter.core.identifiers import CallId, ServiceName, WorkspaceId
from egretrouter.core.limits import (
    Admission,
    CallAnswerStarted,
    CallArrived,
    CallReleased,
    LimitsChanged,
    LimitsCommand,
    LimitsMessage,
    LimitsTick,
    LiveRoutersCounted,
    RefuseCall,
    StartCall,
    WorkspaceLimits,
)
from egretrouter.daemons._routed_call import RoutedCall


class CallRefused(Exception):  # noqa: N818
    """A limit refused the call before it was sent to an endpoint."""

    def __init__(self, command: RefuseCall) -> None:
        self.command = command


class ServiceAdmissions:
    """Let calls wait until the admission of their service starts or refuses them."""

    def __init__(self) -> None:
        self._admissions: dict[ServiceName, Admission] = {}
        self._waiting: dict[CallId, asyncio.Future[StartCall]] = {}
        self._router_count = 1

    def configure(self, configuration: Configuration) -> None:
        """Apply the limits of a configuration to all later calls."""
        limits = LimitsChanged(
            workspaces=tuple(
                WorkspaceLimits(
                    workspace_id=WorkspaceId(workspace.name),
                    weight=workspace.weight,
                    requests_per_second=workspace.requests_per_second,
                    tokens_per_second=workspace.tokens_per_second,
                    concurrent_calls=workspace.concurrent_calls,
                )
                for workspace in configuration.deployment.workspaces
            )
        )
        for name in configuration.services:
            admission = self._admissions.setdefault(name, Admission())
            self._dispatch(admission, limits)
            self._dispatch(admission, LiveRoutersCounted(routers=self._router_count))

    def set_router_count(self, routers: int) -> None:
        """Set the number of routers that share the limits of the workspaces."""
        self._router_count = routers
        for admission in self._admissions.values():
            self._dispatch(admission, LiveRoutersCounted(routers=routers))

    def tick(self) -> None:
        """Refuse queued calls that can no longer meet their deadline."""
        for admission in self._admissions.values():
            self._dispatch(admission, LimitsTick())

    async def admit(self, call: RoutedCall, *, tokens: int) -> StartCall:
        """Wait until the call is admitted.

        Raises CallRefused if a limit refuses the call, or the error of fail_waiting.
        """
        future: asyncio.Future[StartCall] = asyncio.get_running_loop().create_future()
        self._waiting[call.call_id] = future
        try:
            self._dispatch(
                self._admissions[call.route.service],
                CallArrived(
                    call_id=call.call_id,
                    workspace_id=call.workspace,
                    tokens=tokens,
                    priority=call.priority,
                    deadline_seconds=call.deadline_at_seconds - time.monotonic(),
                ),
            )
            return await future
        finally:
            del self._waiting[call.call_id]

    def record_answer_started(self, call: RoutedCall, wait_seconds: float) -> None:
        """Record how long a call waited for the beginning of its answer."""
        self._dispatch(
            self._admissions[call.route.service],
            CallAnswerStarted(call_id=call.call_id, wait_seconds=wait_seconds),
        )

    def release(self, call: RoutedCall, *, overloaded: bool) -> None:
        """Record that a call has ended, and whether for want of an endpoint."""
        self._dispatch(
            self._admissions[call.route.service],
            CallReleased(call_id=call.call_id, overloaded=overloaded),
        )

    def fail_waiting(self, error: Exception) -> None:
        """End the wait of all calls that are not admitted yet with an error."""
        for future in self._waiting.values():
            if not future.done():
                future.set_exception(error)

    def _dispatch(self, admission: Admission, message: LimitsMessage) -> None:
        for command in admission.handle(message, now_seconds=time.monotonic()):
            self._resolve(command)

    def _resolve(self, command: LimitsCommand) -> None:
        future = self._waiting.get(command.call_id)
        if future is None or future.done():
            return
        if isinstance(command, RefuseCall):
            future.set_exception(CallRefused(command))
        else:
            future.set_result(command)

    def snapshot(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        return {name: admission.snapshot() for name, admission in self._admissions.items()}
