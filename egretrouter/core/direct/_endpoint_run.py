"""Identify one lifetime of an endpoint."""

from typing import Self

import msgspec

from egretrouter.core.direct._records import Endpoint
from egretrouter.core.identifiers import EndpointId


class EndpointRun(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Identify one lifetime of an endpoint, which may start again under the same id."""

    endpoint_id: EndpointId
    started_ms: int

    @classmethod
    def of(cls, endpoint: Endpoint) -> Self:
        """Return the lifetime that an endpoint's registration belongs to."""
        return cls(endpoint_id=endpoint.endpoint_id, started_ms=endpoint.started_ms)
