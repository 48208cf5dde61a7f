"""Decide when a copy that failed may start again."""

from collections.abc import Hashable
from typing import Generic, TypeVar

import msgspec

from egretrouter.core.limits import Backoff

_Key = TypeVar("_Key", bound=Hashable)


class _Restart(msgspec.Struct, kw_only=True):
    failures: int = 0
    earliest_seconds: float = 0.0


class CopyRestarts(Generic[_Key]):
    """Delay each start after failures in a row by a time that grows to a bound.

    A wanted version is never given up, because what its sources send may be sound again soon.
    """

    def __init__(self, backoff: Backoff) -> None:
        """Start with no failures; the backoff sets the delays."""
        self._backoff = backoff
        self._restarts: dict[_Key, _Restart] = {}

    def may_start(self, key: _Key, *, now_seconds: float) -> bool:
        """Return whether a copy may start now."""
        restart = self._restarts.get(key)
        return restart is None or now_seconds >= restart.earliest_seconds

    def record_failure(self, key: _Key, *, now_seconds: float) -> None:
        """Delay the next start of a copy."""
        restart = self._restarts.setdefault(key, _Restart())
        restart.earliest_seconds = now_seconds + self._backoff.delay_seconds(restart.failures)
        restart.failures += 1

    def record_success(self, key: _Key) -> None:
        """Forget the failures of a copy that completed."""
        self._restarts.pop(key, None)
