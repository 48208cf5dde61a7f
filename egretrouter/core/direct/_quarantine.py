"""Hold back parts of prompts that crash every endpoint that begins to write on them.

A crash breaks all calls in the endpoint's batch, so it alone accuses no part. What tells a part
that crashes endpoints from the others is that no endpoint ever writes on it. Each router sees only
its own calls, so processes share which parts were in calls that a crash broke, and which parts are
sound.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from enum import Enum

import msgspec

from egretrouter.core.direct._endpoint_run import EndpointRun
from egretrouter.core.direct._relay_queue import RelayQueue
from egretrouter.core.identifiers import PromptPartId, ServiceName

SUSPECT_CRASHES = 2
HOLD_CRASHES = 3
"""Crashes without any sign of an answer after which a part is held."""
# An endpoint that wrote on a part this recently shows that another part is to blame.
SOUND_SECONDS = 10.0
# Unrelated crashes must not add up over a long time.
EVIDENCE_SECONDS = 60.0
# So long may a process be cut off and still hold a part that the others have found to be sound.
CLEARED_SECONDS = 600.0
# Each hop adds the time in transit to an age; less than this is no news.
AGE_TOLERANCE_SECONDS = 1.0
TRIAL_SECONDS = 120.0
"""Time until one call with a held part may run, to find out whether it still crashes endpoints."""
TRIAL_FACTOR = 4.0
"""By how much each further crash lengthens that time."""
MAX_PARTS = 512
MAX_CRASHES_PER_PART = 8
MAX_SOUND_PARTS = 4096


class Prompt(msgspec.Struct, frozen=True, kw_only=True):
    """Name a call's service and the parts of its prompt that other calls may have too."""

    service: ServiceName
    parts: tuple[PromptPartId, ...] = ()


class Crash(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Report that an endpoint ended before it had written on a part."""

    run: EndpointRun
    age_seconds: float


class PartNews(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Carry what a process knows of one part."""

    part: PromptPartId
    service: ServiceName
    """The service whose endpoints ended, or wrote on the part."""
    others_answered: bool = False
    """Whether the service has answered other calls since the first of the crashes."""
    crashes: tuple[Crash, ...] = ()
    sound_age_seconds: float | None = None
    """How long ago an endpoint wrote on the part; None if that is not known."""


class PartStanding(Enum):
    """List how a call is to be treated because of the parts of its prompt."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    """The call may be sent once, but not to another endpoint after a crash."""
    HELD = "held"
    """The call is not sent."""


class PartChange(msgspec.Struct, frozen=True, kw_only=True):
    """Report that a part is now held, or that it no longer is."""

    part: PromptPartId
    held: bool


class _Sound(msgspec.Struct, frozen=True, kw_only=True):
    service: ServiceName
    at_seconds: float


class _Record:
    def __init__(self, service: ServiceName) -> None:
        self.service = service
        self.others_answered = False
        """Whether the service has answered calls without the part since the first crash."""
        self.crashes: dict[EndpointRun, float] = {}
        """When each endpoint ended, on this process's clock."""
        self.trial_seconds = float("-inf")

    @property
    def count(self) -> int:
        return len(self.crashes)

    def add(self, run: EndpointRun, at_seconds: float) -> bool:
        """Add a crash and return whether it was new; the newest ones are kept."""
        if run in self.crashes:
            return False
        if self.count >= MAX_CRASHES_PER_PART:
            oldest = min(self.crashes, key=lambda run: self.crashes[run])
            if at_seconds <= self.crashes[oldest]:
                return False
            del self.crashes[oldest]
        self.crashes[run] = at_seconds
        return True

    @property
    def last_seconds(self) -> float:
        return max(self.crashes.values())

    def weight(self) -> tuple[int, float]:
        """Return by how much the record is worth keeping."""
        return self.count, self.last_seconds

    def next_trial_seconds(self) -> float:
        interval = TRIAL_SECONDS * TRIAL_FACTOR ** (self.count - HOLD_CRASHES)
        return max(self.last_seconds, self.trial_seconds) + interval


class PartQuarantine:
    """Collect which parts were in calls that a crash broke, and decide which parts to hold."""

    def __init__(self) -> None:
        self._records: dict[PromptPartId, _Record] = {}
        self._sound: OrderedDict[PromptPartId, float] = OrderedDict()
        """When an endpoint last wrote on a part, of the last SOUND_SECONDS."""
        self._cleared: OrderedDict[PromptPartId, _Sound] = OrderedDict()
        """The same for parts that had been in broken calls, to tell those who missed it."""
        self._queue: RelayQueue[PromptPartId] = RelayQueue()
        self._changes: list[PartChange] = []

    def record_crash(self, prompt: Prompt, run: EndpointRun, *, now_seconds: float) -> None:
        """Record that an endpoint ended before it had written on a prompt."""
        for part in prompt.parts:
            if self._add_crash(part, prompt.service, run, now_seconds):
                self._queue.add_finding(part)

    def record_progress(self, prompt: Prompt, *, now_seconds: float) -> None:
        """Record that an endpoint writes on a prompt, whose parts are thus sound."""
        for part in prompt.parts:
            if part in self._records:
                self._clear(part, _Sound(service=prompt.service, at_seconds=now_seconds))
                self._queue.add_finding(part)
            self._sound[part] = now_seconds
            self._sound.move_to_end(part)
        while self._sound and (
            len(self._sound) > MAX_SOUND_PARTS
            or next(iter(self._sound.values())) < now_seconds - SOUND_SECONDS
        ):
            self._sound.popitem(last=False)
        for part, record in self._records.items():
            if record.service == prompt.service and not record.others_answered:
                record.others_answered = True
                self._queue.add_finding(part)

    def _sound_seconds(self, part: PromptPartId) -> float:
        cleared = self._cleared.get(part)
        return max(
            self._sound.get(part, float("-inf")),
            cleared.at_seconds if cleared is not None else float("-inf"),
        )

    def _add_crash(
        self, part: PromptPartId, service: ServiceName, run: EndpointRun, at_seconds: float
    ) -> bool:
        """Add a crash unless the part is known to be sound, and return whether it was new."""
        if at_seconds <= self._sound_seconds(part) + SOUND_SECONDS:
            return False
        record = self._records.get(part)
        if record is None:
            self._make_room()
            record = self._records[part] = _Record(service)
        was_held = record.count >= HOLD_CRASHES
        if not record.add(run, at_seconds):
            return False
        if record.count >= HOLD_CRASHES and not was_held:
            self._changes.append(PartChange(part=part, held=True))
        return True

    def _make_room(self) -> None:
        if len(self._records) >= MAX_PARTS:
            records = self._records
            del records[min(records, key=lambda part: records[part].weight())]

    def _clear(self, part: PromptPartId, sound: _Sound) -> None:
        """Drop the crashes up to a time at which the part was sound, and remember that time."""
        self._remember_sound(part, sound)
        record = self._records.get(part)
        if record is None:
            return
        was_held = record.count >= HOLD_CRASHES
        until = sound.at_seconds + SOUND_SECONDS
        record.crashes = {run: at for run, at in record.crashes.items() if at > until}
        if was_held and record.count < HOLD_CRASHES:
            self._changes.append(PartChange(part=part, held=False))
        if not record.crashes:
            del self._records[part]

    def _remember_sound(self, part: PromptPartId, sound: _Sound) -> None:
        self._cleared[part] = sound
        self._cleared.move_to_end(part)
        if len(self._cleared) > MAX_PARTS:
            self._cleared.popitem(last=False)

    def expire(self, *, now_seconds: float) -> None:
        """Forget crashes that are too old to accuse a part that is not held."""
        forgotten = now_seconds - CLEARED_SECONDS
        while self._cleared and next(iter(self._cleared.values())).at_seconds < forgotten:
            self._cleared.popitem(last=False)
        oldest = now_seconds - EVIDENCE_SECONDS
        for part, record in list(self._records.items()):
            if record.count >= HOLD_CRASHES:
                continue
            record.crashes = {run: at for run, at in record.crashes.items() if at >= oldest}
            if not record.crashes:
                del self._records[part]

    def standing(self, prompt: Prompt) -> PartStanding:
        """Return how to treat a call with this prompt."""
        if self._held(prompt):
            return PartStanding.HELD
        if any(self._count(part) >= SUSPECT_CRASHES for part in prompt.parts):
            return PartStanding.SUSPECT
        return PartStanding.CLEAR

    def _count(self, part: PromptPartId) -> int:
        record = self._records.get(part)
        return record.count if record is not None else 0

    def _held(self, prompt: Prompt) -> list[PromptPartId]:
        return [
            part
            for part in prompt.parts
            if self._count(part) >= HOLD_CRASHES and self._is_to_blame(part, prompt)
        ]

    def _is_to_blame(self, part: PromptPartId, prompt: Prompt) -> bool:
        """Return whether enough of the part's crashes have no better explanation.

        A part that is in all calls with the crashing one has the same crashes. Calls without the
        crashing part must go on, and show that it is sound.
        """
        accused = self._records[part]
        if not accused.others_answered:
            # Where a service answers no call at all, the parts of prompts are not the cause.
            return False
        unexplained = set(accused.crashes)
        for other, record in self._records.items():
            if other not in prompt.parts and record.count >= accused.count:
                unexplained -= record.crashes.keys()
        return len(unexplained) >= HOLD_CRASHES

    def hold_seconds(
        self,
        prompt: Prompt,
        *,
        is_owner: Callable[[PromptPartId], bool],
        now_seconds: float,
    ) -> float:
        """Return how long a call with this prompt is held; 0 if it may be sent now.

        Once the time of a trial has come, only the owner of each held part sends a call.
        """
        held = self._held(prompt)
        due = max((self._records[part].next_trial_seconds() for part in held), default=now_seconds)
        if due <= now_seconds and not all(is_owner(part) for part in held):
            return TRIAL_SECONDS
        return max(0.0, due - now_seconds)

    def record_send(self, prompt: Prompt, *, now_seconds: float) -> None:
        """Record that a call is sent, which is a trial if any of its parts is held."""
        for part in self._held(prompt):
            self._records[part].trial_seconds = now_seconds

    def merge(self, news: Iterable[PartNews], *, now_seconds: float) -> None:
        """Apply what another process knows, and pass on what was new."""
        for item in news:
            if self._merge_part(item, now_seconds):
                self._queue.add_relay(item.part)

    def _merge_part(self, news: PartNews, now_seconds: float) -> bool:
        """Return whether others are to hear of the part."""
        changed = False
        if news.sound_age_seconds is not None:
            sound = now_seconds - news.sound_age_seconds
            if sound > self._sound_seconds(news.part) + AGE_TOLERANCE_SECONDS:
                self._clear(news.part, _Sound(service=news.service, at_seconds=sound))
                changed = True
        for crash in news.crashes:
            at = now_seconds - crash.age_seconds
            if at <= self._sound_seconds(news.part) + SOUND_SECONDS:
                # The sender does not know yet that the part is sound.
                known = self._sound_seconds(news.part)
                self._remember_sound(news.part, _Sound(service=news.service, at_seconds=known))
                changed = True
            elif len(news.crashes) >= HOLD_CRASHES or crash.age_seconds < EVIDENCE_SECONDS:
                changed |= self._add_crash(news.part, news.service, crash.run, at)
        record = self._records.get(news.part)
        if record is not None and news.others_answered and not record.others_answered:
            record.others_answered = changed = True
        return changed

    def take_findings(self, *, now_seconds: float) -> list[PartNews]:
        """Return what this process learned first since the last call."""
        return self._news(self._queue.take_findings(), now_seconds)

    def take_relays(self, *, limit: int, now_seconds: float) -> list[PartNews]:
        """Return what is to be passed on, parts with most crashes first."""
        return self._news(self._queue.take_relays(limit=limit, urgency=self._count), now_seconds)

    def all_news(self, *, now_seconds: float) -> list[PartNews]:
        """Return all that is known, parts with most crashes first."""
        accused = sorted(self._records, key=self._count, reverse=True)
        return self._news([*accused, *self._cleared.keys() - self._records.keys()], now_seconds)

    def _news(self, parts: Iterable[PromptPartId], now_seconds: float) -> list[PartNews]:
        found = []
        for part in parts:
            record, cleared = self._records.get(part), self._cleared.get(part)
            if record is not None:
                found.append(_accusation(part, record, cleared, now_seconds))
            elif cleared is not None:
                found.append(
                    PartNews(
                        part=part,
                        service=cleared.service,
                        sound_age_seconds=now_seconds - cleared.at_seconds,
                    )
                )
        return found

    def take_changes(self) -> list[PartChange]:
        """Return the parts that were held or released since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def snapshot(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            part: {"crashes": [run.endpoint_id for run in record.crashes]}
            for part, record in self._records.items()
        }


def _accusation(
    part: PromptPartId, record: _Record, cleared: _Sound | None, now_seconds: float
) -> PartNews:
    return PartNews(
        part=part,
        service=record.service,
        others_answered=record.others_answered,
        crashes=tuple(
            Crash(run=run, age_seconds=now_seconds - at) for run, at in record.crashes.items()
        ),
        sound_age_seconds=None if cleared is None else now_seconds - cleared.at_seconds,
    )
