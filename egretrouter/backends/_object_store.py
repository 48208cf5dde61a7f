"""Call the platform's object API over HTTP."""

import base64
from collections.abc import AsyncIterator, Callable, Iterator, Mapping

import aiohttp
import msgspec
from eliot import log_message

from egretrouter.backends._http import Answer, HttpCaller
from egretrouter.backends._ports import StoredObject
from egretrouter.core.decoding import DECODE_ERRORS, quote_content
from egretrouter.core.eras import order_version, split_version
from egretrouter.core.errors import (
    BackendError,
    BackendUnavailableError,
    LostAnswerError,
    MalformedAnswerError,
    ObjectMissingError,
    VersionConflictError,
)
from egretrouter.core.json_parts import split_list

MAX_OBJECT_BYTES = 1024 * 1024
MAX_LIST_BYTES = 64 * 1024 * 1024
WATCH_MARGIN_SECONDS = 5.0
STORE_ERA_HEADER = "X-Store-Era"
MAX_ERA_DIGITS = 9
IF_STORE_ERA_HEADER = "X-If-Store-Era"


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
        self._era = 0

    @property
    def era(self) -> int:
        """Return the latest era that the store told, 0 if it told none."""
        return self._era

    async def get(self, key: str) -> StoredObject:
        """Read one object."""
        url = self._caller.url("objects", key)
        answer = await self._caller.read(url, max_bytes=MAX_OBJECT_BYTES)
        era = self._record_era(answer)
        if answer.status == 404:
            raise ObjectMissingError(f"object {key!r} does not exist")
        if answer.status != 200:
            raise self._caller.unexpected_answer("GET", url, answer)
        version = _parse_version(answer.headers, era=era)
        return StoredObject(key=key, content=answer.content, version=version)

    async def put(self, key: str, content: bytes, *, expected_version: int | None = None) -> int:
        """Write one object and return its new version."""
        url = self._caller.url("objects", key)
        headers = _precondition_headers(expected_version)
        answer = await self._caller.write("PUT", url, headers=headers, data=content)
        era = self._record_era_of_write(answer)
        if answer.status == 412:
            raise _conflict_error(key, expected_version, answer.headers, era=era)
        if answer.status not in (200, 201):
            raise self._caller.unexpected_answer("PUT", url, answer)
        try:
            return _parse_version(answer.headers, era=era)
        except MalformedAnswerError as error:
            raise LostAnswerError(str(error)) from error

    async def delete(self, key: str, *, expected_version: int | None = None) -> None:
        """Delete one object."""
        url = self._caller.url("objects", key)
        answer = await self._caller.write(
            "DELETE", url, headers=_precondition_headers(expected_version)
        )
        era = self._record_era_of_write(answer)
        if answer.status == 412:
            raise _conflict_error(key, expected_version, answer.headers, era=era)
        if answer.status == 404:
            raise ObjectMissingError(f"object {key!r} does not exist")
        if answer.status not in (200, 204):
            raise self._caller.unexpected_answer("DELETE", url, answer)

    async def list(self, prefix: str) -> list[StoredObject]:
        """Read all objects whose keys start with a prefix."""
        url = self._caller.url("objects").with_query(prefix=prefix)
        answer = await self._caller.read(url, max_bytes=MAX_LIST_BYTES)
        era = self._record_era(answer)
        if answer.status != 200:
            raise self._caller.unexpected_answer("GET", url, answer)
        try:
            return list(_decode_objects(answer.content, era=era))
        except DECODE_ERRORS as error:
            raise MalformedAnswerError(f"object store: malformed list: {error}") from error

    async def watch(self, key: str, *, after_version: int) -> AsyncIterator[StoredObject]:
        """Yield each version of the object that is newer than the last one."""
        timeout = aiohttp.ClientTimeout(total=self._watch_seconds + WATCH_MARGIN_SECONDS)
        seen_version = after_version
        while True:
            query = {"wait_seconds": str(self._watch_seconds)}
            # A version of an earlier era means nothing in a later one.
            era, version = split_version(seen_version)
            query["watch"] = str(version if era >= self._era else 0)
            if self._era:
                query["era"] = str(self._era)
            url = self._caller.url("objects", key).with_query(query)
            answer = await self._caller.read(url, timeout=timeout, max_bytes=MAX_OBJECT_BYTES)
            answer_era = self._record_era(answer)
            if answer.status == 410:
                raise BackendUnavailableError(f"object store: the history of {key!r} is gone")
            if answer.status == 304:
                continue
            if answer.status != 200:
                raise self._caller.unexpected_answer("GET", url, answer)
            version = _parse_version(answer.headers, era=answer_era)
            if version <= seen_version:
                raise MalformedAnswerError(
                    f"object store: a watch of {key!r} after version {seen_version} "
                    f"answered version {version}"
                )
            seen_version = version
            yield StoredObject(key=key, content=answer.content, version=version)

    def _record_era(self, answer: Answer) -> int:
        """Record the era of an answer, 0 if the store tells none.

        Raises MalformedAnswerError, or BackendUnavailableError for the answer of an earlier era.
        """
        value = answer.headers.get(STORE_ERA_HEADER)
        if value is None and not self._era:
            return 0
        era = _parse_era(value)
        if era < self._era:
            raise BackendUnavailableError(
                f"object store: an answer of era {era} arrived in era {self._era}"
            )
        if self._era and era > self._era:
            log_message("store:restored", era=era, previous_era=self._era)
        self._era = era
        return era

    def _record_era_of_write(self, answer: Answer) -> int:
        """Record the era of the answer to a write.

        Raises LostAnswerError, because a write of an earlier era may not be kept.
        """
        try:
            return self._record_era(answer)
        except BackendError as error:
            raise LostAnswerError(str(error)) from error


def _parse_era(value: str | None) -> int:
    digits = value is not None and value.isascii() and value.isdigit()
    if value is None or not digits or len(value) > MAX_ERA_DIGITS or not int(value):
        raise MalformedAnswerError(
            f"object store: {STORE_ERA_HEADER} {(value or '')[:MAX_ERA_DIGITS]!r} is not a "
            f"positive integer of at most {MAX_ERA_DIGITS} digits"
        )
    return int(value)


def _decode_objects(content: bytes, *, era: int) -> Iterator[StoredObject]:
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
            version = order_version(listed.version, era=era)
            yield StoredObject(key=listed.key, content=decoded, version=version)


def _precondition_headers(expected_version: int | None) -> dict[str, str]:
    if expected_version is None:
        return {}
    if expected_version == 0:
        return {"If-None-Match": "*"}
    era, version = split_version(expected_version)
    return {"If-Match": f'"{version}"', IF_STORE_ERA_HEADER: str(era)}


def _parse_version(headers: Mapping[str, str], *, era: int) -> int:
    tag = headers.get("ETag", "")
    try:
        return order_version(int(tag.strip('"')), era=era)
    except ValueError:
        raise MalformedAnswerError(f"object store: ETag {tag!r} is not a version") from None


def _conflict_error(
    key: str, expected_version: int | None, headers: Mapping[str, str], *, era: int
) -> VersionConflictError:
    actual_version = _parse_version(headers, era=era)
    return VersionConflictError(
        key, expected_version=expected_version or 0, actual_version=actual_version
    )
