"""Read the clock that also counts the time in which the machine was suspended."""

import time


def boot_seconds() -> float:
    """Return the seconds since the machine started, including its suspensions.

    The monotonic clock leaves suspensions out, so the age of a change that others made would not
    grow meanwhile.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def suspended_seconds() -> float:
    """Return for how long the machine has been suspended since it started, in all."""
    return boot_seconds() - time.monotonic()
