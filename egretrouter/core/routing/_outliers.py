"""Eject failing endpoints temporarily while keeping a minimum share in use."""

from egretrouter.core.identifiers import EndpointId
from egretrouter.core.routing._messages import SelectorSettings


class _FailureRecord:
    __slots__ = ("consecutive_failures", "ejections", "until_seconds")

    def __init__(self) -> None:
        self.consecutive_failures = 0
        self.ejections = 0
        self.until_seconds = 0.0


class OutlierDetector:
    """Eject an endpoint after consecutive failures, doubling the duration up to a limit."""

    def __init__(self, settings: SelectorSettings) -> None:
        """Initialize without ejected endpoints."""
        self._settings = settings
        self._records: dict[EndpointId, _FailureRecord] = {}

    def remove_endpoint(self, endpoint_id: EndpointId) -> None:
        """Remove the failure record of an endpoint."""
        self._records.pop(endpoint_id, None)

    def record_success(self, endpoint_id: EndpointId, *, now_seconds: float) -> None:
        """Reset the failure count; drop the record if its last ejection ended long ago."""
        record = self._records.get(endpoint_id)
        if record is None:
            return
        record.consecutive_failures = 0
        seconds_since_ejection = now_seconds - record.until_seconds
        if seconds_since_ejection > self._settings.ejection_limit_seconds:
            del self._records[endpoint_id]

    def record_failure(
        self, endpoint_id: EndpointId, *, pool: list[EndpointId], now_seconds: float
    ) -> float | None:
        """Count a failure and return the end of the ejection if this failure causes one.

        The pool holds all endpoints of the service; a minimum share of it stays in use.
        """
        record = self._records.setdefault(endpoint_id, _FailureRecord())
        record.consecutive_failures += 1
        if record.consecutive_failures < self._settings.failures_to_eject:
            return None
        if self.is_ejected(endpoint_id, now_seconds=now_seconds):
            return None
        in_use = sum(1 for e in pool if not self.is_ejected(e, now_seconds=now_seconds))
        if in_use - 1 < self._settings.minimum_in_use_share * len(pool):
            return None
        duration = self._settings.ejection_seconds * 2.0**record.ejections
        record.ejections = min(record.ejections + 1, 16)
        record.until_seconds = now_seconds + min(duration, self._settings.ejection_limit_seconds)
        # After the ejection a single failure ejects again, until a success resets the count.
        record.consecutive_failures = self._settings.failures_to_eject - 1
        return record.until_seconds

    def is_ejected(self, endpoint_id: EndpointId, *, now_seconds: float) -> bool:
        """Return whether an endpoint is ejected at the given time."""
        record = self._records.get(endpoint_id)
        return record is not None and now_seconds < record.until_seconds
