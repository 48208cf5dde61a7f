"""Share service fairly between workspaces, and measure how often calls are served."""

from collections.abc import Container

from egretrouter.core.identifiers import WorkspaceId

# Weight of the newest interval in the moving average.
INTERVAL_SMOOTHING = 0.1


class FairShares:
    """Track the virtual times of workspaces by start-time fair queueing.

    The virtual time of a workspace advances by 1 / weight per call served, and the workspace with
    the lowest one is served next. An idle workspace accumulates no credit.
    """

    def __init__(self) -> None:
        self._virtual_time = 0.0
        self._times: dict[WorkspaceId, float] = {}

    def begin(self, workspace_id: WorkspaceId) -> None:
        """Record that a workspace has calls waiting again."""
        self._times[workspace_id] = self.virtual_time(workspace_id)

    def virtual_time(self, workspace_id: WorkspaceId) -> float:
        """Return the virtual time of a workspace, or the one that it would begin to wait with."""
        return max(self._times.get(workspace_id, 0.0), self._virtual_time)

    def waiting_virtual_time(self, workspace_id: WorkspaceId) -> float:
        """Return the virtual time of a workspace that has calls waiting.

        Raises KeyError if it is not known.
        """
        return self._times[workspace_id]

    def record_served(self, workspace_id: WorkspaceId, *, weight: int = 1) -> None:
        """Advance the virtual time of a workspace by one call."""
        served = self._times[workspace_id]
        self._virtual_time = max(self._virtual_time, served)
        self._times[workspace_id] = served + 1.0 / weight

    def remove_idle(self, waiting: Container[WorkspaceId]) -> None:
        """Remove the workspaces that neither wait nor have had more than their share."""
        for workspace_id, time in list(self._times.items()):
            if workspace_id not in waiting and time <= self._virtual_time:
                del self._times[workspace_id]


class AverageInterval:
    """Average the seconds between successive calls that are served while others wait."""

    def __init__(self, *, initial_seconds: float) -> None:
        """Start with an interval that counts until calls have been served."""
        self.seconds = initial_seconds
        self._last_seconds: float | None = None

    def record(self, *, now_seconds: float) -> None:
        """Record that a call is served."""
        last, self._last_seconds = self._last_seconds, now_seconds
        if last is not None:
            self.seconds += INTERVAL_SMOOTHING * (now_seconds - last - self.seconds)

    def begin(self, *, now_seconds: float) -> None:
        """Record that the first call waits."""
        self._last_seconds = now_seconds

    def pause(self, *, now_seconds: float) -> None:
        """Record that no call waits, so the time until the next one measures only demand."""
        self.seconds = self._average_seconds(now_seconds)
        self._last_seconds = None

    def estimate_seconds(self, calls: int, *, now_seconds: float) -> float:
        """Return the expected seconds until a number of further calls have been served.

        While none is served, the result is at least the time since the last one.
        """
        if not calls:
            return 0.0
        return max(self._elapsed_seconds(now_seconds), calls * self._average_seconds(now_seconds))

    def _average_seconds(self, now_seconds: float) -> float:
        # The time since the last call counts as one interval and is no lower bound of the others,
        # since capacity often becomes free for several calls at a time.
        longer = max(0.0, self._elapsed_seconds(now_seconds) - self.seconds)
        return self.seconds + INTERVAL_SMOOTHING * longer

    def _elapsed_seconds(self, now_seconds: float) -> float:
        return now_seconds - self._last_seconds if self._last_seconds is not None else 0.0
