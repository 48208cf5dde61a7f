"""Call the platform's object API over HTTP."""

import base64
from collections.abc import AsyncIterator, Callable, Iterator, Mapping

import aiohttp
import msgspec
from eliot import log_message

from egretrouter.backends._http import HttpCaller
from egretrouter.backends._ports import StoredObject
from egretrouter.core.decoding import DECODE_ERRORS, quote_content
from egretrouter.core.errors import (
    LostAnswerError,
    MalformedAnswerError,
    ObjectMissingError,
    VersionConflictError,
)
from egretrouter.core.json_parts import split_list

MAX_OBJECT_BYTES = 1024 * 1024
MAX_LIST_BYTES = 64 * 1024 * 1024
WATCH_MARGIN_SECONDS = 5.0


class _ListedObject(msgspec.Struct, frozen=True):
    key: str
    version: int
    content: str


class HttpObjectStore:
    """Implement ObjectStore over HTTP, with a timeout for every request."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        *,
        base_url: str,
        timeout_seconds: float = 5.0,
        watch_seconds: float = 30.0,
        reachable: Callable[[str], bool] = lambda _: True,
    ) -> None:
        """Limit each request to timeout_seconds and each long poll to watch_seconds."""
        self._caller = HttpCaller(
            session,
            name="object store",
            base_url=base_url,
            timeout_seconds=timeout_seconds,
            reachable=reachable,
        )
        self._watch_seconds = watch_seconds

    async def get(self, key: str) -> StoredObject:
        """Read one object."""
        url = self._caller.url("objects", key)
        answer = await self._caller.read(url, max_bytes=MAX_OBJECT_BYTES)
        if answer.status == 404:
            raise ObjectMissingError(f"object {key!r} does not exist")
        if answer.status != 200:
            raise self._caller.unexpected_answer("GET", url, answer)
        return StoredObject(key=key, content=answer.content, version=_parse_version(answer.headers))

    async def put(self, key: str, content: bytes, *, expected_version: int | None = None) -> int:
        """Write one object and return its new version."""
        url = self._caller.url("objects", key)
        headers = _precondition_headers(expected_version)
        answer = await self._caller.write("PUT", url, headers=headers, data=content)
        if answer.status == 412:
            raise _conflict_error(key, expected_version, answer.headers)
        if answer.status not in (200, 201):
            raise self._caller.unexpected_answer("PUT", url, answer)
        try:
            return _parse_version(answer.headers)
        except MalformedAnswerError as error:
            raise LostAnswerError(str(error)) from error

    async def delete(self, key: str, *, expected_version: int | None = None) -> None:
        """Delete one object."""
        url = self._caller.url("objects", key)
        answer = await self._caller.write(
            "DELETE", url, headers=_precondition_headers(expected_version)
        )
        if answer.status == 412:
            raise _conflict_error(key, expected_version, answer.headers)
        if answer.status == 404:
            raise ObjectMissingError(f"object {key!r} does not exist")
        if answer.status not in (200, 204):
            raise self._caller.unexpected_answer("DELETE", url, answer)

    async def list(self, prefix: str) -> list[StoredObject]:
        """Read all objects whose keys start with a prefix."""
        url = self._caller.url("objects").with_query(prefix=prefix)
        answer = await self._caller.read(url, max_bytes=MAX_LIST_BYTES)
        if answer.status != 200:
            raise self._caller.unexpected_answer("GET", url, answer)
        try:
            return list(_decode_objects(answer.content))
        except DECODE_ERRORS as error:
            raise MalformedAnswerError(f"object store: malformed list: {error}") from error

    async def watch(self, key: str, *, after_version: int) -> AsyncIterator[StoredObject]:
        """Yield each version of the object that is newer than the last one."""
        timeout = aiohttp.ClientTimeout(total=self._watch_seconds + WATCH_MARGIN_SECONDS)
        seen_version = after_version
        while True:
            url = self._caller.url("objects", key).with_query(
                watch=seen_version, wait_seconds=str(self._watch_seconds)
            )
            answer = await self._caller.read(url, timeout=timeout, max_bytes=MAX_OBJECT_BYTES)
            if answer.status == 304:
                continue
            if answer.status != 200:
                raise self._caller.unexpected_answer("GET", url, answer)
            version = _parse_version(answer.headers)
            if version <= seen_version:
                raise MalformedAnswerError(
                    f"object store: a watch of {key!r} after version {seen_version} "
                    f"answered version {version}"
                )
            seen_version = version
            yield StoredObject(key=key, content=answer.content, version=version)


def _decode_objects(content: bytes) -> Iterator[StoredObject]:
    """Yield the objects that can be read; the others are logged."""
    for entry in split_list(content, "objects"):
        try:
            listed = msgspec.json.decode(entry, type=_ListedObject)
            decoded = base64.b64decode(listed.content, validate=True)
        except DECODE_ERRORS as error:
            log_message(
                "object_store:entry_malformed", error=str(error), content=quote_content(entry)
            )
        else:
            yield StoredObject(key=listed.key, content=decoded, version=listed.version)


def _precondition_headers(expected_version: int | None) -> dict[str, str]:
    if expected_version is None:
        return {}
    if expected_version == 0:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{expected_version}"'}


def _parse_version(headers: Mapping[str, str]) -> int:
    tag = headers.get("ETag", "")
    try:
        return int(tag.strip('"'))
    except ValueError:
        raise MalformedAnswerError(f"object store: ETag {tag!r} is not a version") from None


def _conflict_error(
    key: str, expected_version: int | None, headers: Mapping[str, str]
) -> VersionConflictError:
    return VersionConflictError(
        key, expected_version=expected_version or 0, actual_version=_parse_version(headers)
    )
