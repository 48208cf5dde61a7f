"""Test which parts of prompts are held, and what processes tell each other about them."""

import random

import pytest

from egretrouter.core.direct import EndpointRun, PartQuarantine, PartStanding, Prompt
from egretrouter.core.direct._quarantine import (
    EVIDENCE_SECONDS,
    HOLD_CRASHES,
    MAX_CRASHES_PER_PART,
    MAX_PARTS,
    SOUND_SECONDS,
    SUSPECT_CRASHES,
    TRIAL_FACTOR,
    TRIAL_SECONDS,
)
from egretrouter.core.direct._relay_queue import RELAYS
from egretrouter.core.identifiers import EndpointId, PromptPartId, ServiceName

CRASHING, SHARED, OTHER, THIRD = (PromptPartId(f"{n:04x}") for n in range(4))
ENGINES, OTHER_ENGINES = ServiceName("engines"), ServiceName("other-engines")
FIRST_SECONDS = 100.0


def prompt(*parts: PromptPartId) -> Prompt:
    return Prompt(service=ENGINES, parts=parts)


def run(number: int, *, started_ms: int = 1) -> EndpointRun:
    return EndpointRun(endpoint_id=EndpointId(f"i-{number}"), started_ms=started_ms)


def crash(
    quarantine: PartQuarantine,
    *parts: PromptPartId,
    count: int = HOLD_CRASHES,
    first: int = 0,
    at_seconds: float = FIRST_SECONDS,
) -> None:
    """Let calls with some parts end endpoints, one a second, while other calls are answered."""
    for number in range(first, first + count):
        quarantine.record_crash(
            prompt(*parts), run(number), now_seconds=at_seconds + number - first
        )
        quarantine.record_progress(prompt(), now_seconds=at_seconds + number - first + 0.5)


def hold_seconds(quarantine: PartQuarantine, now_seconds: float, *, owner: bool = True) -> float:
    return quarantine.hold_seconds(
        prompt(CRASHING), is_owner=lambda part: owner, now_seconds=now_seconds
    )


def exchange(quarantines: list[PartQuarantine], *, now_seconds: float) -> int:
    """Deliver what each process passes on to all others; return the number of notes."""
    notes = 0
    for sender in quarantines:
        news = sender.take_findings(now_seconds=now_seconds)
        news += sender.take_relays(limit=8, now_seconds=now_seconds)
        for receiver in quarantines:
            if news and receiver is not sender:
                receiver.merge(news, now_seconds=now_seconds)
                notes += 1
    return notes


class TestHolding:
    """Guard against parts that crash endpoint after endpoint, and against holding sound ones."""

    def test_part_is_suspected_and_then_held(self) -> None:
        quarantine = PartQuarantine()
        standings = []
        for number in range(HOLD_CRASHES):
            crash(quarantine, CRASHING, count=1, first=number, at_seconds=FIRST_SECONDS + number)
            standings.append(quarantine.standing(prompt(OTHER, CRASHING)))
        expected = [PartStanding.CLEAR, PartStanding.SUSPECT, PartStanding.HELD]
        assert standings == expected
        assert quarantine.standing(prompt(OTHER)) is PartStanding.CLEAR

    def test_calls_that_broke_together_count_as_one_crash(self) -> None:
        quarantine = PartQuarantine()
        for _ in range(HOLD_CRASHES):
            crash(quarantine, CRASHING, count=1)
        assert quarantine.standing(prompt(CRASHING)) is PartStanding.CLEAR

    def test_endpoint_that_starts_again_under_its_id_counts_again(self) -> None:
        quarantine = PartQuarantine()
        for started_ms in range(HOLD_CRASHES):
            quarantine.record_crash(
                prompt(CRASHING), run(1, started_ms=started_ms), now_seconds=FIRST_SECONDS
            )
        quarantine.record_progress(prompt(), now_seconds=FIRST_SECONDS + 1)
        assert quarantine.standing(prompt(CRASHING)) is PartStanding.HELD

    def test_sound_part_is_held_when_many_endpoints_crash_at_once(self) -> None:
        quarantine = PartQuarantine()
        quarantine.record_progress(prompt(SHARED), now_seconds=FIRST_SECONDS - SOUND_SECONDS / 2)
        for number in range(8):
            quarantine.record_crash(prompt(SHARED), run(number), now_seconds=FIRST_SECONDS)
        quarantine.record_progress(prompt(), now_seconds=FIRST_SECONDS + 1)
        assert quarantine.standing(prompt(SHARED)) is PartStanding.CLEAR

    def test_answer_releases_a_part(self) -> None:
        quarantine = PartQuarantine()
        crash(quarantine, SHARED)
        quarantine.record_progress(prompt(SHARED), now_seconds=FIRST_SECONDS + 5)
        assert quarantine.standing(prompt(SHARED)) is PartStanding.CLEAR

    def test_all_parts_are_held_when_no_call_is_answered(self) -> None:
        quarantine = PartQuarantine()
        quarantine.record_progress(prompt(THIRD), now_seconds=FIRST_SECONDS - 1)
        for number in range(6):
            quarantine.record_crash(prompt(SHARED), run(number), now_seconds=FIRST_SECONDS + number)
        assert quarantine.standing(prompt(SHARED)) is PartStanding.SUSPECT

    def test_answers_of_other_services_make_all_parts_held(self) -> None:
        quarantine = PartQuarantine()
        for number in range(6):
            quarantine.record_crash(prompt(SHARED), run(number), now_seconds=FIRST_SECONDS + number)
            quarantine.record_progress(
                Prompt(service=OTHER_ENGINES), now_seconds=FIRST_SECONDS + number
            )
        assert quarantine.standing(prompt(SHARED)) is PartStanding.SUSPECT

    def test_part_beside_the_crashing_one_is_held(self) -> None:
        quarantine = PartQuarantine()
        crash(quarantine, SHARED, CRASHING)
        assert quarantine.standing(prompt(SHARED, CRASHING)) is PartStanding.HELD
        # Either of them may be the cause, so a call with one of them finds out.
        assert quarantine.standing(prompt(SHARED)) is PartStanding.SUSPECT
        assert quarantine.standing(prompt(OTHER, CRASHING)) is PartStanding.SUSPECT
        crash(quarantine, OTHER, CRASHING, count=1, first=HOLD_CRASHES, at_seconds=110.0)
        assert quarantine.standing(prompt(OTHER, CRASHING)) is PartStanding.HELD
        assert quarantine.standing(prompt(SHARED)) is PartStanding.SUSPECT

    def test_unrelated_crashes_add_up_over_time(self) -> None:
        quarantine = PartQuarantine()
        for number in range(2 * HOLD_CRASHES):
            now = FIRST_SECONDS + number * EVIDENCE_SECONDS / 2
            crash(quarantine, SHARED, count=1, first=number, at_seconds=now)
            quarantine.expire(now_seconds=now + EVIDENCE_SECONDS / 2 + 1)
        assert quarantine.standing(prompt(SHARED)) is PartStanding.CLEAR

    def test_held_part_is_forgotten_in_a_flood_of_others(self) -> None:
        quarantine = PartQuarantine()
        crash(quarantine, CRASHING)
        for number in range(2 * MAX_PARTS):
            part = PromptPartId(f"{number:08x}")
            quarantine.record_crash(prompt(part), run(99), now_seconds=FIRST_SECONDS + 10)
        assert quarantine.standing(prompt(CRASHING)) is PartStanding.HELD
        assert len(quarantine.all_news(now_seconds=FIRST_SECONDS + 10)) == MAX_PARTS


class TestTrials:
    """Guard against parts that are held for ever, and against trials by many routers at once."""

    def test_only_the_owner_makes_a_trial_when_its_time_has_come(self) -> None:
        quarantine = PartQuarantine()
        crash(quarantine, CRASHING)
        due = FIRST_SECONDS + HOLD_CRASHES - 1 + TRIAL_SECONDS
        assert hold_seconds(quarantine, due - 5) == pytest.approx(5)
        assert hold_seconds(quarantine, due) == 0
        assert hold_seconds(quarantine, due, owner=False) > 0

    def test_trial_in_progress_is_the_only_one(self) -> None:
        quarantine = PartQuarantine()
        crash(quarantine, CRASHING)
        due = FIRST_SECONDS + HOLD_CRASHES + TRIAL_SECONDS
        quarantine.record_send(prompt(CRASHING), now_seconds=due)
        assert hold_seconds(quarantine, due + 1) > 0

    def test_trial_that_crashes_lengthens_the_time_to_the_next(self) -> None:
        quarantine = PartQuarantine()
        crash(quarantine, CRASHING)
        crash(quarantine, CRASHING, count=1, first=HOLD_CRASHES, at_seconds=300.0)
        assert hold_seconds(quarantine, 300.0) == pytest.approx(TRIAL_SECONDS * TRIAL_FACTOR)

    def test_time_of_the_newest_crash_is_lost_among_many(self) -> None:
        quarantine = PartQuarantine()
        crash(quarantine, CRASHING, count=MAX_CRASHES_PER_PART)
        crash(quarantine, CRASHING, count=1, first=99, at_seconds=10_000.0)
        longest = TRIAL_SECONDS * TRIAL_FACTOR ** (MAX_CRASHES_PER_PART - HOLD_CRASHES)
        assert hold_seconds(quarantine, 10_000.0) == pytest.approx(longest)

    def test_trial_that_is_answered_releases_the_part_everywhere(self) -> None:
        quarantines = [PartQuarantine() for _ in range(3)]
        crash(quarantines[0], CRASHING)
        exchange(quarantines, now_seconds=FIRST_SECONDS + 3)
        quarantines[1].record_progress(prompt(CRASHING), now_seconds=FIRST_SECONDS + 200)
        exchange(quarantines, now_seconds=FIRST_SECONDS + 200)
        assert all(q.standing(prompt(CRASHING)) is PartStanding.CLEAR for q in quarantines)


class TestExchange:
    """Guard against routers that each know too little, and against endless notes."""

    def test_each_router_sees_too_few_crashes(self) -> None:
        quarantines = [PartQuarantine() for _ in range(5)]
        for number, quarantine in enumerate(quarantines):
            crash(quarantine, CRASHING, count=1, first=number, at_seconds=FIRST_SECONDS + number)
            exchange(quarantines, now_seconds=FIRST_SECONDS + number)
        for quarantine in quarantines:
            quarantine.record_progress(prompt(), now_seconds=FIRST_SECONDS + 10)
        assert all(q.standing(prompt(CRASHING)) is PartStanding.HELD for q in quarantines)

    def test_router_without_answers_sends_calls_with_a_held_part(self) -> None:
        known, quiet = PartQuarantine(), PartQuarantine()
        crash(known, CRASHING)
        quiet.merge(known.take_findings(now_seconds=110.0), now_seconds=110.0)
        assert quiet.standing(prompt(CRASHING)) is PartStanding.HELD

    def test_router_that_knows_better_clears_a_part_for_the_others(self) -> None:
        quarantines = [PartQuarantine() for _ in range(3)]
        quarantines[2].record_progress(prompt(SHARED), now_seconds=FIRST_SECONDS)
        crash(quarantines[0], SHARED)
        for _ in range(2):
            exchange(quarantines, now_seconds=FIRST_SECONDS + 3)
        assert all(q.standing(prompt(SHARED)) is PartStanding.CLEAR for q in quarantines)

    def test_notes_go_on_for_ever(self) -> None:
        quarantines = [PartQuarantine() for _ in range(4)]
        quarantines[3].record_progress(prompt(SHARED), now_seconds=FIRST_SECONDS)
        for number, quarantine in enumerate(quarantines[:3]):
            crash(quarantine, CRASHING, SHARED, first=10 * number)
        notes = [exchange(quarantines, now_seconds=105 + 0.05 * step) for step in range(5 * RELAYS)]
        assert notes[0] > 0
        assert notes[-1] == 0

    def test_part_cleared_behind_a_partition_is_held_again(self) -> None:
        known, cut_off = PartQuarantine(), PartQuarantine()
        for quarantine in (known, cut_off):
            crash(quarantine, SHARED)
        known.record_progress(prompt(SHARED), now_seconds=FIRST_SECONDS + 4)
        late = FIRST_SECONDS + 4 * SOUND_SECONDS
        known.record_progress(prompt(OTHER), now_seconds=late)
        known.merge(cut_off.all_news(now_seconds=late), now_seconds=late)
        cut_off.merge(known.all_news(now_seconds=late), now_seconds=late)
        assert known.standing(prompt(SHARED)) is PartStanding.CLEAR
        assert cut_off.standing(prompt(SHARED)) is PartStanding.CLEAR

    def test_process_that_joins_late_learns_held_parts(self) -> None:
        known, joining = PartQuarantine(), PartQuarantine()
        crash(known, CRASHING)
        late = FIRST_SECONDS + 10 * EVIDENCE_SECONDS
        joining.merge(known.all_news(now_seconds=late), now_seconds=late)
        joining.record_progress(prompt(), now_seconds=late)
        assert joining.standing(prompt(CRASHING)) is PartStanding.HELD

    @pytest.mark.parametrize("seed", range(5))
    def test_lost_notes_leave_processes_behind(self, seed: int) -> None:
        rng = random.Random(seed)
        quarantines = [PartQuarantine() for _ in range(100)]
        for number in range(HOLD_CRASHES):
            crash(quarantines[number], CRASHING, count=1, first=number)
        now = FIRST_SECONDS + 1
        for step in range(40):
            now += 0.05
            for sender in quarantines:
                news = sender.take_findings(now_seconds=now)
                news += sender.take_relays(limit=8, now_seconds=now)
                if step % 20 == 19:
                    news += sender.all_news(now_seconds=now)
                for receiver in rng.sample(quarantines, 2):
                    if news and rng.random() < 0.9:
                        receiver.merge(news, now_seconds=now)
        for quarantine in quarantines:
            quarantine.record_progress(prompt(), now_seconds=now)
        assert all(q.standing(prompt(CRASHING)) is PartStanding.HELD for q in quarantines)

    def test_suspicion_needs_several_crashes(self) -> None:
        quarantine = PartQuarantine()
        crash(quarantine, SHARED, count=SUSPECT_CRASHES - 1)
        assert quarantine.standing(prompt(SHARED)) is PartStanding.CLEAR
