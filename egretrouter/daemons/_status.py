"""Write the status of the zone to the store on behalf of all its processes."""

import time
from collections.abc import Callable
from typing import Any

from eliot import log_message
from mode import Service

from egretrouter.backends import ObjectStore
from egretrouter.core.configuration import ModelServiceFile
from egretrouter.core.errors import BackendError
from egretrouter.core.identifiers import ServiceName
from egretrouter.core.status import (
    StatusReporter,
    WriteEnded,
    WriteStatus,
    ZoneObserved,
    ZoneStatus,
    summarize_zone,
)
from egretrouter.daemons._control import ControlService

TICK_SECONDS = 1.0


class StatusService(Service):
    """Run the status reporter and execute its writes."""

    def __init__(
        self,
        *,
        control: ControlService,
        store: ObjectStore,
        wall_clock: Callable[[], float] = time.time,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        own = control.membership.own
        self.reporter = StatusReporter(instance_id=own.instance_id, zone=own.zone)
        self._control = control
        self._store = store
        self._wall_clock = wall_clock

    @Service.task
    async def _observe(self) -> None:
        while not self.should_stop:
            await self.sleep(TICK_SECONDS)
            observed = ZoneObserved(status=self._zone_status(), unix_seconds=self._wall_clock())
            now = time.monotonic()
            for command in self.reporter.handle(observed, now_seconds=now):
                ended = WriteEnded(written=await self._write(command))
                self.reporter.handle(ended, now_seconds=time.monotonic())

    def _zone_status(self) -> ZoneStatus:
        membership = self._control.membership
        own = membership.own
        state = self._control.configuration
        members = {
            member.instance_id: (member, membership.generation_of(member.instance_id))
            for member in membership.members()
        }
        members[own.instance_id] = (own, state.generation)
        configuration = state.configuration
        services = configuration.services.values() if configuration else ()
        halt_after_failures = {
            ServiceName(service.name): service.halt_after_failures
            for service in services
            if isinstance(service, ModelServiceFile)
        }
        return summarize_zone(own.zone, members, halt_after_failures=halt_after_failures)

    async def _write(self, command: WriteStatus) -> bool:
        try:
            await self._store.put(command.key, command.content)
        except BackendError as error:
            log_message("status:write_failed", error=type(error).__name__)
            return False
        return True
