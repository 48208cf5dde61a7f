"""Hold the protocol between the system's processes and its conversions."""

from egretrouter.protocol._answers import (
    decode_body,
    decode_head,
    encode_body,
    encode_frame,
    encode_head,
)

__all__ = ["decode_body", "decode_head", "encode_body", "encode_frame", "encode_head"]
