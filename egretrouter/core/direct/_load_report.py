"""Define what an endpoint or its agent reports of the endpoint's load."""

import msgspec

from egretrouter.core.identifiers import ModelName


class LoadReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Carry the load that an endpoint or its agent reports."""

    running: int
    queued: int
    slots: int = 0
    pace: float = 1.0
    """How many times slower than its published profile the endpoint runs."""
    loading: bool = False
    """Whether the endpoint accepts no new calls until its weights are loaded."""
    versions: dict[ModelName, int] | None = None
    started_ms: int = 0
    leaving: bool = False
    """Whether the endpoint gets no new calls because it leaves."""
    slowdown: float = 1.0
    """How many times longer than usual work takes at the endpoint at the moment."""
