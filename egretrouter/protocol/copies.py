"""Convert the messages that agents exchange while they copy weights."""

from collections.abc import Iterable

from egretrouter.core.identifiers import ChunkIndex, InstanceId
from egretrouter.core.weights import (
    AllowanceAsked,
    AllowanceReceived,
    Announce,
    AnswerOwner,
    AskAllowance,
    AskOwner,
    Busy,
    ChunkArrived,
    ChunkFailed,
    CopyMessage,
    FailureReason,
    GiveAllowance,
    Missing,
    OwnerAnswered,
    OwnerAsked,
    PeerAnnounced,
)
from egretrouter.protocol import egretrouter_pb2 as pb


def decode_chunk(reply: pb.ChunkReply, *, source: InstanceId, index: ChunkIndex) -> CopyMessage:
    """Decode a peer's reply to the request for a chunk."""
    if reply.status == pb.ChunkReply.CONTENT:
        return ChunkArrived(source=source, index=index, content=reply.content)
    reason: FailureReason = Missing()
    if reply.status == pb.ChunkReply.BUSY:
        reason = Busy(retry_after_seconds=reply.retry_after_seconds)
    return ChunkFailed(source=source, index=index, reason=reason)


def encode_refusal(reason: FailureReason) -> pb.ChunkReply:
    """Encode the reason why a peer is refused a chunk."""
    if isinstance(reason, Busy):
        return pb.ChunkReply(
            status=pb.ChunkReply.BUSY, retry_after_seconds=reason.retry_after_seconds
        )
    return pb.ChunkReply(status=pb.ChunkReply.MISSING)


def encode_notice(
    command: Announce | AskOwner | AnswerOwner | AskAllowance | GiveAllowance,
) -> pb.CopyNotice:
    """Encode a command of a copy as a message to another agent."""
    match command:
        case Announce(held=bytes() as held):
            return pb.CopyNotice(held=pb.HeldChunks(bitmap=held))
        case Announce():
            return pb.CopyNotice(added=pb.AddedChunks(indexes=command.added))
        case AskOwner():
            return pb.CopyNotice(question=pb.OwnerQuestion(indexes=command.indexes))
        case AnswerOwner():
            answer = pb.OwnerAnswer(
                asked=command.asked, held=command.held, fetching=command.fetching
            )
            return pb.CopyNotice(answer=answer)
        case AskAllowance():
            question = pb.AllowanceQuestion(size_bytes=command.size_bytes)
            return pb.CopyNotice(allowance_question=question)
        case GiveAllowance():
            grant = pb.AllowanceGrant(size_bytes=command.size_bytes)
            return pb.CopyNotice(allowance_grant=grant)


def decode_notice(notice: pb.CopyNotice) -> CopyMessage | None:
    """Decode a message of another agent, or return None if its kind is unknown here."""
    peer = InstanceId(notice.sender)
    match notice.WhichOneof("body"):
        case "held":
            return PeerAnnounced(peer=peer, held=notice.held.bitmap)
        case "added":
            return PeerAnnounced(peer=peer, added=_indexes(notice.added.indexes))
        case "question":
            return OwnerAsked(peer=peer, indexes=_indexes(notice.question.indexes))
        case "answer":
            return OwnerAnswered(
                peer=peer,
                asked=_indexes(notice.answer.asked),
                held=_indexes(notice.answer.held),
                fetching=_indexes(notice.answer.fetching),
            )
        case "allowance_question":
            return AllowanceAsked(peer=peer, size_bytes=notice.allowance_question.size_bytes)
        case "allowance_grant":
            return AllowanceReceived(peer=peer, size_bytes=notice.allowance_grant.size_bytes)
        case _:
            return None


def _indexes(numbers: Iterable[int]) -> tuple[ChunkIndex, ...]:
    return tuple(ChunkIndex(number) for number in numbers)
