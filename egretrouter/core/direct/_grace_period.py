"""Decide which calls a stopping router may still send."""

import math

import msgspec


class GracePeriod(msgspec.Struct, frozen=True, kw_only=True):
    """Bound the calls of a router that is about to stop."""

    rotation_end_seconds: float
    """Until then the load balancer may send new connections, as it has not seen the stop yet."""
    stop_seconds: float
    """When the router ends the calls that are still in progress."""

    def may_send(
        self,
        *,
        ends_by_seconds: float,
        longest_seconds: float = math.inf,
        repeatable: bool = False,
        now_seconds: float,
    ) -> bool:
        """Return whether a call may be sent.

        A call that surely ends before the stop may always be sent. Until the load balancer has
        seen the stop, so may one that may run again and ends before it at the slowest pace in view:
        a refusal would cost the caller a retry at each planned stop. Its endpoint may grow slower,
        so a call that may run only once could be lost, which no saved retry makes good.
        """
        if ends_by_seconds <= self.stop_seconds:
            return True
        if not repeatable or now_seconds > self.rotation_end_seconds:
            return False
        return now_seconds + longest_seconds <= self.stop_seconds
