"""Track the routers that own the shards of claims."""

import time
from collections.abc import Callable

from egretrouter.backends import InstanceState, ListedInstance
from egretrouter.core.calls import shard_owner
from egretrouter.core.identifiers import InstanceId
from egretrouter.core.membership import Member, MemberRole, Membership, MemberStatus

# A router that did not answer is skipped for this long, so that a paused owner does not delay
# each claim in its shards.
UNRESPONSIVE_SECONDS = 5.0


def build_router_id(instance_id: InstanceId, incarnation: int) -> InstanceId:
    """Return the id of a router in claims, which changes each time its process starts."""
    return InstanceId(f"{instance_id}#{incarnation}")


class ClaimRouters:
    """Derive the routers of all zones from membership, the instance list and their messages."""

    def __init__(
        self,
        *,
        membership: Membership,
        listed: Callable[[], tuple[ListedInstance, ...]],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._membership = membership
        self._listed = listed
        self._clock = clock
        self._incarnations: dict[InstanceId, int] = {}
        self._skipped_until_seconds: dict[InstanceId, float] = {}

    @property
    def own_id(self) -> InstanceId:
        """Return this router's id in claims."""
        own = self._membership.own
        return build_router_id(own.instance_id, own.incarnation)

    def record_router_id(self, router_id: str) -> None:
        """Record the incarnation of a router from the id in its message."""
        instance, _, number = router_id.rpartition("#")
        if instance and number.isascii() and number.isdecimal():
            instance_id, incarnation = InstanceId(instance), int(number)
            self._incarnations[instance_id] = max(
                incarnation, self._incarnations.get(instance_id, 0)
            )

    def record_unresponsive(self, instance_id: InstanceId) -> None:
        """Record that a router did not answer, so that it is skipped for a while."""
        self._skipped_until_seconds[instance_id] = self._clock() + UNRESPONSIVE_SECONDS

    def live_ids(self) -> frozenset[InstanceId]:
        """Return the ids of the routers whose claims need no query to the agent.

        The instance list has no incarnations, so a router of another zone counts only once it has
        sent a message. Until then its claims are settled with the agent, which is safe.
        """
        listed = self._listed_in_other_zones()
        incarnations = {
            i.instance_id: n for i in listed if (n := self._incarnations.get(i.instance_id))
        }
        self._incarnations = incarnations
        same_zone = {build_router_id(m.instance_id, m.incarnation) for m in self._zone_routers()}
        other_zones = {
            build_router_id(instance_id, number) for instance_id, number in incarnations.items()
        }
        return frozenset({self.own_id, *same_zone, *other_zones})

    def find_owner(self, shard: int) -> tuple[InstanceId, str] | None:
        """Return the id and address of the shard's owner, or None to place the claim locally."""
        own = self._membership.own
        addresses = {
            m.instance_id: m.address
            for m in (own, *self._zone_routers())
            if m.status is MemberStatus.ALIVE
        }
        for instance in self._listed_in_other_zones():
            if instance.state is InstanceState.LIVE:
                addresses[instance.instance_id] = instance.address
        owner = shard_owner(shard, frozenset(addresses))
        if owner is None or owner == own.instance_id:
            return None
        if self._clock() < self._skipped_until_seconds.get(owner, 0.0):
            return None
        return owner, addresses[owner]

    def count(self) -> int:
        """Return the number of routers that share the store's write rate."""
        return 1 + len(self._zone_routers()) + len(self._listed_in_other_zones())

    def _zone_routers(self) -> list[Member]:
        return [m for m in self._membership.members() if m.role is MemberRole.ROUTER]

    def _listed_in_other_zones(self) -> list[ListedInstance]:
        zone = self._membership.own.zone
        return [i for i in self._listed() if i.role == "router" and i.zone != zone]
