"""Order the states of a store that may come back from a copy."""

import msgspec


class StoreRevision(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Identify a state of the store by its era and its revision.

    When the store comes back from a copy its era rises, its revision goes back, and revisions are
    given out again. Only both together are in the order in which the store had its states.
    """

    era: int = 0
    revision: int = 0
