"""Order the numbers of a store that may come back from an older copy of itself.

Such a store counts its eras from 1 and gives numbers out again in a new one. A number is therefore
compared together with its era: one of a later era is higher than each of an earlier one. In the
first era, and for a store that tells none, the ordered number is the number itself.
"""

FIRST_ERA = 1
VERSION_BITS = 48
NUMBER_BITS = 32
"""With these, a number stays exact as a JSON number up to era 2,097,152."""


def order_version(version: int, *, era: int) -> int:
    """Return the version of an object such that later eras have higher versions."""
    return _base(era, VERSION_BITS) + version


def split_version(ordered: int) -> tuple[int, int]:
    """Return the era and the store's own version of an ordered version."""
    era, version = divmod(ordered, 1 << VERSION_BITS)
    return era + FIRST_ERA, version


def version_era(ordered: int) -> int:
    """Return the era of an ordered version."""
    return split_version(ordered)[0]


def lowest_number(era: int) -> int:
    """Return a number above all fencing numbers and generations of earlier eras."""
    return _base(era, NUMBER_BITS)


def _base(era: int, bits: int) -> int:
    return max(era - FIRST_ERA, 0) << bits
