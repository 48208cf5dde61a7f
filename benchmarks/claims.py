"""Measure claims per second with a store of limited write rate, in virtual time.

Run as `python -m benchmarks.claims --seed 1 --out claims.json`. Each mode gets the same arrivals:
one claim per update, group commit at the router that got the call, and group commit at the
shard's owner.
"""

import argparse
import heapq
import itertools
import json
import platform
import random
import statistics
import time
from collections.abc import Callable
from importlib.metadata import version
from typing import Any

from egretrouter.core import calls
from egretrouter.core.identifiers import CallId, Digest, Epoch, InstanceId, WorkspaceId

ROUTERS = [InstanceId(f"router-{number}") for number in range(15)]
STORE_WRITES_PER_SECOND = 300
STORE_LATENCY_SECONDS = 0.005
STORE_QUEUE_SECONDS = 0.5
"""Longest write queue; beyond it the store refuses writes, as a rate-limited one does with 429."""
FORWARD_SECONDS = 0.002
"""Round trip between two zones at 1 ms one way."""
MODES = ("one_by_one", "group", "group_at_owner")


class ClaimsRun:
    """Run the claim tables of all routers with one store."""

    def __init__(self, mode: str, *, seed: int, rate: float, seconds: float, shards: int) -> None:
        """Schedule the arrivals of claims and the ticks of the routers."""
        limits = calls.ClaimLimits(
            shards=shards, batch_operations=1 if mode == "one_by_one" else 1000
        )
        self.uses_owner = mode != "group"
        self.tables = {router: calls.ClaimTable(limits=limits) for router in ROUTERS}
        self.shards = shards
        self.objects: dict[int, tuple[int, bytes]] = {}
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.now = self.store_free_at_seconds = 0.0
        self.writes = self.conflicts = self.reads = self.store_refusals = 0
        self.arrived: dict[str, float] = {}
        self.waits: list[float] = []
        self.refused = 0
        self.last_grant = 0.0
        self.seconds = seconds
        generator, arrival_seconds = random.Random(seed), 0.0
        while (arrival_seconds := arrival_seconds + generator.expovariate(rate)) < seconds:
            name, router = f"claim-{len(self.arrived)}", generator.choice(ROUTERS)
            self.arrived[name] = arrival_seconds
            self.schedule(
                arrival_seconds, lambda name=name, router=router: self.place_claim(name, router)
            )
        for second in range(int(seconds) + 4):
            for router in ROUTERS:
                self.schedule(second + 0.5, lambda r=router: self.dispatch(r, calls.ClaimTick()))

    def schedule(self, due_seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action at a point in virtual time."""
        heapq.heappush(self.events, (due_seconds, next(self.sequence), action))

    def place_claim(self, name: str, router: InstanceId) -> None:
        """Place a claim at the router or at the shard's owner."""
        digest = calls.key_digest(workspace=WorkspaceId("w"), service="orders", key=name)
        owner = calls.shard_owner(calls.shard_of(digest, shards=self.shards), frozenset(ROUTERS))
        target = calls.Target(
            agent_id=InstanceId("agent-1"),
            address="10.0.0.1:7000",
            epoch=Epoch(1),
            call_id=CallId(f"{name}.1"),
            expires_at_seconds=self.now + 30,
        )
        message = calls.PlaceClaim(
            key_digest=digest,
            workspace=WorkspaceId("w"),
            fingerprint=Digest("0" * 64),
            claim_id=name,
            router_id=router,
            attempt=1,
            target=target,
            deadline_at_seconds=self.now + 30,
        )
        if self.uses_owner and owner is not None and owner != router:
            self.arrived[name] -= FORWARD_SECONDS
            router = owner
        self.dispatch(router, message)

    def dispatch(self, router: InstanceId, message: Any) -> None:
        """Pass a message to a router's claim table and execute the resulting commands."""
        for command in self.tables[router].handle(message, now_seconds=self.now):
            if isinstance(command, calls.ClaimDecided):
                if command.verdict is calls.ClaimVerdict.GRANTED:
                    self.waits.append(self.now - self.arrived[command.claim_id])
                    self.last_grant = self.now
                else:
                    self.refused += 1
            elif isinstance(command, calls.ReadShard):
                self.reads += 1
                self.schedule(
                    self.now + STORE_LATENCY_SECONDS,
                    lambda c=command: self.dispatch(router, self.read(c)),
                )
            else:
                self.queue_write(router, command)

    def read(self, command: calls.ReadShard) -> calls.ShardRead:
        """Return the answer to a read of a shard."""
        number, content = self.objects.get(command.shard, (0, b""))
        return calls.ShardRead(
            shard=command.shard, request=command.request, version=number, content=content
        )

    def queue_write(self, router: InstanceId, command: calls.WriteShard) -> None:
        """Queue a write behind the store's write rate, or refuse it if the queue is too long."""
        start = max(self.now, self.store_free_at_seconds)
        if start - self.now > STORE_QUEUE_SECONDS:
            self.store_refusals += 1
            reply = calls.ShardUnavailable(shard=command.shard, request=command.request)
            self.schedule(self.now + STORE_LATENCY_SECONDS, lambda: self.dispatch(router, reply))
            return
        self.store_free_at_seconds = start + 1 / STORE_WRITES_PER_SECOND
        self.schedule(
            start + STORE_LATENCY_SECONDS, lambda: self.dispatch(router, self.write(command))
        )

    def write(self, command: calls.WriteShard) -> calls.ShardWritten | calls.ShardWriteUndecided:
        """Apply a conditional update; a stale version is answered as undecided."""
        self.writes += 1
        shard, request = command.shard, command.request
        number = self.objects.get(shard, (0, b""))[0]
        if number != command.expected_version:
            self.conflicts += 1
            return calls.ShardWriteUndecided(shard=shard, request=request)
        self.objects[shard] = (number + 1, command.content)
        return calls.ShardWritten(shard=shard, request=request, version=number + 1)

    def run(self) -> dict[str, Any]:
        """Process all events and return the figures."""
        started = time.process_time()
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            action()
        processor_seconds = time.process_time() - started
        waits = sorted(self.waits) or [0.0]
        return {
            "offered": len(self.arrived),
            "granted": len(self.waits),
            "granted_per_second": round(len(self.waits) / max(self.seconds, self.last_grant), 1),
            "refused": self.refused,
            "wait_p50_ms": round(1000 * statistics.median(waits), 1),
            "wait_p95_ms": round(1000 * waits[int(0.95 * (len(waits) - 1))], 1),
            "writes": self.writes,
            "conflicts": self.conflicts,
            "reads": self.reads,
            "store_refusals": self.store_refusals,
            "largest_shard_bytes": max((len(c) for _, c in self.objects.values()), default=0),
            "processor_seconds": round(processor_seconds, 2),
        }


def main() -> None:
    """Parse the arguments, run all modes at all rates and print the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--shards", type=int, default=calls.ClaimLimits().shards)
    parser.add_argument("--rates", type=float, nargs="+", default=[100, 300, 1000, 3000])
    parser.add_argument("--out")
    options = parser.parse_args()
    results = [
        {"mode": mode, "rate_per_second": rate}
        | ClaimsRun(
            mode, seed=options.seed, rate=rate, seconds=options.seconds, shards=options.shards
        ).run()
        for rate in options.rates
        for mode in MODES
    ]
    report = {
        "benchmark": "claims",
        "seed": options.seed,
        "seconds": options.seconds,
        "shards": options.shards,
        "routers": len(ROUTERS),
        "store_writes_per_second": STORE_WRITES_PER_SECOND,
        "store_latency_seconds": STORE_LATENCY_SECONDS,
        "versions": {
            "python": platform.python_version(),
            **{name: version(name) for name in ("egretrouter", "msgspec", "xxhash")},
        },
        "results": results,
    }
    text = json.dumps(report, indent=2)
    print(text)
    if options.out:
        with open(options.out, "w", encoding="utf-8") as file:
            file.write(text + "\n")


if __name__ == "__main__":
    main()
