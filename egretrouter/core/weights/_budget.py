"""Bound the bytes taken from the origin and from shared links without a coordinator."""

from collections import deque
from collections.abc import Iterable

from egretrouter.core.identifiers import InstanceId

WINDOW_SECONDS = 60.0
VIEW_LAG_SECONDS = 15.0
"""Longest time assumed until a zone knows of a join; a newcomer waits it out on top."""
GRANT_SECONDS = 10.0


class OriginAllowance:
    """Hold one agent's part of the origin budget as a log over a sliding minute.

    A token bucket would let a full burst and a refill fall into one minute. The log makes any
    60 s window stay within the share, and the shares of one zone add up to the zone's share.
    """

    def __init__(
        self,
        *,
        zone_bytes_per_minute: int,
        instance_id: InstanceId,
        joined_seconds: float,
        hold_seconds: float = WINDOW_SECONDS + VIEW_LAG_SECONDS,
        expected_members: int = 1,
    ) -> None:
        """Hold back for hold_seconds, since a predecessor may have spent the share."""
        self._zone_bytes_per_minute = zone_bytes_per_minute
        self._instance_id = instance_id
        self._held_until_seconds = joined_seconds + hold_seconds
        self._expected_members = expected_members
        self._seen: dict[InstanceId, float] = {instance_id: joined_seconds}
        self._live: set[InstanceId] = {instance_id}
        self._spent: deque[tuple[float, int]] = deque()
        self._given: deque[tuple[float, int]] = deque()
        self._credits: list[tuple[float, int]] = []

    def set_members(self, members: Iterable[InstanceId], *, now_seconds: float) -> None:
        """Note the members of the zone in view; those that vanish count on for a minute."""
        for member in self._live:
            self._seen[member] = now_seconds
        self._live = set(members) | {self._instance_id}
        for member in self._live:
            self._seen[member] = now_seconds

    def set_zone_share(self, zone_bytes_per_minute: int, *, expected_members: int) -> None:
        """Put another budget in force."""
        self._zone_bytes_per_minute = zone_bytes_per_minute
        self._expected_members = expected_members

    def resume(self, *, now_seconds: float) -> None:
        """Hold back after a pause until the view of the zone is fresh again."""
        until = now_seconds + VIEW_LAG_SECONDS
        self._held_until_seconds = max(self._held_until_seconds, until)
        self._credits.clear()

    def share_bytes(self, *, now_seconds: float) -> int:
        """Return the bytes this agent may take in any minute."""
        if now_seconds < self._held_until_seconds:
            return 0
        horizon = now_seconds - WINDOW_SECONDS - VIEW_LAG_SECONDS
        for member in [m for m, t in self._seen.items() if t < horizon and m not in self._live]:
            del self._seen[member]
        return self._zone_bytes_per_minute // max(len(self._seen), self._expected_members)

    def available_bytes(self, *, now_seconds: float) -> int:
        """Return the bytes that may be taken now from the own share."""
        while self._spent and self._spent[0][0] <= now_seconds - WINDOW_SECONDS:
            self._spent.popleft()
        while self._given and self._given[0][0] <= now_seconds:
            self._given.popleft()
        used = sum(size for _, size in self._spent) + sum(size for _, size in self._given)
        return max(0, self.share_bytes(now_seconds=now_seconds) - used)

    def try_spend(self, size_bytes: int, *, now_seconds: float) -> bool:
        """Charge a fetch, first or repeated, if the allowance covers it."""
        self._credits = [credit for credit in self._credits if credit[0] > now_seconds]
        credit_bytes = sum(size for _, size in self._credits)
        own_bytes = max(0, size_bytes - credit_bytes)
        if own_bytes > self.available_bytes(now_seconds=now_seconds):
            return False
        self._use_credits(size_bytes - own_bytes)
        if own_bytes:
            self._spent.append((now_seconds, own_bytes))
        return True

    def give(self, size_bytes: int, *, now_seconds: float) -> int:
        """Take up to size_bytes out of the own share for a neighbour and return how many.

        The neighbour may spend the grant until it expires, so the giver stays charged until a
        minute after that. A lost grant only loses allowance.
        """
        given = min(size_bytes, self.available_bytes(now_seconds=now_seconds))
        if given > 0:
            until = now_seconds + GRANT_SECONDS + VIEW_LAG_SECONDS + WINDOW_SECONDS
            self._given.append((until, given))
        return given

    def receive(self, size_bytes: int, *, now_seconds: float) -> None:
        """Add a neighbour's grant, valid for GRANT_SECONDS; it can't be passed on."""
        self._credits.append((now_seconds + GRANT_SECONDS, size_bytes))

    def snapshot(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            "zone_bytes_per_minute": self._zone_bytes_per_minute,
            "members": len(self._seen),
            "spent_bytes": sum(size for _, size in self._spent),
            "given_bytes": sum(size for _, size in self._given),
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
    """Pace the bytes put on one link."""

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
        """Put another rate in force."""
        self._bytes_per_second = bytes_per_second
        self._burst_bytes = burst_bytes
        self._level_bytes = min(self._level_bytes, float(burst_bytes))
