"""Track which endpoints are likely to have a prompt prefix cached, in bounded memory."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from egretrouter.core.identifiers import EndpointId


class PrefixIndex:
    """Map hashes of prompt blocks to the endpoints that have them cached.

    Each endpoint has an equal share of the entries and drops its least recently used one first,
    as engines do.
    """

    def __init__(self, *, limit_entries: int) -> None:
        """Initialize an empty index with a limit of entries over all endpoints."""
        self._limit_entries = limit_entries
        self._cached_blocks: dict[EndpointId, OrderedDict[int, None]] = {}
        self._holders: dict[int, dict[EndpointId, None]] = {}
        self._sequences: dict[EndpointId, int] = {}
        self.gaps = 0

    def __len__(self) -> int:
        return sum(len(cached_blocks) for cached_blocks in self._cached_blocks.values())

    def add_endpoint(self, endpoint_id: EndpointId) -> None:
        """Add an endpoint and trim the others to their new share of entries."""
        if endpoint_id not in self._cached_blocks:
            self._cached_blocks[endpoint_id] = OrderedDict()
            share = self._share()
            for other, cached_blocks in self._cached_blocks.items():
                if len(cached_blocks) > share:
                    self._trim(other, share)

    def remove_endpoint(self, endpoint_id: EndpointId) -> None:
        """Remove an endpoint with its entries and event sequence."""
        self._trim(endpoint_id, 0)
        self._cached_blocks.pop(endpoint_id, None)
        self._sequences.pop(endpoint_id, None)

    def clear_blocks(self, endpoint_id: EndpointId) -> None:
        """Remove an endpoint's entries after it lost its cache."""
        self._trim(endpoint_id, 0)

    def add_blocks(self, endpoint_id: EndpointId, blocks: Iterable[int]) -> None:
        """Record blocks as cached by an endpoint and most recently used."""
        cached_blocks = self._cached_blocks.get(endpoint_id)
        if cached_blocks is None:
            return
        for block in blocks:
            cached_blocks[block] = None
            cached_blocks.move_to_end(block)
            self._holders.setdefault(block, {})[endpoint_id] = None
        self._trim(endpoint_id, self._share())

    def remove_blocks(self, endpoint_id: EndpointId, blocks: Iterable[int]) -> None:
        """Record blocks as no longer cached by an endpoint."""
        cached_blocks = self._cached_blocks.get(endpoint_id, OrderedDict())
        for block in blocks:
            if block in cached_blocks:
                del cached_blocks[block]
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
        """Apply a cache event; an old one is ignored, a gap removes the older half of the entries.

        Events lost in a gap may have been evictions, and engines evict the least recently used
        blocks first.
        """
        if endpoint_id not in self._cached_blocks:
            return
        last_sequence = self._sequences.get(endpoint_id)
        if last_sequence is not None and sequence <= last_sequence:
            return
        self._sequences[endpoint_id] = sequence
        if last_sequence is not None and sequence > last_sequence + 1:
            self.gaps += 1
            self._trim(endpoint_id, len(self._cached_blocks[endpoint_id]) // 2)
        if cleared:
            self.clear_blocks(endpoint_id)
        self.remove_blocks(endpoint_id, evicted)
        self.add_blocks(endpoint_id, stored)

    def count_matched_blocks(self, endpoint_id: EndpointId, blocks: Sequence[int]) -> int:
        """Return how many leading blocks an endpoint is likely to have cached."""
        cached_blocks = self._cached_blocks.get(endpoint_id)
        if not cached_blocks:
            return 0
        for count in range(len(blocks), 0, -1):
            if blocks[count - 1] in cached_blocks:
                return count
        return 0

    def find_longest_holders(self, blocks: Sequence[int], *, limit: int) -> list[EndpointId]:
        """Return the endpoints with the longest cached prefixes, longest first."""
        found: dict[EndpointId, None] = {}
        for block in reversed(blocks):
            for endpoint_id in self._holders.get(block, ()):
                found[endpoint_id] = None
                if len(found) >= limit:
                    return list(found)
        return list(found)

    def _share(self) -> int:
        return max(1, self._limit_entries // max(1, len(self._cached_blocks)))

    def _trim(self, endpoint_id: EndpointId, entries: int) -> None:
        cached_blocks = self._cached_blocks.get(endpoint_id)
        while cached_blocks and len(cached_blocks) > entries:
            block, _ = cached_blocks.popitem(last=False)
            self._drop_holder(endpoint_id, block)

    def _drop_holder(self, endpoint_id: EndpointId, block: int) -> None:
        holders = self._holders.get(block)
        if holders is not None:
            holders.pop(endpoint_id, None)
            if not holders:
                del self._holders[block]
