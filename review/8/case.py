"""A router that had met an outage of the store keeps an engine that leaves long after it."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from world_2 import BOUNDS, HOST, TROUBLE, Consumer, Engine, World, run_case  # noqa: E402

SERVICE, PREFIX = "kafi81c", "/filo73/de11/"
CONSUMERS = 8
OUTAGE_AT_S, OUTAGE_FOR_S = 4.0, 4.5
KILL_AT_S, KILL_FOR_S = 20.0, 2.0
ROUTERS, KILLED = 9, 4
LEAVE_AFTER_KILL_S = 0.2
LENGTH_S = 30.0
# A leaving engine serves on for the time to drain and a little longer, at times many seconds.
SERVES_ON_S = 6.0
STABLE_S = 3.0


async def consume(world: World, address: str, name: str, until_s: float) -> None:
    """Record sales one after the other."""
    consumer = Consumer(world, address, name)
    while world.record.seconds < until_s:
        await consumer.call("POST", f"{PREFIX}2f", budget_ms=1500, body=b"sale")
        await asyncio.sleep(0.05)
    consumer.close()


async def play(world: World) -> bool:
    """Return whether an engine that is gone gets requests too late from a router in touch."""
    route = {
        "name": "r-1", "host": HOST, "path_prefix": PREFIX, "kind": "non_idempotent",
        "service": SERVICE, "attempts": 1, "public": False, "timeout_ms": 800,
        "target_latency_ms": 132, "priority": 2,
    }  # fmt: skip
    world.configure(
        1,
        routes=[route],
        services=[{"name": SERVICE, "health_path": "/healthz", "max_conns": 214}],
    )
    for number in range(1, 5):
        engine = Engine(world.record, world.store, number=number, service=SERVICE)
        await engine.start()
        world.engines.append(engine)
    await world.start_routers(ROUTERS)
    start = world.record.seconds

    async def sleep_until(at: float) -> None:
        await asyncio.sleep(max(0.0, start + at - world.record.seconds))

    # The routers that are killed get no consumers, so all that have some are in touch.
    addresses = world.consumer_addresses[KILLED:]
    playing = asyncio.gather(
        *(
            consume(world, addresses[n % len(addresses)], f"c{n}", start + LENGTH_S)
            for n in range(CONSUMERS)
        )
    )
    await sleep_until(OUTAGE_AT_S)
    if TROUBLE:
        world.store.go_down(busy=True)
        await sleep_until(OUTAGE_AT_S + OUTAGE_FOR_S)
        world.store.come_back()
    await sleep_until(KILL_AT_S)
    for router in world.routers[:KILLED] if TROUBLE else ():
        router.down_seconds = KILL_FOR_S
        router.signal(signal.SIGKILL)
    await asyncio.sleep(LEAVE_AFTER_KILL_S)
    gone = world.engines[-1]
    gone.deregister()
    left_s = world.record.seconds
    await asyncio.sleep(SERVES_ON_S)
    gone.stop()
    await playing
    bound_s = left_s + BOUNDS["drain_ms"] / 1000
    late = [(seconds, a.call_id) for seconds, a in gone.arrivals if seconds > bound_s]
    for seconds, call_id in late:
        world.record.line(f"BROKEN: {call_id} reached it {seconds - left_s:.3f} s after the ack")
    world.record.line(f"requests later than {bound_s - left_s} s after the ack: {len(late)}")
    return bool(late)


if __name__ == "__main__":
    run_case(FOLDER, play, limit_s=110.0)
