"""Test that odd content of the platform's systems or of peers costs no more than itself."""

import base64
import json
import random
from collections.abc import AsyncIterator
from typing import Any, cast

import aiohttp
import msgspec
import pytest
from egretrouter_platform._dialect import PlatformDialect
from hypothesis import given
from hypothesis import strategies as st

from egretrouter.backends import HttpEngine, HttpInstanceList, HttpObjectStore, StoredObject
from egretrouter.backends._http import DEFAULT_RETRY_AFTER_SECONDS, parse_retry_after
from egretrouter.core.calls import ClaimShard
from egretrouter.core.configuration import ConfigurationError, ConfigurationIndex
from egretrouter.core.errors import MalformedAnswerError, ValidationError
from egretrouter.core.fencing import AnswerLost, ReadNumber
from egretrouter.core.identifiers import EndpointId, InstanceId, ZoneId
from egretrouter.core.json_parts import JsonStructureError, split_items
from egretrouter.core.membership import Member, MemberRole
from egretrouter.core.membership._gossip import (
    GossipMalformedError,
    Probe,
    decode_gossip,
    encode_gossip,
)
from egretrouter.core.status import StatusMalformedError, ZoneStatus
from egretrouter.daemons._lease import OrderLeaseService
from tests.odd_entries import nested
from tests.test_odd_answers import ODD_VALUES, RawServer

LEVELS = (2_000, 100_000)


@pytest.fixture
async def server() -> AsyncIterator[RawServer]:
    server = RawServer()
    await server.start()
    yield server
    await server.stop()


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as session:
        yield session


def as_json(fields: dict[str, Any], **changes: bytes) -> bytes:
    members = {**{k: json.dumps(v).encode() for k, v in fields.items()}, **changes}
    return b"{" + b",".join(b'"%s":%s' % (k.encode(), v) for k, v in members.items()) + b"}"


def instance(name: str, **changes: bytes) -> bytes:
    fields = {"instance_id": name, "zone": "z", "role": "agent", "address": "127.0.0.1:7"}
    return as_json({**fields, "state": "live"}, **changes)


ODD_ADDRESSES = ("127.0.0.1:70000", "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1", "a..b:1", "")


class TestInstanceList:
    """Guard against a list that one odd entry makes unreadable."""

    @pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
    @pytest.mark.parametrize("field", ["instance_id", "address", "state", "comment"])
    async def test_odd_entry_leaves_the_others(
        self, server: RawServer, session: aiohttp.ClientSession, field: str, value: bytes
    ) -> None:
        odd = instance("odd", **{field: value})
        server.content = b'{"instances":[%s]}' % b",".join([instance("a"), odd, instance("b")])
        found = await HttpInstanceList(session, base_url=f"http://{server.address}").instances()
        assert [i.instance_id for i in found if i.instance_id != "odd"] == ["a", "b"]

    @pytest.mark.parametrize("address", ODD_ADDRESSES)
    async def test_address_that_nothing_can_reach_is_left_out(
        self, server: RawServer, session: aiohttp.ClientSession, address: str
    ) -> None:
        odd = instance("odd", address=json.dumps(address).encode())
        good = instance("b", address=b'"[fd00::1]:7000"')
        server.content = b'{"instances":[%s,%s]}' % (odd, good)
        found = await HttpInstanceList(session, base_url=f"http://{server.address}").instances()
        assert [i.instance_id for i in found] == ["b"]


class TestObjectList:
    """Guard against a list of objects that one odd object makes unreadable."""

    @pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
    @pytest.mark.parametrize("field", ["key", "version", "content", "comment"])
    async def test_odd_object_leaves_the_others(
        self, server: RawServer, session: aiohttp.ClientSession, field: str, value: bytes
    ) -> None:
        content = base64.b64encode(b"x").decode()
        good = [as_json({"key": k, "version": 1, "content": content}) for k in ("a", "b")]
        odd = as_json({"key": "odd", "version": 1, "content": content}, **{field: value})
        server.content = b'{"objects":[%s]}' % b",".join([good[0], odd, good[1]])
        found = await HttpObjectStore(session, base_url=f"http://{server.address}").list("")
        assert [o.key for o in found if o.key != "odd"] == ["a", "b"]


class TestDecoders:
    """Guard against content that ends the process that reads it."""

    @pytest.mark.parametrize("levels", LEVELS)
    async def test_report_that_is_nested_deeply_is_an_error(
        self, server: RawServer, session: aiohttp.ClientSession, levels: int
    ) -> None:
        server.content = b'{"x":%s}' % nested(levels)
        engine = HttpEngine(
            session, base_url=f"http://{server.address}", endpoint_id=EndpointId("e")
        )
        with pytest.raises(MalformedAnswerError):
            await engine.report()

    @pytest.mark.parametrize("levels", LEVELS)
    def test_configuration_index_that_is_nested_deeply_is_an_error(self, levels: int) -> None:
        with pytest.raises(ConfigurationError):
            ConfigurationIndex.from_json(b'{"x":%s}' % nested(levels))

    @pytest.mark.parametrize("generation", [b"-1", b"9" * 30, b"9" * 5000, b"1e999"])
    def test_generation_that_no_message_carries_is_an_error(self, generation: bytes) -> None:
        content = b'{"generation":%s,"publication_id":"p","parts":{}}' % generation
        with pytest.raises(ConfigurationError):
            ConfigurationIndex.from_json(content)

    @pytest.mark.parametrize("levels", LEVELS)
    def test_status_that_is_nested_deeply_is_an_error(self, levels: int) -> None:
        with pytest.raises(StatusMalformedError):
            ZoneStatus.from_json(b'{"x":%s}' % nested(levels))

    @pytest.mark.parametrize("levels", LEVELS)
    def test_claim_shard_that_is_nested_deeply_is_an_error(self, levels: int) -> None:
        with pytest.raises(ValidationError):
            ClaimShard.from_bytes(b"\x81\xa1x" + b"\x91" * levels + b"\x01")

    @pytest.mark.parametrize(
        "changes",
        [
            {"incarnation": 2**64 - 1},
            {"incarnation": -1},
            {"facts_version": 2**64 - 1},
        ],
        ids=str,
    )
    def test_gossip_with_a_counter_that_can_not_grow_is_an_error(
        self, changes: dict[str, Any]
    ) -> None:
        member = Member(
            instance_id=InstanceId("i"),
            zone=ZoneId("z"),
            role=MemberRole.AGENT,
            address="127.0.0.1:7",
            **changes,
        )
        with pytest.raises(GossipMalformedError):
            decode_gossip(encode_gossip(Probe(sender=member, sequence=1)))

    @pytest.mark.parametrize("levels", LEVELS)
    def test_gossip_that_is_nested_deeply_is_an_error(self, levels: int) -> None:
        member = Member(
            instance_id=InstanceId("i"),
            zone=ZoneId("z"),
            role=MemberRole.AGENT,
            address="127.0.0.1:7",
        )
        fields = msgspec.msgpack.decode(encode_gossip(Probe(sender=member, sequence=1)))
        extra = msgspec.Raw(b"\x91" * levels + b"\x01")
        with pytest.raises(GossipMalformedError):
            decode_gossip(msgspec.msgpack.encode([*fields, extra, extra, extra]))


class TestHeaders:
    """Guard against a header that ends the service that reads it."""

    @pytest.mark.parametrize(
        "value",
        [
            "Mon, 01 Jan 99999999999999999999 00:00:00 GMT",
            "Mon, 99999999999999999999 Jan 2020 00:00:00 GMT",
            "x",
            "nan",
        ],
    )
    def test_retry_after_that_is_no_date_gives_the_default(self, value: str) -> None:
        assert parse_retry_after(value) == DEFAULT_RETRY_AFTER_SECONDS

    @pytest.mark.parametrize("value", ["9" * 5000, "9" * 5000 + ",1,1", "-1", "1e999"])
    def test_answer_with_odd_counts_is_read_without_them(self, value: str) -> None:
        headers = {"X-Engine-Load": value, "X-Weight-Versions": value}
        answer = PlatformDialect().read_answer(200, headers)
        assert (answer.load, answer.version) == (None, None)


class _OneObject:
    """Stand in for a store that holds the same content under every key."""

    def __init__(self, content: bytes) -> None:
        self.content = content

    async def get(self, key: str) -> StoredObject:
        return StoredObject(key=key, content=self.content, version=1)


class TestFencingRecord:
    """Guard against an agent that ends because of the record of who may give orders."""

    @pytest.mark.parametrize("number", ODD_VALUES.values(), ids=ODD_VALUES)
    async def test_odd_record_counts_as_no_answer(self, number: bytes) -> None:
        store: Any = _OneObject(b'{"number":%s,"instance_id":"i","life":"x"}' % number)
        service = OrderLeaseService(
            engine=cast(Any, None),
            endpoint_id=EndpointId("e"),
            instance_id=InstanceId("i"),
            checks_fencing=True,
            checks_order_giver=False,
            lease_seconds=1.0,
            store=store,
            rng=random.Random(1),
        )
        message = await service._read_number(ReadNumber(key="k", sequence=1))
        assert message == AnswerLost()
        service.lease.handle(message, now_seconds=1.0)


class TestJsonParts:
    """Guard against parts that are cut at a bracket or comma within a string, or too slowly."""

    @pytest.mark.parametrize(
        ("content", "items"),
        [
            (b"[]", []),
            (b" { } ", []),
            (b"[1]", [b"1"]),
            (b'[1, "a,b]" ,{"x":[1,2,{}]},[[]]]', [b"1", b'"a,b]"', b'{"x":[1,2,{}]}', b"[[]]"]),
            (b'["\\"]","\\\\",""]', [b'"\\"]"', b'"\\\\"', b'""']),
            (b"[[[[]]],[[]]]", [b"[[[]]]", b"[[]]"]),
            (b'["\xff,",nul]', [b'"\xff,"', b"nul"]),
        ],
    )
    def test_items(self, content: bytes, items: list[bytes]) -> None:
        assert split_items(content) == items

    @pytest.mark.parametrize("content", [b"", b"1", b"[", b"[1", b'["]', b"[1]]", b"[[1]", b'{"a"'])
    def test_unbalanced_content_is_an_error(self, content: bytes) -> None:
        with pytest.raises(JsonStructureError):
            split_items(content)

    def test_items_are_found_with_few_steps_for_each(self) -> None:
        large = nested(200_000, b'{"a":', b"}")
        assert split_items(b"[1,%s,2]" % large) == [b"1", large, b"2"]

    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.text(),
            lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
        )
    )
    def test_items_of_any_list_are_those_that_were_joined(self, value: Any) -> None:
        items = [json.dumps(value).encode()] * 3
        assert split_items(b"[" + b" , ".join(items) + b"]") == items
