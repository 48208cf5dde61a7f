"""Convert answer frames between protobuf messages and the core's types."""

from functools import singledispatch

from egretrouter.core.calls import (
    AnswerBody,
    AnswerData,
    AnswerEnd,
    AnswerFailure,
    AnswerHead,
)
from egretrouter.core.errors import Outcome, ProtocolError
from egretrouter.protocol import egretrouter_pb2 as pb


@singledispatch
def encode_body(body: AnswerBody, frame: pb.AnswerFrame) -> None:
    """Write the body of an answer into a frame."""
    raise TypeError(f"answer body of type {type(body).__name__} has no protobuf encoding")


@encode_body.register
def _(body: AnswerHead, frame: pb.AnswerFrame) -> None:
    frame.head.CopyFrom(encode_head(body))


@encode_body.register
def _(body: AnswerData, frame: pb.AnswerFrame) -> None:
    frame.data = body.data


@encode_body.register
def _(body: AnswerEnd, frame: pb.AnswerFrame) -> None:
    frame.end.total_bytes = body.total_bytes
    frame.end.checksum = body.checksum


@encode_body.register
def _(body: AnswerFailure, frame: pb.AnswerFrame) -> None:
    frame.failure.reason = body.reason
    frame.failure.outcome = body.outcome.value
    frame.failure.detail = body.detail
    frame.failure.retry_after_seconds = body.retry_after_seconds


def encode_frame(call_id: str, sequence: int, body: AnswerBody) -> pb.AnswerFrame:
    """Build a frame with a body."""
    frame = pb.AnswerFrame(call_id=call_id, sequence=sequence)
    encode_body(body, frame)
    return frame


def encode_head(head: AnswerHead) -> pb.AnswerHead:
    """Encode the head of an answer."""
    headers = [pb.Header(name=name, value=value) for name, value in head.headers]
    return pb.AnswerHead(status=head.status, headers=headers)


def decode_head(head: pb.AnswerHead) -> AnswerHead:
    """Decode the head of an answer."""
    return AnswerHead(status=head.status, headers=tuple((h.name, h.value) for h in head.headers))


def decode_body(frame: pb.AnswerFrame) -> AnswerBody:
    """Decode the body of a frame.

    Raises ProtocolError if the frame has no body of a known kind.
    """
    # Data frames are by far the most frequent, so they are checked first.
    kind = frame.WhichOneof("body")
    if kind == "data":
        return AnswerData(data=frame.data)
    if kind == "head":
        return decode_head(frame.head)
    if kind == "end":
        return AnswerEnd(total_bytes=frame.end.total_bytes, checksum=frame.end.checksum)
    if kind == "failure":
        failure = frame.failure
        return AnswerFailure(
            outcome=Outcome(failure.outcome),
            reason=failure.reason,
            detail=failure.detail,
            retry_after_seconds=failure.retry_after_seconds,
        )
    raise ProtocolError(f"frame {frame.sequence} of call {frame.call_id!r} has no known body")
