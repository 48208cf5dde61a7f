"""Test that an odd datagram of another process costs no more than itself."""

import asyncio
import random
import socket
from collections.abc import AsyncIterator
from typing import Any

import msgspec
import pytest

from egretrouter.core.direct import (
    EndpointRun,
    FleetMember,
    FleetRole,
    Greeting,
    LimitNews,
    LoadReport,
    PartNews,
    Revisions,
)
from egretrouter.core.direct._quarantine import Crash
from egretrouter.core.identifiers import (
    EndpointId,
    InstanceId,
    ModelName,
    PromptPartId,
    RegionId,
    ServiceName,
    ZoneId,
)
from egretrouter.direct._fleet_service import FleetService
from egretrouter.direct._news_service import NewsService
from egretrouter.direct._notes import (
    GreetingNote,
    LoadNote,
    NewsNote,
    Note,
    NoteMalformedError,
    decode_note,
    encode_note,
)
from tests.helpers import free_ports
from tests.platform_world import settings

LARGEST = 2**64 - 1
RUN = EndpointRun(endpoint_id=EndpointId("i-1"), started_ms=1)
ODD_NUMBERS = (float("nan"), float("inf"), float("-inf"), -1e300, 1e300)


def member(name: str = "front-2", **changes: Any) -> FleetMember:
    values: dict[str, Any] = {
        "instance_id": InstanceId(name),
        "role": FleetRole.AGENT,
        "zone": ZoneId("z1"),
        "region": RegionId("r1"),
        "address": "127.0.0.2",
        "started_ms": 1,
    }
    return FleetMember(**{**values, **changes})


ODD_MEMBERS: dict[str, FleetMember] = {
    **{
        f"address {address[:20]!r}": member(address=address)
        for address in ("", "a..b", "x\0", "é" * 70, "engine.example", "127.0.0.1:7", "9" * 9000)
    },
    "largest start": member(started_ms=LARGEST),
    "largest revision": member(revision=LARGEST),
    "own start": member("front-1", started_ms=LARGEST),
    "own revision": member("front-1", started_ms=2**53, revision=LARGEST),
    "serving no version": member(serving="m/x"),
    "serving a version of other digits": member(serving="m/\u0667"),
    "serving a huge version": member(serving="m/" + "9" * 5000),
    "huge zone": member(zone=ZoneId("z" * 60_000)),
}


def greeting(sender: FleetMember, *others: FleetMember) -> GreetingNote:
    content = Greeting(sender=sender, revisions=Revisions(), others=others, wants_answer=True)
    return GreetingNote(greeting=content)


def part_news(**changes: Any) -> PartNews:
    return PartNews(part=PromptPartId("p"), service=ServiceName("plain"), **changes)


def load(**changes: Any) -> LoadNote:
    report = LoadReport(**{"running": 0, "queued": 0, **changes})
    return LoadNote(address="127.0.0.1:7001", report=report, relay=True)


ODD_NOTES: dict[str, Note] = {
    **{f"sender: {name}": greeting(odd) for name, odd in ODD_MEMBERS.items()},
    **{f"other: {name}": greeting(member("x"), odd) for name, odd in ODD_MEMBERS.items()},
    **{
        f"limit of {number}": NewsNote(
            sender_address="127.0.0.2",
            limits=(LimitNews(run=RUN, limit_per_second=number, age_seconds=1.0),),
        )
        for number in ODD_NUMBERS
    },
    **{
        f"age {number}": NewsNote(
            sender_address="127.0.0.2",
            parts=(
                part_news(crashes=(Crash(run=RUN, age_seconds=number),)),
                part_news(sound_age_seconds=number),
            ),
            limits=(LimitNews(run=RUN, limit_per_second=1.0, age_seconds=number),),
            wants_all=True,
        )
        for number in ODD_NUMBERS
    },
    "sender address": NewsNote(sender_address="a..b", wants_all=True),
    **{f"pace {number}": load(pace=number) for number in ODD_NUMBERS},
    "largest count": load(running=LARGEST),
    "negative count": load(queued=-1),
    "largest start": load(started_ms=LARGEST),
    "largest version": load(versions={ModelName("m"): LARGEST}),
    "port 70000": LoadNote(address="127.0.0.1:70000", report=LoadReport(running=0, queued=0)),
}

# MessagePack: each byte 0x91 begins an array of one item.
ODD_DATAGRAMS: dict[str, bytes] = {
    **{name: encode_note(note) for name, note in ODD_NOTES.items()},
    "2,000 arrays": b"\x91" * 2000 + b"\x01",
    "60,000 arrays": b"\x91" * 60_000 + b"\x01",
    "greeting of 60,000 arrays": b"\x92\xa8greeting" + b"\x91" * 60_000 + b"\x01",
    "field that nobody reads of 60,000 arrays": (
        b"\x95\xa4news\xa9127.0.0.2\x90\x90" + b"\x91" * 60_000 + b"\x01"
    ),
    "invalid UTF-8": b"\x92\xa4news\xa2\xff\xfe",
    "nothing": b"",
    "number": b"\x01",
}


class Receiver:
    """Run one process's gossip and news, and send it datagrams."""

    def __init__(self) -> None:
        self.port = free_ports(1)[0]
        own = settings("127.0.0.1:1", (self.port, self.port))
        self.fleet = FleetService(
            own, role=FleetRole.ROUTER, store=_NoStore(), rng=random.Random(1)
        )
        self.news = NewsService(fleet=self.fleet, rng=random.Random(1))
        self.loads: list[LoadReport] = []
        self.fleet.on_load.append(lambda _, report: self.loads.append(report))
        self.errors: list[dict[str, Any]] = []

    async def start(self) -> None:
        asyncio.get_running_loop().set_exception_handler(lambda _, c: self.errors.append(c))
        await self.fleet.start()
        await self.news.start()

    async def stop(self) -> None:
        await self.news.stop()
        await self.fleet.stop()

    def send(self, datagram: bytes) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(datagram, ("127.0.0.1", self.fleet._settings.gossip_port))

    def knows(self, name: str) -> bool:
        return name in [m.instance_id for m in self.fleet.live_members()]

    async def wait_until_known(self, name: str) -> None:
        while not self.knows(name):  # noqa: ASYNC110
            await asyncio.sleep(0.01)


class _NoStore:
    """Stand in for a store that has no other processes."""

    async def register(self, member: FleetMember) -> None:
        return

    async def list_members(self) -> list[FleetMember]:
        return []

    async def list_state(self, kind: Any) -> Any:
        raise NotImplementedError

    async def watch_state(self, kind: Any, *, after_revision: int, wait_seconds: float) -> Any:
        raise NotImplementedError


@pytest.fixture
async def receiver() -> AsyncIterator[Receiver]:
    receiver = Receiver()
    await receiver.start()
    yield receiver
    await receiver.stop()


class TestDatagrams:
    """Guard against processes that end, or no longer greet, because of what one peer sent."""

    @pytest.mark.parametrize("datagram", ODD_DATAGRAMS.values(), ids=ODD_DATAGRAMS)
    async def test_odd_datagram_leaves_the_process_in_the_fleet(
        self, receiver: Receiver, datagram: bytes
    ) -> None:
        receiver.send(datagram)
        receiver.send(encode_note(greeting(member("front-3", role=FleetRole.ROUTER))))
        async with asyncio.timeout(10):
            await receiver.wait_until_known("front-3")
        # The tasks that send greetings and news go on with what they stored.
        await asyncio.sleep(0.4)
        receiver.fleet.announce(leaving=True)
        receiver.fleet.send_load(
            "127.0.0.1:7001", LoadReport(running=0, queued=0), to_other_zones=True
        )
        receiver.news.limits.all_news(now_seconds=1.0)
        assert receiver.errors == []
        assert not receiver.fleet.crashed
        assert not receiver.news.crashed
        assert not receiver.fleet._transport.is_closing()
        assert all(m.address.startswith("127.0.0.") for m in receiver.fleet.live_members())
        assert receiver.loads == []

    async def test_odd_record_leaves_the_others_of_its_greeting(self, receiver: Receiver) -> None:
        odd = ODD_MEMBERS["largest revision"]
        receiver.send(encode_note(greeting(member("x"), member("y"), odd, member("z"))))
        async with asyncio.timeout(10):
            for name in ("x", "y", "z"):
                await receiver.wait_until_known(name)
        assert not receiver.knows(odd.instance_id)


class TestOddAges:
    """Guard against greetings that prove the state of a time that is still to come."""

    @pytest.mark.parametrize("field", ["weights_age_seconds", "listed_age_seconds"])
    @pytest.mark.parametrize("age", [-1.0, -1e9, float("-inf"), float("nan")])
    def test_greeting_with_an_impossible_age_is_rejected(self, field: str, age: float) -> None:
        odd = Greeting(sender=member("x"), revisions=Revisions(**{field: age}))
        with pytest.raises(NoteMalformedError, match=field):
            decode_note(encode_note(GreetingNote(greeting=odd)))


class TestEncoding:
    """Guard against checks that reject what processes send."""

    def test_note_that_is_proper_comes_back_unchanged(self) -> None:
        copies = tuple((f"model/{n}", "d" * 64) for n in range(20))
        notes: list[Note] = [
            greeting(member("x", copies=copies, serving="model/3"), member("y")),
            load(running=3, pace=2.5, versions={ModelName("m"): 4}),
            NewsNote(
                sender_address="127.0.0.2",
                parts=(part_news(sound_age_seconds=1.0),),
                limits=(LimitNews(run=RUN, limit_per_second=None, age_seconds=0.0),),
            ),
        ]
        assert [decode_note(encode_note(note)) for note in notes] == notes
        assert msgspec.msgpack.decode(encode_note(notes[0]))[0] == "greeting"
