"""Limit the bytes taken from the origin and from shared links without a coordinator."""

from collections import deque
from collections.abc import Iterable

from egretrouter.core.identifiers import InstanceId

WINDOW_SECONDS = 60.0
MEMBERSHIP_LAG_SECONDS = 15.0
"""Assumed upper bound on the time until every member of a zone has seen a join.

A new agent waits this long in addition to the window.
"""
GRANT_SECONDS = 10.0


class OriginAllowance:
    """Limit one agent's origin fetches with a log of its spending over a sliding minute.

    A token bucket would allow a full burst plus a refill within one minute. The log keeps any
    60 s window within the agent's share, and the shares of a zone add up to the zone's share.
    """

    def __init__(
        self,
        *,
        zone_bytes_per_minute: int,
        instance_id: InstanceId,
        joined_seconds: float,
        hold_seconds: float = WINDOW_SECONDS + MEMBERSHIP_LAG_SECONDS,
        expected_members: int = 1,
    ) -> None:
        """Allow nothing for hold_seconds, since a predecessor may have spent the share."""
        self._zone_bytes_per_minute = zone_bytes_per_minute
        self._instance_id = instance_id
        self._held_until_seconds = joined_seconds + hold_seconds
        self._expected_members = expected_members
        self._last_seen_seconds: dict[InstanceId, float] = {instance_id: joined_seconds}
        self._live_members: set[InstanceId] = {instance_id}
        self._spent: deque[tuple[float, int]] = deque()
        self._granted: deque[tuple[float, int]] = deque()
        self._credits: list[tuple[float, int]] = []

    def set_members(self, members: Iterable[InstanceId], *, now_seconds: float) -> None:
        """Update the live members of the zone; departed members still count for 75 s."""
        for member in self._live_members:
            self._last_seen_seconds[member] = now_seconds
        self._live_members = set(members) | {self._instance_id}
        for member in self._live_members:
            self._last_seen_seconds[member] = now_seconds

    def set_zone_share(self, zone_bytes_per_minute: int, *, expected_members: int) -> None:
        """Replace the budget and the expected number of members of the zone."""
        self._zone_bytes_per_minute = zone_bytes_per_minute
        self._expected_members = expected_members

    def resume(self, *, now_seconds: float) -> None:
        """Allow nothing after a pause until the membership view is current again."""
        until = now_seconds + MEMBERSHIP_LAG_SECONDS
        self._held_until_seconds = max(self._held_until_seconds, until)
        self._credits.clear()

    def share_bytes(self, *, now_seconds: float) -> int:
        """Return the bytes that this agent may fetch in any minute; 0 during a hold."""
        if now_seconds < self._held_until_seconds:
            return 0
        horizon = now_seconds - WINDOW_SECONDS - MEMBERSHIP_LAG_SECONDS
        for member in [
            m
            for m, t in self._last_seen_seconds.items()
            if t < horizon and m not in self._live_members
        ]:
            del self._last_seen_seconds[member]
        return self._zone_bytes_per_minute // max(
            len(self._last_seen_seconds), self._expected_members
        )

    def available_bytes(self, *, now_seconds: float) -> int:
        """Return the bytes of this agent's share that are unspent now, without grants."""
        while self._spent and self._spent[0][0] <= now_seconds - WINDOW_SECONDS:
            self._spent.popleft()
        while self._granted and self._granted[0][0] <= now_seconds:
            self._granted.popleft()
        used = sum(size for _, size in self._spent) + sum(size for _, size in self._granted)
        return max(0, self.share_bytes(now_seconds=now_seconds) - used)

    def try_spend(self, size_bytes: int, *, now_seconds: float) -> bool:
        """Charge a fetch, including a repeated one, if grants and the share cover it."""
        self._credits = [credit for credit in self._credits if credit[0] > now_seconds]
        credit_bytes = sum(size for _, size in self._credits)
        own_bytes = max(0, size_bytes - credit_bytes)
        if own_bytes > self.available_bytes(now_seconds=now_seconds):
            return False
        self._use_credits(size_bytes - own_bytes)
        if own_bytes:
            self._spent.append((now_seconds, own_bytes))
        return True

    def grant(self, size_bytes: int, *, now_seconds: float) -> int:
        """Deduct up to size_bytes from this agent's share for a peer; return the bytes granted.

        The peer may spend the grant until it expires, so the bytes stay deducted until a minute
        after that. A grant lost in transit only reduces the total allowance.
        """
        granted = min(size_bytes, self.available_bytes(now_seconds=now_seconds))
        if granted > 0:
            until = now_seconds + GRANT_SECONDS + MEMBERSHIP_LAG_SECONDS + WINDOW_SECONDS
            self._granted.append((until, granted))
        return granted

    def receive_grant(self, size_bytes: int, *, now_seconds: float) -> None:
        """Add a peer's grant, valid for GRANT_SECONDS; it can't be granted to another peer."""
        self._credits.append((now_seconds + GRANT_SECONDS, size_bytes))

    def snapshot(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            "zone_bytes_per_minute": self._zone_bytes_per_minute,
            "members": len(self._last_seen_seconds),
            "spent_bytes": sum(size for _, size in self._spent),
            "given_bytes": sum(size for _, size in self._granted),
            "credit_bytes": sum(size for _, size in self._credits),
        }

    def _use_credits(self, size_bytes: int) -> None:
        rest: list[tuple[float, int]] = []
        for expires, size in self._credits:
            used = min(size, size_bytes)
            size_bytes -= used
            if size > used:
                rest.append((expires, size - used))
        self._credits = rest


class TokenBucket:
    """Limit the byte rate on one link."""

    def __init__(
        self, *, bytes_per_second: float, burst_bytes: int, level_bytes: float | None = None
    ) -> None:
        self._bytes_per_second = bytes_per_second
        self._burst_bytes = burst_bytes
        self._level_bytes = float(burst_bytes) if level_bytes is None else level_bytes
        self._updated_seconds: float | None = None

    def reserve(self, size_bytes: int, *, now_seconds: float, max_delay_seconds: float) -> float:
        """Take tokens and return the delay in seconds, or -1 if it would exceed the maximum."""
        if self._updated_seconds is not None:
            elapsed = max(0.0, now_seconds - self._updated_seconds)
            refilled = self._level_bytes + elapsed * self._bytes_per_second
            self._level_bytes = min(float(self._burst_bytes), refilled)
        self._updated_seconds = now_seconds
        delay = max(0.0, (size_bytes - self._level_bytes) / self._bytes_per_second)
        if delay > max_delay_seconds:
            return -1.0
        self._level_bytes -= size_bytes
        return delay

    def set_rate(self, bytes_per_second: float, *, burst_bytes: int) -> None:
        """Change the rate and cap the stored tokens at the new burst."""
        self._bytes_per_second = bytes_per_second
        self._burst_bytes = burst_bytes
        self._level_bytes = min(self._level_bytes, float(burst_bytes))
