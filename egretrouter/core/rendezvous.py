"""Rank members by rendezvous hashing."""

import heapq
from collections.abc import Iterable

import xxhash

from egretrouter.core.identifiers import InstanceId


def rendezvous_weight(key: str, member: InstanceId) -> int:
    """Return the weight of a member for a key; the highest weight ranks first."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())


def highest_ranked(key: str, members: Iterable[InstanceId], count: int) -> list[InstanceId]:
    """Return the members that rank highest for a key, best first."""
    return heapq.nlargest(count, members, key=lambda m: (rendezvous_weight(key, m), m))
