"""Implement the state machine that copies one version of weights to one agent."""

from collections import Counter
from enum import Enum
from functools import singledispatchmethod
from random import Random

from egretrouter.core.errors import CorruptedChunkError, ManifestMismatchError, WeightsError
from egretrouter.core.identifiers import ChunkIndex, Digest, InstanceId
from egretrouter.core.weights._budget import OriginAllowance
from egretrouter.core.weights._chunk_memory import ChunkMemory
from egretrouter.core.weights._manifest import Manifest
from egretrouter.core.weights._messages import (
    ORIGIN,
    AllowanceAsked,
    AllowanceReceived,
    Busy,
    ChunkArrived,
    ChunkFailed,
    ChunkProgressed,
    ChunkRequested,
    CopyCommand,
    CopyCompleted,
    CopyHalted,
    CopyMessage,
    CopySettings,
    FetchManifest,
    GiveAllowance,
    Loaded,
    ManifestArrived,
    Missing,
    OwnerAnswered,
    OwnerAsked,
    Paused,
    PeerAnnounced,
    PeersChanged,
    QuarantineSource,
    Resumed,
    Superseded,
    Tick,
    UploadEnded,
    VerifyWeights,
    WeightsVerified,
)
from egretrouter.core.weights._ownership import Peer
from egretrouter.core.weights._planner import Planner
from egretrouter.core.weights._serving import LinkShares, PeerServer
from egretrouter.core.weights._transfers import SourceKind


class CopyState(Enum):
    """List the states of a weight copy."""

    DISCOVERING = "discovering"
    COPYING = "copying"
    PAUSED = "paused"
    VERIFYING = "verifying"
    COMPLETED = "completed"
    HALTED = "halted"
    SUPERSEDED = "superseded"
    ENDED = "ended"


FETCHING_STATES = (CopyState.DISCOVERING, CopyState.COPYING)
STOPPED_STATES = (CopyState.HALTED, CopyState.SUPERSEDED, CopyState.ENDED)


class WeightCopy:
    """Copy one version of weights to one agent, and serve its chunks to peers."""

    def __init__(
        self,
        *,
        manifest: Manifest,
        pinned_digest: Digest,
        own: Peer,
        memory: ChunkMemory,
        allowance: OriginAllowance,
        settings: CopySettings,
        random: Random,
        links: LinkShares | None = None,
    ) -> None:
        """Reserve memory and reuse chunks that are stored already.

        Raises ManifestMismatchError or WeightMemoryError.
        """
        if manifest.digest != pinned_digest:
            raise ManifestMismatchError(
                f"manifest has digest {manifest.digest}, but the configuration pins {pinned_digest}"
            )
        self._manifest, self._digest = manifest, pinned_digest
        self._memory, self._settings = memory, settings
        memory.reserve(pinned_digest, weight_bytes=manifest.weight_bytes)
        self._all_mask = (1 << len(manifest.chunks)) - 1
        self._held = memory.held(pinned_digest)
        self._planner = Planner(
            manifest=manifest,
            manifest_digest=pinned_digest,
            own=own,
            allowance=allowance,
            settings=settings,
            random=random,
        )
        self._sources, self._transfers = self._planner.sources, self._planner.transfers
        self._claims = self._planner.claims
        self._peer_server = PeerServer(
            settings=settings, links=links, chunk_count=len(manifest.chunks)
        )
        self._state = CopyState.DISCOVERING
        self._error: WeightsError | None = None
        self._peers_with_bitmap: set[InstanceId] = set()
        self._started_seconds: float | None = None
        self._copying_since_seconds = self._last_message_seconds = 0.0
        self._owned_fetch_due = True
        self._serve_until_seconds: float | None = None
        self._counts: Counter[str] = Counter()
        self._other_digest: Digest | None = None
        """The digest of a manifest of the origin that is not the pinned one, as last answered."""

    @property
    def state(self) -> CopyState:
        """Return the state of the copy."""
        return self._state

    @property
    def counts(self) -> dict[str, int]:
        """Return the chunks received by kind of source, and the failures by reason."""
        return dict(self._counts)

    def handle(self, message: CopyMessage, *, now_seconds: float) -> list[CopyCommand]:
        """Process a message and return the commands to execute."""
        if self._state in STOPPED_STATES:
            return self._handle_stopped(message)
        commands = self._start_or_restart(now_seconds)
        commands += self._handle_message(message, now_seconds)
        if self._state in FETCHING_STATES:
            commands += self._plan(now_seconds)
        if self._state not in STOPPED_STATES:
            commands += self._peer_server.announce(
                self._incomplete_neighbours(), held=self._held, now_seconds=now_seconds
            )
        return commands

    def snapshot(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            "manifest_digest": self._digest,
            "state": self._state.value,
            "error": str(self._error) if self._error else None,
            "held": self._held.bit_count(),
            "chunks": len(self._manifest.chunks),
            "neighbours": list(self._planner.neighbours),
            "counts": dict(self._counts),
            "sources": self._sources.snapshot(),
            "transfers": self._transfers.snapshot(),
            "claims": self._claims.snapshot(),
            "serving": self._peer_server.snapshot(),
            "allowance": self._planner.allowance.snapshot(),
        }

    def _start_or_restart(self, now_seconds: float) -> list[CopyCommand]:
        is_late = now_seconds - self._last_message_seconds > self._settings.pause_seconds
        paused = is_late and self._state in FETCHING_STATES
        first = self._started_seconds is None
        self._last_message_seconds = now_seconds
        if not first and not paused:
            return []
        if not first:
            # State from before a pause is stale: owners are asked again before the origin is used.
            self._planner.allowance.resume(now_seconds=now_seconds)
            self._claims.clear()
            self._peers_with_bitmap.clear()
            self._peer_server.bitmap_recipients.clear()
            self._state = CopyState.DISCOVERING
        self._started_seconds = now_seconds
        return self._peer_server.send_bitmap(self._planner.neighbours, held=self._held)

    def _handle_stopped(self, message: CopyMessage) -> list[CopyCommand]:
        if isinstance(message, ChunkRequested):
            refusal = self._peer_server.handle_request(
                message, length_bytes=None, to_other_region=False, now_seconds=0.0
            )
            return [refusal]
        if isinstance(message, OwnerAsked):
            return [
                self._peer_server.answer_owner_question(
                    message, held=0, is_fetching=lambda _: False
                )
            ]
        return []

    def _incomplete_neighbours(self) -> tuple[InstanceId, ...]:
        return tuple(n for n in self._planner.neighbours if self._sources.held(n) != self._all_mask)

    @singledispatchmethod
    def _handle_message(self, message: CopyMessage, now_seconds: float) -> list[CopyCommand]:
        raise TypeError(f"unknown message {type(message).__name__}")

    @_handle_message.register
    def _on_tick(self, message: Tick, now_seconds: float) -> list[CopyCommand]:
        self._owned_fetch_due = True
        until = self._serve_until_seconds
        if until is not None and now_seconds >= until:
            self._memory.release(self._digest, replicas=self._sources.replicas())
            self._state = CopyState.ENDED
        return []

    @_handle_message.register
    def _on_peers_changed(self, message: PeersChanged, now_seconds: float) -> list[CopyCommand]:
        commands: list[CopyCommand] = []
        for departed in sorted(self._planner.set_peers(message.peers)):
            self._peer_server.drop_peer(departed)
            self._peers_with_bitmap.discard(departed)
            commands += self._planner.cancel_source(departed)
        self._owned_fetch_due = True
        return commands + self._peer_server.send_bitmap(self._planner.neighbours, held=self._held)

    @_handle_message.register
    def _on_peer_announced(self, message: PeerAnnounced, now_seconds: float) -> list[CopyCommand]:
        peer = message.peer
        if message.held is None:
            added = sum(1 << index for index in set(message.added))
            self._sources.add_held(peer, added & self._all_mask)
            return []
        self._sources.set_held(peer, int.from_bytes(message.held, "little") & self._all_mask)
        self._peers_with_bitmap.add(peer)
        if not message.held:
            # A peer without this copy stored no bitmap, so it is sent one when its copy starts.
            self._peer_server.bitmap_recipients.discard(peer)
            return []
        return self._peer_server.send_bitmap((peer,), held=self._held)

    @_handle_message.register
    def _on_chunk_arrived(self, message: ChunkArrived, now_seconds: float) -> list[CopyCommand]:
        source, index = message.source, message.index
        fetch = self._transfers.end(index, source)
        self._owned_fetch_due = (
            self._owned_fetch_due or self._planner.source_kind(source) is not SourceKind.ZONE
        )
        if self._held >> index & 1:
            self._counts["duplicates"] += 1
            return []
        try:
            self._manifest.verify_chunk(index, message.content)
        except CorruptedChunkError:
            return self._handle_corruption(source, index, now_seconds)
        self._memory.put(self._digest, index, message.content)
        if fetch is not None:
            self._transfers.record_duration(fetch, now_seconds=now_seconds)
            self._counts[f"from_{fetch.kind.value}"] += 1
        self._sources.record_success(source)
        self._held |= 1 << index
        self._claims.remove(index)
        self._peer_server.record_stored(index)
        commands = self._planner.cancel_chunk(index)
        if self._held == self._all_mask:
            self._state = CopyState.VERIFYING
            commands.append(VerifyWeights())
        return commands

    @_handle_message.register
    def _on_chunk_progressed(
        self, message: ChunkProgressed, now_seconds: float
    ) -> list[CopyCommand]:
        self._transfers.record_progress(message.index, message.source, now_seconds=now_seconds)
        return []

    @_handle_message.register
    def _on_chunk_failed(self, message: ChunkFailed, now_seconds: float) -> list[CopyCommand]:
        source, index, reason = message.source, message.index, message.reason
        if self._transfers.end(index, source) is None:
            return []
        self._owned_fetch_due = True
        self._counts[f"failed_{type(reason).__name__.lower()}"] += 1
        if isinstance(reason, Busy) and source != ORIGIN:
            seconds = max(reason.retry_after_seconds, self._settings.busy_seconds)
            self._sources.record_busy(source, seconds, now_seconds=now_seconds)
            return []
        if isinstance(reason, Missing):
            self._sources.set_held(source, self._sources.held(source) & ~(1 << index))
        if not isinstance(reason, Missing) or source == ORIGIN:
            after = reason.retry_after_seconds if isinstance(reason, Busy) else 0.0
            self._sources.back_off(source, now_seconds=now_seconds, at_least_seconds=after)
        self._claims.record_failure(index, source, now_seconds=now_seconds)
        return []

    @_handle_message.register
    def _on_owner_answered(self, message: OwnerAnswered, now_seconds: float) -> list[CopyCommand]:
        self._claims.record_answer(message, now_seconds=now_seconds)
        self._owned_fetch_due = True
        return []

    @_handle_message.register
    def _on_owner_asked(self, message: OwnerAsked, now_seconds: float) -> list[CopyCommand]:
        planner = self._planner
        return [
            self._peer_server.answer_owner_question(
                message,
                held=self._held,
                is_fetching=lambda index: planner.is_fetching(
                    index, asking_peer=message.peer, now_seconds=now_seconds
                ),
            )
        ]

    @_handle_message.register
    def _on_chunk_requested(self, message: ChunkRequested, now_seconds: float) -> list[CopyCommand]:
        held = self._held >> message.index & 1
        length = self._manifest.chunks[message.index].length_bytes if held else None
        peer = self._planner.peers.get(message.peer)
        return [
            self._peer_server.handle_request(
                message,
                length_bytes=length,
                to_other_region=peer is not None and peer.region != self._planner.own.region,
                now_seconds=now_seconds,
            )
        ]

    @_handle_message.register
    def _on_upload_ended(self, message: UploadEnded, now_seconds: float) -> list[CopyCommand]:
        self._peer_server.end_upload(message.peer, message.index)
        return []

    @_handle_message.register
    def _on_allowance_asked(self, message: AllowanceAsked, now_seconds: float) -> list[CopyCommand]:
        missing = self._all_mask & ~self._held
        granted = self._planner.grant_allowance(
            message.peer, message.size_bytes, missing=missing, now_seconds=now_seconds
        )
        return [GiveAllowance(peer=message.peer, size_bytes=granted)] if granted else []

    @_handle_message.register
    def _on_allowance_received(
        self, message: AllowanceReceived, now_seconds: float
    ) -> list[CopyCommand]:
        self._planner.allowance.receive_grant(message.size_bytes, now_seconds=now_seconds)
        self._owned_fetch_due = True
        return []

    @_handle_message.register
    def _on_manifest_arrived(
        self, message: ManifestArrived, now_seconds: float
    ) -> list[CopyCommand]:
        if self._state not in FETCHING_STATES:
            return []
        try:
            found = Manifest.from_json(message.content).digest
        except ManifestMismatchError:
            # A spoilt answer does not show what the origin has.
            self._counts["malformed_manifests"] += 1
            return []
        before, self._other_digest = self._other_digest, None
        if found == self._digest:
            return []
        if found == before:
            reason = f"the origin has manifest {found}, but the configuration pins {self._digest}"
            return self._halt(ManifestMismatchError(reason))
        # One answer may be spoilt. The content was replaced if the origin gives the same one twice.
        self._other_digest = found
        return [FetchManifest()] if before is None else []

    @_handle_message.register
    def _on_weights_verified(
        self, message: WeightsVerified, now_seconds: float
    ) -> list[CopyCommand]:
        if self._state is not CopyState.VERIFYING:
            return []
        if message.matches:
            self._state = CopyState.COMPLETED
            return [CopyCompleted()]
        name = f"{self._manifest.model}/{self._manifest.version}"
        return self._halt(
            CorruptedChunkError(f"weights of {name} do not match {self._manifest.weights_digest}")
        )

    @_handle_message.register
    def _on_loaded(self, message: Loaded, now_seconds: float) -> list[CopyCommand]:
        if self._state is CopyState.COMPLETED:
            self._serve_until_seconds = now_seconds + self._settings.serve_after_load_seconds
        return []

    @_handle_message.register
    def _on_paused(self, message: Paused, now_seconds: float) -> list[CopyCommand]:
        if self._state not in FETCHING_STATES:
            return []
        self._state = CopyState.PAUSED
        self._claims.clear()
        return self._planner.cancel_all()

    @_handle_message.register
    def _on_resumed(self, message: Resumed, now_seconds: float) -> list[CopyCommand]:
        if self._state is CopyState.PAUSED:
            self._state = CopyState.DISCOVERING
            self._started_seconds = now_seconds
        return []

    @_handle_message.register
    def _on_superseded(self, message: Superseded, now_seconds: float) -> list[CopyCommand]:
        return self._stop(CopyState.SUPERSEDED)

    def _plan(self, now_seconds: float) -> list[CopyCommand]:
        missing = self._all_mask & ~self._held
        assert self._started_seconds is not None
        if not missing:
            self._state = CopyState.VERIFYING
            return [VerifyWeights()]
        if self._state is CopyState.DISCOVERING and self._is_discovery_complete(now_seconds):
            self._state = CopyState.COPYING
            self._copying_since_seconds = now_seconds
        commands = self._planner.replace_stalled(now_seconds=now_seconds)
        commands += self._planner.fetch_from_neighbours(missing, now_seconds=now_seconds)
        if self._state is CopyState.COPYING and self._owned_fetch_due:
            self._owned_fetch_due = False
            commands += self._planner.fetch_owned_chunks(
                missing, due_since_seconds=self._copying_since_seconds, now_seconds=now_seconds
            )
        return commands

    def _is_discovery_complete(self, now_seconds: float) -> bool:
        """Return whether all neighbours sent a bitmap or the discovery time has passed."""
        assert self._started_seconds is not None
        if self._planner.peers and self._peers_with_bitmap.issuperset(self._planner.neighbours):
            return True
        return now_seconds >= self._started_seconds + self._settings.discovery_seconds

    def _handle_corruption(
        self, source: InstanceId, index: ChunkIndex, now_seconds: float
    ) -> list[CopyCommand]:
        self._counts["corrupted"] += 1
        self._owned_fetch_due = True
        self._claims.record_failure(index, source, now_seconds=now_seconds)
        # The chunk is fetched from other sources until this one announces it again.
        self._sources.set_held(source, self._sources.held(source) & ~(1 << index))
        seconds = self._sources.record_corruption(source, now_seconds=now_seconds)
        if seconds is None:
            return []
        commands: list[CopyCommand] = [QuarantineSource(source=source, seconds=seconds)]
        if source == ORIGIN:
            # If the content at the origin was replaced, its manifest no longer matches.
            commands.append(FetchManifest())
        return commands + self._planner.cancel_source(source)

    def _halt(self, error: WeightsError) -> list[CopyCommand]:
        self._error = error
        return [*self._stop(CopyState.HALTED), CopyHalted(error=error)]

    def _stop(self, state: CopyState) -> list[CopyCommand]:
        self._state = state
        self._memory.release(self._digest, replicas=self._sources.replicas())
        return self._planner.cancel_all()
