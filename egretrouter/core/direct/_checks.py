"""Check what other processes and writers say, beyond the types of its fields."""

import math
import re
from typing import Any

import msgspec

from egretrouter.core.addresses import check_address, check_host
from egretrouter.core.direct._endpoint_limits import LimitNews
from egretrouter.core.direct._evacuations import Evacuation
from egretrouter.core.direct._leaving import LeavingNews
from egretrouter.core.direct._load_report import LoadReport
from egretrouter.core.direct._members import FleetMember, Revisions
from egretrouter.core.direct._momentary_load import MAX_SLOWDOWN, MIN_SLOWDOWN
from egretrouter.core.direct._quarantine import PartNews
from egretrouter.core.direct._records import Endpoint, NamedVersion, WeightVersion
from egretrouter.core.errors import ValidationError

MAX_INTEGER = 2**53
"""Counters up to this can still be increased and sent on."""
MAX_CALLS = 1_000_000
MAX_PACE = 1e6
# A process may learn something while it builds a note, which makes the age slightly negative.
MIN_AGE_SECONDS = -1.0
MAX_AGE_SECONDS = 1e9
MAX_RATE_PER_SECOND = 1e9
MAX_ZONE_CHARACTERS = 256
MAX_MEMBER_BYTES = 8192
"""A greeting carries several records, and a datagram not more than 64 KB."""

_SERVING = re.compile(r"(.+/[0-9]{1,16})?", re.ASCII | re.DOTALL)


class RecordMalformedError(ValidationError):
    """A record of another process has a value that none could have."""


def check_member(member: FleetMember) -> FleetMember:
    """Return a record that can be stored and sent on.

    Raises RecordMalformedError or AddressMalformedError.
    """
    check_host(member.address)
    _check_range("started_ms", member.started_ms, 0, MAX_INTEGER)
    _check_range("revision", member.revision, 0, MAX_INTEGER)
    if _SERVING.fullmatch(member.serving) is None:
        raise RecordMalformedError(
            f"serving is {member.serving[:80]!r}, expected MODEL/VERSION or nothing"
        )
    size = len(msgspec.msgpack.encode(member))
    if size > MAX_MEMBER_BYTES:
        raise RecordMalformedError(
            f"the record of {member.instance_id[:80]!r} has {size} bytes, "
            f"expected at most {MAX_MEMBER_BYTES}"
        )
    return member


def check_revisions(revisions: Revisions) -> Revisions:
    """Return revisions whose ages are possible; infinite means unknown.

    An age below zero would prove the state of a time that is still to come. Raises
    RecordMalformedError.
    """
    for name in ("weights_age_seconds", "listed_age_seconds"):
        age: float = getattr(revisions, name)
        if not age >= 0:
            raise RecordMalformedError(f"{name} is {age}, expected 0 or more")
    return revisions


def check_endpoint(endpoint: Endpoint) -> Endpoint:
    """Return a registration that names an engine to use.

    Raises RecordMalformedError or AddressMalformedError.
    """
    check_address(endpoint.address)
    _check_range("slots", endpoint.slots, 0, MAX_CALLS)
    _check_range("started_ms", endpoint.started_ms, 0, MAX_INTEGER)
    _check_range("cold_seconds", endpoint.cold_seconds, 0, MAX_AGE_SECONDS)
    for weights in endpoint.weights or ():
        _check_range("version", weights.version, 0, MAX_INTEGER)
    return endpoint


def check_evacuation(evacuation: Evacuation) -> Evacuation:
    """Return an evacuation whose zone and remaining time are valid.

    Raises RecordMalformedError.
    """
    if not 0 < len(evacuation.zone) <= MAX_ZONE_CHARACTERS:
        raise RecordMalformedError(
            f"the zone {evacuation.zone[:80]!r} has {len(evacuation.zone)} characters, "
            f"expected 1 to {MAX_ZONE_CHARACTERS}"
        )
    if not evacuation.left_seconds >= 0:
        raise RecordMalformedError(f"left_seconds is {evacuation.left_seconds}, expected 0 or more")
    return evacuation


def check_weight_version(target: WeightVersion) -> WeightVersion:
    """Return a target version that processes can send to each other.

    Raises RecordMalformedError.
    """
    _check_range("version", target.version, 0, MAX_INTEGER)
    return target


def check_named_version(name: NamedVersion) -> NamedVersion:
    """Return a named version whose age can be computed with.

    Raises RecordMalformedError.
    """
    _check_range("version", name.version, 0, MAX_INTEGER)
    if not name.age_seconds >= MIN_AGE_SECONDS:
        raise RecordMalformedError(
            f"age_seconds is {name.age_seconds}, expected at least {MIN_AGE_SECONDS}"
        )
    return name


def check_load(report: LoadReport) -> LoadReport:
    """Return a load report that can be computed with.

    Raises RecordMalformedError.
    """
    for name in ("running", "queued", "slots"):
        _check_range(name, getattr(report, name), 0, MAX_CALLS)
    _check_range("pace", report.pace, 0, MAX_PACE)
    _check_range("slowdown", report.slowdown, MIN_SLOWDOWN, MAX_SLOWDOWN)
    _check_range("started_ms", report.started_ms, 0, MAX_INTEGER)
    for version in (report.versions or {}).values():
        _check_range("version", version, 0, MAX_INTEGER)
    return report


def check_part_news(news: PartNews) -> PartNews:
    """Return news of a part whose ages can be computed with.

    Raises RecordMalformedError.
    """
    for crash in news.crashes:
        _check_range("age_seconds", crash.age_seconds, MIN_AGE_SECONDS, MAX_AGE_SECONDS)
        _check_range("started_ms", crash.run.started_ms, 0, MAX_INTEGER)
    if news.sound_age_seconds is not None:
        _check_range("sound_age_seconds", news.sound_age_seconds, MIN_AGE_SECONDS, MAX_AGE_SECONDS)
    return news


def check_leaving_news(news: LeavingNews) -> LeavingNews:
    """Return news of an endpoint that leaves whose age can be computed with.

    Raises RecordMalformedError.
    """
    _check_range("age_seconds", news.age_seconds, MIN_AGE_SECONDS, MAX_AGE_SECONDS)
    _check_range("started_ms", news.run.started_ms, 0, MAX_INTEGER)
    return news


def check_limit_news(news: LimitNews) -> LimitNews:
    """Return news of a limit that can be computed with.

    Raises RecordMalformedError.
    """
    _check_range("age_seconds", news.age_seconds, MIN_AGE_SECONDS, MAX_AGE_SECONDS)
    _check_range("started_ms", news.run.started_ms, 0, MAX_INTEGER)
    if news.limit_per_second is not None:
        _check_range("limit_per_second", news.limit_per_second, 0, MAX_RATE_PER_SECOND)
    return news


def _check_range(name: str, value: Any, lowest: float, highest: float) -> None:
    if not (math.isfinite(value) and lowest <= value <= highest):
        raise RecordMalformedError(f"{name} is {value}, expected {lowest} to {highest:g}")
