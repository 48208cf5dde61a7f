"""Name what decoders raise on content that others wrote."""

import msgspec

# Decoders raise RecursionError on content that is nested deeply, and OverflowError or ValueError on
# numbers and texts that Python can't represent.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError, OverflowError, ValueError)

MAX_QUOTED_CHARACTERS = 120


def quote_content(content: bytes | msgspec.Raw) -> str:
    """Return the start of a content for an error message or a log line."""
    return bytes(memoryview(content)[:MAX_QUOTED_CHARACTERS]).decode(errors="replace")
