"""Build entries of the store that another writer left, and a store that answers with raw bytes."""

import asyncio
import json
from typing import Any

from aiohttp import web

from tests.platform_standins import StandinServer, registration

DEEP = 2_000
VERY_DEEP = 100_000
GOOD_ADDRESS = "127.0.0.1:7001"


def nested(levels: int, opening: bytes = b"[", closing: bytes = b"]") -> bytes:
    """Return a value that is nested very deeply."""
    return opening * levels + b"1" * (opening[-1:] == b":") + closing * levels


def spec(**changes: bytes) -> bytes:
    """Return an engine's registration as JSON, with some fields as raw bytes."""
    fields = {k: json.dumps(v).encode() for k, v in registration(GOOD_ADDRESS).items()}
    members = {**fields, **changes}
    return b"{" + b",".join(b'"%s":%s' % (k.encode(), v) for k, v in members.items()) + b"}"


def stored(name: bytes, content: bytes, *, revision: bytes = b"2") -> bytes:
    """Return an object as the store writes it, with a raw name, spec and revision."""
    return b'{"meta":{"name":%s,"rev":%s},"spec":%s,"status":null}' % (name, revision, content)


_NAME = b'"i-odd"'
_MANY_DIGITS = b"9" * 5_000

# Raw values that no reader of a field can use, whatever the field.
_UNREADABLE_VALUES: dict[str, bytes] = {
    "2,000 lists": nested(DEEP),
    "100,000 lists": nested(VERY_DEEP),
    "2,000 objects": nested(DEEP, b'{"a":', b"}"),
    "100,000 objects": nested(VERY_DEEP, b'{"a":', b"}"),
    "1e999": b"1e999",
    "5,000 digits": _MANY_DIGITS,
    "-5,000 digits": b"-" + _MANY_DIGITS,
    "NaN": b"NaN",
    "-Infinity": b"-Infinity",
    "lone surrogate": b'"\\ud800"',
    "invalid UTF-8": b'"\xff\xfe"',
    "control character": b'"\x01"',
    "not JSON": b"\xc3\x28",
}

_ODD_SPECS: dict[str, bytes] = {
    **{f"slots: {name}": spec(slots=value) for name, value in _UNREADABLE_VALUES.items()},
    **{f"zone: {name}": spec(zone=value) for name, value in _UNREADABLE_VALUES.items()},
    **{f"born: {name}": spec(born=value) for name, value in _UNREADABLE_VALUES.items()},
    **{f"cold: {name}": spec(cold_left_ms=value) for name, value in _UNREADABLE_VALUES.items()},
    "list": b"[1,2]",
    "null": b"null",
    "number": b"7",
    "text": b'"x"',
    "nothing": b"{}",
    "fractional slots": spec(slots=b"1.5"),
    "list as an address": spec(addr=b'["127.0.0.1",7001]'),
    "unknown state": spec(state=b'"sleeping"'),
    "no state": spec(state=b"null"),
    "huge state": spec(state=b'"%s"' % (b"r" * 100_000)),
    "service of another type": spec(service=b"7"),
    "model without a name": spec(models=b'[{"version":1}]'),
    "models as a number": spec(models=b"1"),
}

# Values that can be read, but that no engine could have written.
_UNUSABLE_SPECS: dict[str, bytes] = {
    **{
        f"{field}: 300 digits": spec(**{field: b"9" * 300})
        for field in ("slots", "born", "cold_left_ms")
    },
    "negative slots": spec(slots=b"-1"),
    "huge slots": spec(slots=b"9" * 18),
    "negative start": spec(born=b"-1"),
    "huge time to stay slow": spec(cold_left_ms=b"1e300"),
    "negative time to stay slow": spec(cold_left_ms=b"-1e300"),
    "no address": spec(addr=b'""'),
    "port 70000": spec(addr=b'"127.0.0.1:70000"'),
    "port -1": spec(addr=b'"127.0.0.1:-1"'),
    "port 0": spec(addr=b'"127.0.0.1:0"'),
    "no port": spec(addr=b'"127.0.0.1"'),
    "empty port": spec(addr=b'"127.0.0.1:"'),
    "port of other digits": spec(addr='"127.0.0.1:\u0667\u0660\u0660\u0661"'.encode()),
    "port of 5,000 digits": spec(addr=b'"127.0.0.1:%s"' % _MANY_DIGITS),
    "port with a path": spec(addr=b'"127.0.0.1:7001/x"'),
    "port with a sign": spec(addr=b'"127.0.0.1:+7001"'),
    "host name": spec(addr=b'"engine.example:7001"'),
    "no host": spec(addr=b'":7001"'),
    "user before the host": spec(addr=b'"x@127.0.0.1:7001"'),
    "space in the address": spec(addr=b'" 127.0.0.1:7001"'),
    "zero byte in the address": spec(addr=b'"127.0.0.1\\u0000:7001"'),
    "huge address": spec(addr=b'"%s:7001"' % (b"1" * 100_000)),
    "huge zone": spec(zone=b'"%s"' % (b"z" * 100_000)),
    "huge version of a model": spec(models=b'[{"name":"m","version":%s}]' % (b"9" * 300)),
    "negative version of a model": spec(models=b'[{"name":"m","version":-1}]'),
}

# Each is an entry of engines that names no engine to use.
ODD_ENTRIES: dict[str, bytes] = {
    **{name: stored(_NAME, content) for name, content in _ODD_SPECS.items()},
    **{name: stored(_NAME, content) for name, content in _UNUSABLE_SPECS.items()},
    "name that is a number": stored(b"7", spec()),
    "name that is null": stored(b"null", spec()),
    "name that is a list": stored(b"[]", spec()),
    "name that can't be read": stored(b'"\xff\xfe"', spec()),
    "name that is a lone surrogate": stored(b'"\\ud800"', spec()),
    "name that is nested deeply": stored(nested(DEEP), spec()),
    "empty name": stored(b'""', spec()),
    "huge name": stored(b'"%s"' % (b"n" * 100_000), spec()),
    "revision that is too large": stored(_NAME, spec(), revision=b"9" * 5_000),
    "revision that is negative": stored(_NAME, spec(), revision=b"-5"),
    "revision that is text": stored(_NAME, spec(), revision=b'"2"'),
    "missing meta": b'{"spec":%s}' % spec(),
    "meta that is a list": b'{"meta":[],"spec":%s}' % spec(),
    "list instead of an object": b"[]",
    "list nested deeply": nested(VERY_DEEP),
    "null instead of an object": b"null",
    "text instead of an object": b'"x"',
    "number instead of an object": b"1e999",
    "empty object": b"{}",
    "field that is no JSON": b'{"meta":{"name":"i-odd","rev":2},"spec":nul,"status":[-]}',
}

# Entries whose oddness lies in a field that nobody reads; they cost the others nothing either.
UNREAD_ODDITIES: dict[str, bytes] = {
    **{name: stored(_NAME, spec(comment=value)) for name, value in _UNREADABLE_VALUES.items()},
    "text with brackets": stored(_NAME, spec(comment=b'"]}{[\\"\\\\"')),
}


class RawStore(StandinServer):
    """Answer listings and watches with objects as raw bytes, a few to a page."""

    def __init__(self, *, page_items: int = 2) -> None:
        super().__init__()
        self.revision = 9
        self.items: dict[str, list[bytes]] = {}
        """The objects of each kind, in the order of their names."""
        self.events: dict[str, list[tuple[int, bytes]]] = {}
        """Events of each kind as raw bytes, with their revisions."""
        self.listings = 0
        self.page_items = page_items
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Add an object, as StoreStandin does, and report it to watches."""
        revision = str(self.revision + 1).encode()
        self.put_raw(
            kind,
            stored(json.dumps(name).encode(), json.dumps(spec).encode(), revision=revision),
        )

    def put_raw(self, kind: str, stored: bytes) -> None:
        """Add an object as raw bytes, and report it to watches."""
        self.items.setdefault(kind, []).append(stored)
        self.add_event(kind, stored)

    def add_event(self, kind: str, stored: bytes, *, deleted: bytes = b"false") -> None:
        """Report a change to all watches."""
        self.revision += 1
        event = b'{"object":%s,"deleted":%s}' % (stored, deleted)
        self.events.setdefault(kind, []).append((self.revision, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        kind = request.path.split("/")[3]
        if request.method != "GET":
            return web.json_response({})
        if "watch" in request.query:
            content = await self._watch(kind, request.query)
        else:
            content = self._page(kind, request.query.get("after"))
        return web.Response(body=content, content_type="application/json")

    def _page(self, kind: str, after: str | None) -> bytes:
        self.listings += after is None
        items = self.items.get(kind, [])
        if after is not None:
            marker = b'{"meta":{"name":"%s",' % after.encode()
            position = max(i for i, item in enumerate(items) if item.startswith(marker))
            items = items[position + 1 :]
        page = items[: self.page_items]
        more = b"true" if len(items) > len(page) else b"false"
        fields = (b",".join(page), more, self.revision)
        return b'{"items":[%s],"more":%s,"store_revision":%d}' % fields

    async def _watch(self, kind: str, query: Any) -> bytes:
        after = int(query["watch"])
        deadline = asyncio.get_running_loop().time() + int(query["wait_ms"]) / 1000
        while True:
            found = [event for revision, event in self.events.get(kind, []) if revision > after]
            left = deadline - asyncio.get_running_loop().time()
            if found or left <= 0:
                fields = (b",".join(found), self.revision)
                return b'{"events":[%s],"store_revision":%d}' % fields
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue
