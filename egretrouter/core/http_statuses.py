"""Name the statuses that the answer to a call may have."""

FIRST_FINAL_STATUS = 200
LAST_STATUS = 599


def is_final_status(status: int) -> bool:
    """Return whether an HTTP answer to a call may have a status, which no interim answer has.

    An endpoint that sends another one is in trouble, or sends bytes that are no answer at all.
    """
    return FIRST_FINAL_STATUS <= status <= LAST_STATUS
