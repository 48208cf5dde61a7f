"""Define the protocol between processes, with conversions to and from the core's types."""

from egretrouter.protocol._answers import (
    decode_body,
    decode_head,
    encode_body,
    encode_frame,
    encode_head,
)
from egretrouter.protocol._copies import (
    decode_chunk,
    decode_notice,
    encode_notice,
    encode_refusal,
)

__all__ = [
    "decode_body",
    "decode_chunk",
    "decode_head",
    "decode_notice",
    "encode_body",
    "encode_frame",
    "encode_head",
    "encode_notice",
    "encode_refusal",
]
