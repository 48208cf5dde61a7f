"""Serve the requests of other processes of the system."""

import json
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import grpc

from egretrouter.core.identifiers import Digest
from egretrouter.protocol import egretrouter_pb2 as pb
from egretrouter.protocol import egretrouter_pb2_grpc as pb_grpc

if TYPE_CHECKING:
    # A process imports only the services that it has.
    from egretrouter.daemons._claims import ClaimService
    from egretrouter.daemons._control import ControlService
    from egretrouter.daemons._copies import CopyService


class PeersServicer(pb_grpc.PeersServicer):
    """Pass peers' requests to the service that owns the state."""

    def __init__(self, *, dump: Callable[[], dict[str, Any]]) -> None:
        self.control: ControlService | None = None
        self.copies: CopyService | None = None
        self.claims: ClaimService | None = None
        self._dump = dump

    async def Gossip(self, request: pb.GossipMessage, context: Any) -> pb.GossipReply:  # noqa: N802
        """Process a gossip message."""
        if self.control is not None:
            self.control.handle_gossip(request)
        return pb.GossipReply()

    async def FetchConfiguration(  # noqa: N802
        self, request: pb.ConfigurationRequest, context: Any
    ) -> pb.ConfigurationReply:
        """Send the index and parts of the active generation."""
        if self.control is None:
            return pb.ConfigurationReply()
        return self.control.build_configuration_reply(request)

    async def FetchManifest(  # noqa: N802
        self, request: pb.ManifestRequest, context: Any
    ) -> pb.ManifestReply:
        """Send a manifest."""
        if self.copies is None:
            return pb.ManifestReply()
        return pb.ManifestReply(
            manifest=self.copies.manifest_content(Digest(request.manifest_digest))
        )

    async def NotifyCopy(  # noqa: N802
        self, request: pb.CopyNotice, context: Any
    ) -> pb.CopyNoticeReply:
        """Process a message from another agent's copy."""
        if self.copies is not None:
            self.copies.handle_notice(request)
        return pb.CopyNoticeReply()

    async def FetchChunk(self, request: pb.ChunkRequest, context: Any) -> pb.ChunkReply:  # noqa: N802
        """Send a chunk of weights."""
        if self.copies is None:
            return pb.ChunkReply(status=pb.ChunkReply.MISSING)
        return await self.copies.handle_chunk_request(request, context)

    async def ForwardClaim(self, request: pb.ClaimRequest, context: Any) -> pb.ClaimReply:  # noqa: N802
        """Place or end a claim that another router forwards."""
        if self.claims is None:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "this process takes no claims")
        assert self.claims is not None
        return await self.claims.handle_claim_request(request)

    async def DumpState(self, request: pb.DumpRequest, context: Any) -> pb.DumpReply:  # noqa: N802
        """Send the state of this process."""
        return pb.DumpReply(state=json.dumps(self._dump(), default=str).encode())
