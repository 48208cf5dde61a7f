"""Remember which endpoint is likely to hold which prompt prefix, in bounded memory."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from egretrouter.core.identifiers import EndpointId


class PrefixIndex:
    """Map hashes of prompt blocks to the endpoints that hold them.

    Each endpoint has an equal share of the entries and drops its least recently used one first,
    as engines do.
    """

    def __init__(self, *, limit_entries: int) -> None:
        """Bound the entries over all endpoints."""
        self._limit_entries = limit_entries
        self._held: dict[EndpointId, OrderedDict[int, None]] = {}
        self._holders: dict[int, dict[EndpointId, None]] = {}
        self._sequences: dict[EndpointId, int] = {}
        self.gaps = 0

    def __len__(self) -> int:
        return sum(len(held) for held in self._held.values())

    def add_endpoint(self, endpoint_id: EndpointId) -> None:
        """Give an endpoint its share of the entries."""
        if endpoint_id not in self._held:
            self._held[endpoint_id] = OrderedDict()
            share = self._share()
            for other, held in self._held.items():
                if len(held) > share:
                    self._trim(other, share)

    def forget(self, endpoint_id: EndpointId) -> None:
        """Drop everything about an endpoint."""
        self._trim(endpoint_id, 0)
        self._held.pop(endpoint_id, None)
        self._sequences.pop(endpoint_id, None)

    def clear(self, endpoint_id: EndpointId) -> None:
        """Drop an endpoint's entries after it lost its cache."""
        self._trim(endpoint_id, 0)

    def store(self, endpoint_id: EndpointId, blocks: Iterable[int]) -> None:
        """Note that an endpoint holds these blocks and used them last."""
        held = self._held.get(endpoint_id)
        if held is None:
            return
        for block in blocks:
            held[block] = None
            held.move_to_end(block)
            self._holders.setdefault(block, {})[endpoint_id] = None
        self._trim(endpoint_id, self._share())

    def remove(self, endpoint_id: EndpointId, blocks: Iterable[int]) -> None:
        """Note that an endpoint no longer holds these blocks."""
        held = self._held.get(endpoint_id, OrderedDict())
        for block in blocks:
            if block in held:
                del held[block]
                self._drop_holder(endpoint_id, block)

    def apply_event(
        self,
        endpoint_id: EndpointId,
        *,
        sequence: int,
        stored: Sequence[int],
        evicted: Sequence[int],
        cleared: bool,
    ) -> None:
        """Apply a cache event; an old one is ignored, a gap drops the older half.

        The events lost in a gap may have been evictions, which engines make from the least
        recently used end.
        """
        if endpoint_id not in self._held:
            return
        last = self._sequences.get(endpoint_id)
        if last is not None and sequence <= last:
            return
        self._sequences[endpoint_id] = sequence
        if last is not None and sequence > last + 1:
            self.gaps += 1
            self._trim(endpoint_id, len(self._held[endpoint_id]) // 2)
        if cleared:
            self.clear(endpoint_id)
        self.remove(endpoint_id, evicted)
        self.store(endpoint_id, stored)

    def matched_blocks(self, endpoint_id: EndpointId, blocks: Sequence[int]) -> int:
        """Return how many leading blocks an endpoint is likely to hold."""
        held = self._held.get(endpoint_id)
        if not held:
            return 0
        for count in range(len(blocks), 0, -1):
            if blocks[count - 1] in held:
                return count
        return 0

    def longest_holders(self, blocks: Sequence[int], *, limit: int) -> list[EndpointId]:
        """Return endpoints that hold the longest known prefixes, longest first."""
        found: dict[EndpointId, None] = {}
        for block in reversed(blocks):
            for endpoint_id in self._holders.get(block, ()):
                found[endpoint_id] = None
                if len(found) >= limit:
                    return list(found)
        return list(found)

    def _share(self) -> int:
        return max(1, self._limit_entries // max(1, len(self._held)))

    def _trim(self, endpoint_id: EndpointId, entries: int) -> None:
        held = self._held.get(endpoint_id)
        while held and len(held) > entries:
            block, _ = held.popitem(last=False)
            self._drop_holder(endpoint_id, block)

    def _drop_holder(self, endpoint_id: EndpointId, block: int) -> None:
        holders = self._holders.get(block)
        if holders is not None:
            holders.pop(endpoint_id, None)
            if not holders:
                del self._holders[block]
