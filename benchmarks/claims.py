"""Measure claims a second against a store with a write rate, in virtual time.

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
"""A longer queue makes the store refuse writes, as a rate-limited one does with 429."""
FORWARD_SECONDS = 0.002
"""There and back between two zones at 1 ms one way."""
MODES = ("one_by_one", "group", "group_at_owner")


class Run:
    """Drive the claim books of all routers against one store."""

    def __init__(self, mode: str, *, seed: int, rate: float, seconds: float, shards: int) -> None:
        """Prepare the arrivals."""
        limits = calls.ClaimLimits(
            shards=shards, batch_operations=1 if mode == "one_by_one" else 1000
        )
        self.at_owner = mode != "group"
        self.books = {router: calls.ClaimTable(limits=limits) for router in ROUTERS}
        self.shards = shards
        self.objects: dict[int, tuple[int, bytes]] = {}
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.counter = itertools.count()
        self.now = self.store_free_at = 0.0
        self.writes = self.conflicts = self.reads = self.store_refusals = 0
        self.arrived: dict[str, float] = {}
        self.waits: list[float] = []
        self.refused = 0
        self.last_grant = 0.0
        self.seconds = seconds
        generator, at = random.Random(seed), 0.0
        while (at := at + generator.expovariate(rate)) < seconds:
            name, router = f"claim-{len(self.arrived)}", generator.choice(ROUTERS)
            self.arrived[name] = at
            self.at(at, lambda name=name, router=router: self.claim(name, router))
        for second in range(int(seconds) + 4):
            for router in ROUTERS:
                self.at(second + 0.5, lambda r=router: self.send(r, calls.ClaimTick()))

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self.events, (when, next(self.counter), action))

    def claim(self, name: str, router: InstanceId) -> None:
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
        place = calls.PlaceClaim(
            key_digest=digest,
            workspace=WorkspaceId("w"),
            fingerprint=Digest("0" * 64),
            claim_id=name,
            router_id=router,
            attempt=1,
            target=target,
            deadline_at_seconds=self.now + 30,
        )
        if self.at_owner and owner is not None and owner != router:
            self.arrived[name] -= FORWARD_SECONDS
            router = owner
        self.send(router, place)

    def send(self, router: InstanceId, message: Any) -> None:
        """Apply a message and carry out the commands."""
        for command in self.books[router].handle(message, now_seconds=self.now):
            if isinstance(command, calls.ClaimDecided):
                if command.verdict is calls.ClaimVerdict.GRANTED:
                    self.waits.append(self.now - self.arrived[command.claim_id])
                    self.last_grant = self.now
                else:
                    self.refused += 1
            elif isinstance(command, calls.ReadShard):
                self.reads += 1
                self.at(
                    self.now + STORE_LATENCY_SECONDS,
                    lambda c=command: self.send(router, self.read(c)),
                )
            else:
                self.queue_write(router, command)

    def read(self, command: calls.ReadShard) -> calls.ShardRead:
        """Answer a read."""
        number, content = self.objects.get(command.shard, (0, b""))
        return calls.ShardRead(
            shard=command.shard, request=command.request, version=number, content=content
        )

    def queue_write(self, router: InstanceId, command: calls.WriteShard) -> None:
        """Let a write wait for the store's rate."""
        start = max(self.now, self.store_free_at)
        if start - self.now > STORE_QUEUE_SECONDS:
            self.store_refusals += 1
            reply = calls.ShardUnavailable(shard=command.shard, request=command.request)
            self.at(self.now + STORE_LATENCY_SECONDS, lambda: self.send(router, reply))
            return
        self.store_free_at = start + 1 / STORE_WRITES_PER_SECOND
        self.at(start + STORE_LATENCY_SECONDS, lambda: self.send(router, self.write(command)))

    def write(self, command: calls.WriteShard) -> calls.ShardWritten | calls.ShardWriteUndecided:
        """Apply a conditional update."""
        self.writes += 1
        shard, request = command.shard, command.request
        number = self.objects.get(shard, (0, b""))[0]
        if number != command.expected_version:
            self.conflicts += 1
            return calls.ShardWriteUndecided(shard=shard, request=request)
        self.objects[shard] = (number + 1, command.content)
        return calls.ShardWritten(shard=shard, request=request, version=number + 1)

    def run(self) -> dict[str, Any]:
        """Return the figures."""
        started = time.process_time()
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            action()
        used = time.process_time() - started
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
            "processor_seconds": round(used, 2),
        }


def main() -> None:
    """Run all modes and print JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--shards", type=int, default=calls.ClaimLimits().shards)
    parser.add_argument("--rates", type=float, nargs="+", default=[100, 300, 1000, 3000])
    parser.add_argument("--out")
    options = parser.parse_args()
    results = [
        {"mode": mode, "rate_per_second": rate}
        | Run(
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
