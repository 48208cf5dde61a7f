"""Take failing endpoints out of use for a time, down to a floor."""

from egretrouter.core.identifiers import EndpointId
from egretrouter.core.routing._messages import SelectorSettings


class _Record:
    __slots__ = ("consecutive_failures", "ejections", "until_seconds")

    def __init__(self) -> None:
        self.consecutive_failures = 0
        self.ejections = 0
        self.until_seconds = 0.0


class OutlierDetector:
    """Eject an endpoint after consecutive failures, for longer each time."""

    def __init__(self, settings: SelectorSettings) -> None:
        """Start with every endpoint in use."""
        self._settings = settings
        self._records: dict[EndpointId, _Record] = {}

    def forget(self, endpoint_id: EndpointId) -> None:
        """Drop an endpoint's record."""
        self._records.pop(endpoint_id, None)

    def succeeded(self, endpoint_id: EndpointId, *, now_seconds: float) -> None:
        """Count a success."""
        record = self._records.get(endpoint_id)
        if record is None:
            return
        record.consecutive_failures = 0
        quiet_seconds = now_seconds - record.until_seconds
        if quiet_seconds > self._settings.ejection_limit_seconds:
            del self._records[endpoint_id]

    def failed(
        self, endpoint_id: EndpointId, *, pool: list[EndpointId], now_seconds: float
    ) -> float | None:
        """Count a failure and return until when the endpoint is now ejected, if it is.

        The pool holds all endpoints of the service; a minimum share of it stays in use.
        """
        record = self._records.setdefault(endpoint_id, _Record())
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
        # One failure after the return ejects again; the endpoint proves itself by a success.
        record.consecutive_failures = self._settings.failures_to_eject - 1
        return record.until_seconds

    def is_ejected(self, endpoint_id: EndpointId, *, now_seconds: float) -> bool:
        """Tell whether an endpoint is out of use."""
        record = self._records.get(endpoint_id)
        return record is not None and now_seconds < record.until_seconds
