"""Name what the distribution of weights can optimize."""

from enum import Enum


class Objective(Enum):
    """List what the distribution of weights can optimize."""

    TIME = "time"
    ORIGIN_BYTES = "origin-bytes"
