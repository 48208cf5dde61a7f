"""Maintain one member's view of its zone and decide which gossip it sends."""

import random
from functools import singledispatchmethod
from typing import Any

import msgspec

from egretrouter.core.identifiers import Generation, InstanceId
from egretrouter.core.membership._detection import ProxyProbe
from egretrouter.core.membership._gossip import (
    ExchangeReply,
    ExchangeRequest,
    GossipBody,
    IndirectProbe,
    Probe,
    ProbeAnswer,
    SummaryPull,
    SummaryPush,
    Updates,
)
from egretrouter.core.membership._messages import (
    FactsChanged,
    GenerationActivated,
    GossipReceived,
    Leave,
    LoadReported,
    MembersChanged,
    MembershipCommand,
    MembershipMessage,
    PauseDetected,
    PeerGenerationReceived,
    SeedsListed,
    SendGossip,
    Tick,
    ZoneSummaryChanged,
)
from egretrouter.core.membership._pace import ExchangeSchedule
from egretrouter.core.membership._pulls import PullSchedule
from egretrouter.core.membership._records import (
    LoadSample,
    Member,
    MemberRole,
    MemberStatus,
    Seed,
    ZoneSummary,
)
from egretrouter.core.membership._summaries import SummaryTable, gateways, summarize
from egretrouter.core.membership._table import differing_buckets
from egretrouter.core.membership._view import ZoneView

TICK_SECONDS = 0.2
URGENT_FANOUT = 3
"""Two rounds to three members each reach 99.7% of a zone; probes carry updates to the rest."""

LEAVE_FANOUT = 6
EXCHANGE_ROUNDS = 32
JOIN_SECONDS = 1.0
JOIN_CONTACTS = 3
RECONNECT_SECONDS = 10.0
PULL_CANDIDATES = 8
PAUSE_SECONDS = 2.0
"""Shortest gap between messages that counts as a pause of the process.

It is below the shortest suspicion, so that a process that was paused never declares others dead
because of timers that ran out during the pause.
"""


class Membership:
    """Track the members of a zone; the cost per member does not grow with the zone."""

    def __init__(self, *, own: Member, rng: random.Random) -> None:
        """Start without other members; if possible, own.incarnation grows across restarts."""
        self._rng = rng
        self._view = ZoneView(own=own, rng=rng)
        self._table = self._view.table
        self._detector = self._view.detector
        self._summaries = SummaryTable(zone=own.zone, rng=rng)
        self._generation = Generation(0)
        self._urgent_generation_rounds = 0
        self._seeds: tuple[Seed, ...] = ()
        self._last_seconds: float | None = None
        self._exchange_schedule = ExchangeSchedule(rng=rng)
        self._next_reconnect_seconds = 0.0
        self._next_summary_seconds = 0.0
        self._pull_schedule = PullSchedule(rng=rng)

    @property
    def own(self) -> Member:
        """Return this member's own record."""
        return self._view.own

    def members(self) -> list[Member]:
        """Return the other members whose status is not DEAD."""
        return [self._table.entries[i].member for i in self._table.live_ids()]

    def usable_members(self, *, now_seconds: float) -> list[Member]:
        """Return the other members that may receive new work."""
        entries = (self._table.entries[i] for i in self._table.live_ids())
        return [e.member for e in entries if self._table.is_usable(e, now_seconds=now_seconds)]

    def load_sample(self, instance_id: InstanceId) -> LoadSample | None:
        """Return the newest load report known of a member, with its sequence number."""
        return self._table.loads.get(instance_id)

    def generation_of(self, instance_id: InstanceId) -> Generation:
        """Return the newest generation known to be active at another member, or 0."""
        return self._table.generation_of(instance_id)

    def summaries(self, *, now_seconds: float) -> tuple[ZoneSummary, ...]:
        """Return the newest summaries of other zones with their ages."""
        return self._summaries.summaries(now_seconds)

    def snapshot(self) -> dict[str, Any]:
        """Return the values of the state dump."""
        return {
            "own": msgspec.to_builtins(self.own),
            "members": [msgspec.to_builtins(member) for member in self.members()],
            "suspicions": self._detector.suspicions,
            "silent": self._view.is_isolated,
            "generation": self._generation,
            "seeds": len(self._seeds),
            "zones": sorted(s.zone for s in self._summaries.summaries(0.0)),
        }

    @property
    def is_isolated(self) -> bool:
        """Return whether no other member of the zone answers this one."""
        return self._view.is_isolated

    def handle(self, message: MembershipMessage, *, now_seconds: float) -> list[MembershipCommand]:
        """Handle one message and return the resulting commands."""
        was_isolated = self.is_isolated
        commands = self._detect_pause(now_seconds)
        commands += self._dispatch(message, now_seconds=now_seconds)
        changed = self._view.take_changed()
        if changed or self.is_isolated is not was_isolated:
            commands.append(MembersChanged(changed=changed))
        return commands

    @singledispatchmethod
    def _dispatch(
        self, message: MembershipMessage, *, now_seconds: float
    ) -> list[MembershipCommand]:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_dispatch.register
    def _seeds_listed(self, message: SeedsListed, *, now_seconds: float) -> list[MembershipCommand]:
        own = self.own
        self._seeds = tuple(
            s for s in message.seeds if s.zone == own.zone and s.instance_id != own.instance_id
        )
        self._summaries.set_seeds(message.seeds)
        return []

    @_dispatch.register
    def _facts_changed(
        self, message: FactsChanged, *, now_seconds: float
    ) -> list[MembershipCommand]:
        if message.facts == self.own.facts:
            return []
        before = self.own.facts
        self._view.own = msgspec.structs.replace(
            self.own, facts=message.facts, facts_version=self.own.facts_version + 1
        )
        # Routers must stop calling a drained endpoint at once, and need a new endpoint at once when
        # it is the only one left.
        urgent = message.facts.drained or before.ready != message.facts.ready
        self._table.queue(self.own, urgent=urgent)
        return []

    @_dispatch.register
    def _load_reported(
        self, message: LoadReported, *, now_seconds: float
    ) -> list[MembershipCommand]:
        self._view.update_own_load(message.load, self._generation)
        return []

    @_dispatch.register
    def _generation_activated(
        self, message: GenerationActivated, *, now_seconds: float
    ) -> list[MembershipCommand]:
        if message.generation > self._generation:
            self._generation = message.generation
            self._urgent_generation_rounds = 2
            load = self._view.load.load if self._view.load else None
            self._view.update_own_load(load, message.generation)
        return []

    @_dispatch.register
    def _leave(self, message: Leave, *, now_seconds: float) -> list[MembershipCommand]:
        self._view.own = msgspec.structs.replace(self.own, status=MemberStatus.LEAVING)
        self._table.queue(self.own, urgent=True)
        targets = self._table.sample(LEAVE_FANOUT)
        return [self._send(t, Updates(sender=self.own)) for t in targets]

    @_dispatch.register
    def _tick(self, message: Tick, *, now_seconds: float) -> list[MembershipCommand]:
        self._view.update_isolation(now_seconds)
        commands = self._send_urgent()
        commands += self._detect_failures(now_seconds)
        commands += self._join_or_exchange(now_seconds)
        commands += self._send_summaries(now_seconds)
        self._table.remove_expired_members(now_seconds)
        return commands

    @_dispatch.register
    def _gossip_received(
        self, message: GossipReceived, *, now_seconds: float
    ) -> list[MembershipCommand]:
        body, sender = message.body, message.body.sender
        if sender.instance_id == self.own.instance_id:
            return []
        commands: list[MembershipCommand] = []
        if message.generation > self._generation:
            commands.append(
                PeerGenerationReceived(
                    peer=sender.instance_id, address=sender.address, generation=message.generation
                )
            )
        if sender.zone == self.own.zone:
            self._table.record_generation(
                sender.instance_id, sender.incarnation, message.generation
            )
            if self._view.receive(body, now_seconds):
                self._exchange_schedule.schedule_now()
        elif not isinstance(body, SummaryPush):
            return commands
        return commands + self._answer(body, now_seconds)

    def _answer(self, body: GossipBody, now_seconds: float) -> list[MembershipCommand]:
        sender = body.sender
        match body:
            case Probe():
                answer = self._view.build_message(ProbeAnswer, sender, sequence=body.sequence)
                return [self._send(sender, answer)]
            case ProbeAnswer():
                relay = self._detector.record_answer(body.sequence)
                if relay is None:
                    return []
                answer = self._view.build_message(
                    ProbeAnswer, relay.requester, sequence=relay.sequence
                )
                return [self._send(relay.requester, answer)]
            case IndirectProbe():
                return self._relay_probe(body, now_seconds)
            case ExchangeRequest():
                return self._reply_to_exchange(body, now_seconds)
            case ExchangeReply():
                return self._finish_exchange(body, now_seconds)
            case SummaryPush():
                return self._accept_summaries(body, now_seconds)
            case SummaryPull():
                newer = self._summaries.newer_than(body.ages_seconds, now_seconds=now_seconds)
                push = SummaryPush(sender=self.own, summaries=newer)
                return [self._send(sender, push)] if newer else []
            case _:
                return []

    def _send(self, target: Member, body: GossipBody) -> SendGossip:
        return self._send_to(target.instance_id, target.address, body)

    def _send_to(self, target: InstanceId, address: str, body: GossipBody) -> SendGossip:
        return SendGossip(target=target, address=address, body=body, generation=self._generation)

    def _relay_probe(self, body: IndirectProbe, now_seconds: float) -> list[MembershipCommand]:
        entry = self._table.entries.get(body.target)
        sequence = self._detector.register_relay(
            body.sender, body.sequence, now_seconds=now_seconds
        )
        if sequence is None:
            return []
        updates = (entry.member,) if entry else ()
        probe = Probe(sender=self.own, updates=updates, sequence=sequence)
        return [self._send_to(body.target, body.target_address, probe)]

    def _detect_pause(self, now_seconds: float) -> list[MembershipCommand]:
        last, self._last_seconds = self._last_seconds, now_seconds
        if last is None or now_seconds - last < PAUSE_SECONDS:
            return []
        self._view.resume(now_seconds)
        self._exchange_schedule.schedule_now()
        return [PauseDetected(paused_seconds=now_seconds - last)]

    def _detect_failures(self, now_seconds: float) -> list[MembershipCommand]:
        probes, failed = self._detector.advance(now_seconds)
        expired = self._detector.take_expired(now_seconds)
        if not self._view.is_isolated:
            if failed is not None:
                self._view.probe_failed(failed, now_seconds)
            for instance_id in expired:
                self._view.set_status(instance_id, MemberStatus.DEAD, now_seconds)
        commands: list[MembershipCommand] = []
        for probe in probes:
            if isinstance(probe, ProxyProbe):
                target = probe.target
                body: GossipBody = IndirectProbe(
                    sender=self.own,
                    sequence=probe.sequence,
                    target=target.instance_id,
                    target_address=target.address,
                )
                commands.append(self._send(probe.proxy, body))
            else:
                body = self._view.build_message(Probe, probe.target, sequence=probe.sequence)
                commands.append(self._send(probe.target, body))
        return commands

    def _send_urgent(self) -> list[MembershipCommand]:
        updates = self._table.take_urgent()
        if not updates and self._urgent_generation_rounds <= 0:
            return []
        self._urgent_generation_rounds -= 1
        body = Updates(sender=self.own, updates=updates)
        return [self._send(target, body) for target in self._table.sample(URGENT_FANOUT)]

    def _join_or_exchange(self, now_seconds: float) -> list[MembershipCommand]:
        targets: list[tuple[InstanceId, str]] = []
        if self._seeds and now_seconds >= self._next_reconnect_seconds:
            joining = self._table.live_count == 0
            period = JOIN_SECONDS if joining else RECONNECT_SECONDS
            self._next_reconnect_seconds = now_seconds + period * (0.5 + self._rng.random())
            live = set(self._table.live_ids())
            missing = [s for s in self._seeds if s.instance_id not in live]
            count = min(JOIN_CONTACTS if joining else 1, len(missing))
            targets += [(s.instance_id, s.address) for s in self._rng.sample(missing, count)]
        if self._exchange_schedule.start_if_due(now_seconds):
            targets += [(m.instance_id, m.address) for m in self._table.sample(1)]
        request = ExchangeRequest(
            sender=self.own,
            digests=self._table.digests(self.own),
            rounds_left=EXCHANGE_ROUNDS,
        )
        return [self._send_to(target, address, request) for target, address in targets]

    def _reply_to_exchange(
        self, body: ExchangeRequest, now_seconds: float
    ) -> list[MembershipCommand]:
        ours = self._table.digests(self.own)
        differing = differing_buckets(ours, body.digests)
        if differing:
            self._exchange_schedule.schedule_soon(now_seconds)
        records, more = self._table.records_of(differing)
        reply = ExchangeReply(
            sender=self.own,
            updates=records,
            digests=ours,
            more=more,
            trusted=self._table.is_trusted,
            rounds_left=min(body.rounds_left, EXCHANGE_ROUNDS) - 1,
        )
        return [self._send(body.sender, reply)]

    def _finish_exchange(self, body: ExchangeReply, now_seconds: float) -> list[MembershipCommand]:
        ours = self._table.digests(self.own)
        differing = differing_buckets(ours, body.digests)
        if differing:
            self._exchange_schedule.schedule_soon(now_seconds)
        if (
            body.more
            and body.rounds_left > 0
            and self._exchange_schedule.acquire_round(now_seconds)
        ):
            request = ExchangeRequest(sender=self.own, digests=ours, rounds_left=body.rounds_left)
            return [self._send(body.sender, request)]
        if body.trusted:
            self._view.drop_unconfirmed()
        records, _ = self._table.records_of(differing)
        if not records:
            return []
        return [self._send(body.sender, Updates(sender=self.own, updates=records))]

    def _send_summaries(self, now_seconds: float) -> list[MembershipCommand]:
        if now_seconds < self._next_summary_seconds:
            return []
        self._next_summary_seconds = now_seconds + 1.0
        commands: list[MembershipCommand] = []
        zone_gateways = gateways(self.own.zone, [self.own.instance_id, *self._table.live_ids()])
        if self.own.instance_id in zone_gateways:
            contacts = self._summaries.take_due_contacts(now_seconds)
            if contacts:
                push = SummaryPush(
                    sender=self.own, summaries=(self._summarize(),), wants_answer=True
                )
                commands += [self._send_to(target, address, push) for target, address in contacts]
        if self.own.role is MemberRole.ROUTER and self._pull_schedule.is_due(now_seconds):
            pulls = self._pull_summaries(zone_gateways, now_seconds)
            self._pull_schedule.schedule_next(
                now_seconds, sent=bool(pulls), lacks_zones=self._summaries.lacks_zones
            )
            commands += pulls
        return commands

    def _pull_summaries(
        self, zone_gateways: list[InstanceId], now_seconds: float
    ) -> list[MembershipCommand]:
        """Ask another router or a gateway for summaries; gateways receive new ones first."""
        routers = [m for m in self.members() if m.role is MemberRole.ROUTER]
        targets = [m for m in self._table.sample(PULL_CANDIDATES) if m.role is MemberRole.ROUTER]
        other_gateways = [i for i in zone_gateways if i != self.own.instance_id]
        if other_gateways and (
            not targets
            or self._pull_schedule.should_ask_gateway(
                routers=1 + len(routers), lacks_zones=self._summaries.lacks_zones
            )
        ):
            targets = [self._table.entries[self._rng.choice(other_gateways)].member]
        pull = SummaryPull(sender=self.own, ages_seconds=self._summaries.ages(now_seconds))
        return [self._send(target, pull) for target in targets[:1]]

    def _accept_summaries(self, body: SummaryPush, now_seconds: float) -> list[MembershipCommand]:
        commands: list[MembershipCommand] = [
            ZoneSummaryChanged(summary=summary)
            for summary in body.summaries
            if self._summaries.accept(summary, now_seconds=now_seconds)
        ]
        if body.wants_answer:
            push = SummaryPush(sender=self.own, summaries=(self._summarize(),))
            commands.append(self._send(body.sender, push))
        return commands

    def _summarize(self) -> ZoneSummary:
        return summarize(own=self.own, table=self._table, rng=self._rng)
