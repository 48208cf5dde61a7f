"""Track the eras of the store, which rise when it comes back from a copy."""

from collections.abc import Callable

from egretrouter.direct._logs import log_event


class StoreEras:
    """Keep the newest era of the store that this process has heard of."""

    def __init__(self) -> None:
        self.newest: int | None = None
        """None until the store or a peer has named an era."""
        self.on_restored: list[Callable[[], None]] = []

    def hear(self, era: int | None, *, source: str) -> None:
        """Record an era that the store or a peer has named, and tell the listeners of a new one."""
        if era is None or (self.newest is not None and era <= self.newest):
            return
        last, self.newest = self.newest, era
        log_event("store:era_heard", era=era, last=last, source=source)
        if last is not None:
            for listener in self.on_restored:
                listener()

    def is_past(self, era: int) -> bool:
        """Return whether the store has come back from a copy since an era."""
        return self.newest is not None and era < self.newest
