"""Know the routers that claims of shards are forwarded to."""

import time
from collections.abc import Callable

from egretrouter.backends import InstanceState, ListedInstance
from egretrouter.core.calls import shard_owner
from egretrouter.core.identifiers import InstanceId
from egretrouter.core.membership import Member, MemberRole, Membership, MemberStatus

# A router that did not answer is passed over for this long, so that a paused owner does not
# delay each claim of its shards.
SILENCE_SECONDS = 5.0


def router_id_of(instance_id: InstanceId, incarnation: int) -> InstanceId:
    """Return the id of a router in claims, which is new at each start of its process."""
    return InstanceId(f"{instance_id}#{incarnation}")


class ClaimRouters:
    """Derive the routers of all zones from membership, the instance list and what they say."""

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
        self._heard: dict[InstanceId, int] = {}
        self._silent_until_seconds: dict[InstanceId, float] = {}

    @property
    def own_id(self) -> InstanceId:
        """Return the id that this router's claims carry."""
        own = self._membership.own
        return router_id_of(own.instance_id, own.incarnation)

    def heard(self, router_id: str) -> None:
        """Learn the incarnation of a router from a message that it sent."""
        instance, _, number = router_id.rpartition("#")
        if instance and number.isascii() and number.isdecimal():
            instance_id, incarnation = InstanceId(instance), int(number)
            self._heard[instance_id] = max(incarnation, self._heard.get(instance_id, 0))

    def silent(self, instance_id: InstanceId) -> None:
        """Pass over a router that did not answer."""
        self._silent_until_seconds[instance_id] = self._clock() + SILENCE_SECONDS

    def live_ids(self) -> frozenset[InstanceId]:
        """Return the ids of the routers whose claims need no question to the agent.

        The instance list does not tell incarnations. A router of another zone counts once it was
        heard; until then its agent is asked, which is safe.
        """
        listed = self._listed_elsewhere()
        heard = {i.instance_id: n for i in listed if (n := self._heard.get(i.instance_id))}
        self._heard = heard
        near = {router_id_of(m.instance_id, m.incarnation) for m in self._members()}
        far = {router_id_of(instance_id, number) for instance_id, number in heard.items()}
        return frozenset({self.own_id, *near, *far})

    def owner(self, shard: int) -> tuple[InstanceId, str] | None:
        """Return the id and address of the shard's owner, or None if it is this router."""
        own = self._membership.own
        addresses = {
            m.instance_id: m.address
            for m in (own, *self._members())
            if m.status is MemberStatus.ALIVE
        }
        for instance in self._listed_elsewhere():
            if instance.state is InstanceState.LIVE:
                addresses[instance.instance_id] = instance.address
        owner = shard_owner(shard, frozenset(addresses))
        if owner is None or owner == own.instance_id:
            return None
        if self._clock() < self._silent_until_seconds.get(owner, 0.0):
            return None
        return owner, addresses[owner]

    def count(self) -> int:
        """Return the number of routers that share the store's rate."""
        return 1 + len(self._members()) + len(self._listed_elsewhere())

    def _members(self) -> list[Member]:
        return [m for m in self._membership.members() if m.role is MemberRole.ROUTER]

    def _listed_elsewhere(self) -> list[ListedInstance]:
        zone = self._membership.own.zone
        return [i for i in self._listed() if i.role == "router" and i.zone != zone]
