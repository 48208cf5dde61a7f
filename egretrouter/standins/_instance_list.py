"""Stand in for the platform's instance list."""

import time

from aiohttp import web

from egretrouter.standins._base import Standin


class InstanceListStandin(Standin):
    """Serve the list of instances as it was lag_seconds ago."""

    def __init__(self, *, lag_seconds: float = 0.0) -> None:
        """Start with an empty list."""
        super().__init__()
        self.lag_seconds = lag_seconds
        self.reads = 0
        self._changes: list[tuple[float, str, dict[str, str] | None]] = []

    def add(
        self, instance_id: str, *, zone: str, role: str, address: str, state: str = "live"
    ) -> None:
        """Add an instance or replace its entry."""
        entry = {
            "instance_id": instance_id,
            "zone": zone,
            "role": role,
            "address": address,
            "state": state,
        }
        self._changes.append((time.monotonic(), instance_id, entry))

    def remove(self, instance_id: str) -> None:
        """Remove an instance from the list."""
        self._changes.append((time.monotonic(), instance_id, None))

    def _add_routes(self, router: web.UrlDispatcher) -> None:
        router.add_get("/instances", self._list)

    async def _list(self, request: web.Request) -> web.StreamResponse:
        self.reads += 1
        listed_at_seconds = time.monotonic() - self.lag_seconds
        entries: dict[str, dict[str, str]] = {}
        for changed_at_seconds, instance_id, entry in self._changes:
            if changed_at_seconds > listed_at_seconds:
                break
            if entry is None:
                entries.pop(instance_id, None)
            else:
                entries[instance_id] = entry
        return web.json_response({"instances": list(entries.values())})
