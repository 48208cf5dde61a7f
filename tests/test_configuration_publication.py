"""Test concurrent and repeated publications and lost answers."""

import random
from collections.abc import Callable

import pytest
from configuration_samples import sample

from egretrouter.core.configuration import (
    INDEX_KEY,
    PART_KEY_PREFIX,
    AnswerLost,
    Begin,
    ConfigurationIndex,
    CreatePart,
    FileCollection,
    IndexConflicted,
    IndexRead,
    IndexUpdated,
    PartStored,
    Publication,
    PublicationCommand,
    PublicationFailed,
    PublicationMessage,
    PublicationSucceeded,
    PublicationUnsettledError,
    ReadIndex,
    Tick,
    UpdateIndex,
)
from egretrouter.core.eras import VERSION_BITS, order_version
from egretrouter.core.errors import PublishConflictError
from egretrouter.core.identifiers import PublicationId


class FakeStore:
    """Simulate a versioned object store that loses a share of requests and answers."""

    def __init__(self, seed: int = 0, *, loss_rate: float = 0.0) -> None:
        self.objects: dict[str, tuple[bytes, int]] = {}
        self.rng = random.Random(seed)
        self.loss_rate = loss_rate
        self.writes: list[bytes] = []
        self.era = 1

    def execute(self, command: PublicationCommand) -> PublicationMessage:
        request_lost, answer_lost = (
            self.rng.random() < self.loss_rate,
            self.rng.random() < self.loss_rate,
        )
        if request_lost:
            return AnswerLost(reason="timeout")
        answer = self._execute_reliably(command)
        return AnswerLost(reason="timeout") if answer_lost else answer

    def _execute_reliably(self, command: PublicationCommand) -> PublicationMessage:
        content, version = self.objects.get(INDEX_KEY, (None, 0))
        if isinstance(command, ReadIndex):
            return IndexRead(content=content, version=version, era=self.era)
        if isinstance(command, CreatePart):
            self.objects.setdefault(command.key, (command.content, 1))
            return PartStored(digest=command.digest)
        assert isinstance(command, UpdateIndex)
        if version != command.expected_version:
            return IndexConflicted()
        self.objects[INDEX_KEY] = (command.content, version + 1)
        self.writes.append(command.content)
        return IndexUpdated()

    def copy(self) -> dict[str, tuple[bytes, int]]:
        """Return what a restore brings back."""
        return dict(self.objects)

    def restore(self, copy: dict[str, tuple[bytes, int]]) -> None:
        """Lose what was written since the copy, and begin a new era."""
        self.era += 1
        self.objects = {
            key: (content, order_version(version % 2**VERSION_BITS, era=self.era))
            for key, (content, version) in copy.items()
        }

    def index(self) -> ConfigurationIndex:
        return ConfigurationIndex.from_json(self.objects[INDEX_KEY][0])


class Operator:
    """Run one publication step by step against a fake store."""

    def __init__(
        self, name: str, collection: FileCollection, store: FakeStore, seed: int = 0
    ) -> None:
        self.publication = Publication(
            collection=collection, publication_id=PublicationId(name), rng=random.Random(seed)
        )
        self.store = store
        self.now_seconds = 0.0
        self.commands = self.publication.handle(Begin(), now_seconds=0.0)
        self.result: PublicationSucceeded | PublicationFailed | None = None

    def step(self) -> None:
        self.now_seconds += 1.0
        commands, self.commands = self.commands, []
        if not commands:
            self.commands = self.publication.handle(Tick(), now_seconds=self.now_seconds)
        for command in commands:
            if isinstance(command, PublicationSucceeded | PublicationFailed):
                self.result = command
                continue
            answer = self.store.execute(command)
            self.commands += self.publication.handle(answer, now_seconds=self.now_seconds)

    def run(self, until: Callable[["Operator"], bool] = lambda _: False) -> "Operator":
        for _ in range(1000):
            if self.result is not None or until(self):
                return self
            self.step()
        raise AssertionError("publication did not end")


def is_about_to_update(operator: Operator) -> bool:
    return any(isinstance(command, UpdateIndex) for command in operator.commands)


class TestPublication:
    """Guard against lost, duplicated and overwritten publications."""

    def test_creates_parts_before_the_index_and_reuses_them(self) -> None:
        store = FakeStore()
        Operator("one", sample(1), store).run()
        assert len(store.objects) == 4
        Operator("two", sample(2), store).run()
        assert len(store.objects) == 5
        assert store.index().generation == 2

    def test_repeating_creates_no_new_generation(self) -> None:
        store = FakeStore()
        Operator("one", sample(1), store).run()
        result = Operator("two", sample(1), store).run().result
        assert result == PublicationSucceeded(generation=store.index().generation, created=False)
        assert len(store.writes) == 1

    def test_one_of_two_racing_operators_gets_a_conflict(self) -> None:
        store = FakeStore()
        late = Operator("late", sample(1), store).run(is_about_to_update)
        Operator("early", sample(2), store).run()
        result = late.run().result
        assert isinstance(result, PublicationFailed)
        assert isinstance(result.error, PublishConflictError)
        assert result.error.generation == 1
        assert store.index().publication_id == "early"

    def test_settles_a_lost_answer_after_later_publications(self) -> None:
        store = FakeStore()
        first = Operator("first", sample(1), store).run(is_about_to_update)
        store._execute_reliably(first.commands.pop())
        first.publication.handle(AnswerLost(reason="timeout"), now_seconds=0.0)
        for number in range(2, 6):
            Operator(f"later-{number}", sample(number), store).run()
        assert first.run().result == PublicationSucceeded(generation=1, created=True)

    def test_reports_an_unsettled_update(self) -> None:
        store = FakeStore()
        operator = Operator("one", sample(1), store).run(is_about_to_update)
        store.loss_rate = 1.0
        result = operator.run().result
        assert isinstance(result, PublicationFailed)
        assert isinstance(result.error, PublicationUnsettledError)

    @pytest.mark.parametrize("seed", range(100))
    def test_results_agree_with_the_store_under_loss(self, seed: int) -> None:
        store = FakeStore(seed, loss_rate=0.3)
        operators = [Operator(f"op-{n}", sample(n), store, seed) for n in range(3)]
        while pending := [o for o in operators if o.result is None]:
            store.rng.choice(pending).step()
        written = [ConfigurationIndex.from_json(content) for content in store.writes]
        assert [index.generation for index in written] == list(range(1, len(written) + 1))
        generations = {index.publication_id: index.generation for index in written}
        assert len(generations) == len(written)
        for number, operator in enumerate(operators):
            generation = generations.get(PublicationId(f"op-{number}"))
            if isinstance(operator.result, PublicationSucceeded):
                assert operator.result.generation == generation
            elif not isinstance(operator.result.error, PublicationUnsettledError):
                assert generation is None


class TestRestoredStore:
    """Guard against a publication that processes take for one that they have applied."""

    def test_a_generation_that_the_store_lost_is_not_given_out_again(self) -> None:
        store = FakeStore()
        Operator("one", sample(1), store).run()
        copy = store.copy()
        Operator("lost", sample(2), store).run()
        lost = store.index().generation
        store.restore(copy)
        result = Operator("three", sample(3), store).run().result
        assert isinstance(result, PublicationSucceeded)
        assert result.generation == store.index().generation
        assert result.generation > lost + 1000
        assert store.index().earlier_publications == ()

    def test_files_published_before_a_restore_are_published_again(self) -> None:
        store = FakeStore()
        Operator("one", sample(1), store).run()
        copy = store.copy()
        Operator("lost", sample(2), store).run()
        lost = store.index().generation
        store.restore(copy)
        # Processes apply the lost generation, so the stored files aren't in force.
        result = Operator("again", sample(1), store).run().result
        assert isinstance(result, PublicationSucceeded)
        assert (result.created, result.generation > lost) == (True, True)
        repeated = Operator("repeated", sample(1), store).run().result
        assert repeated == PublicationSucceeded(generation=result.generation, created=False)

    def test_parts_that_the_store_lost_during_a_publication_are_created_again(self) -> None:
        store = FakeStore()
        Operator("one", sample(1), store).run()
        copy = store.copy()
        two = Operator("two", sample(2), store).run(is_about_to_update)
        store.restore(copy)
        assert isinstance(two.run().result, PublicationSucceeded)
        index = store.index()
        assert index.publication_id == "two"
        missing = [d for d in index.parts.values() if PART_KEY_PREFIX + d not in store.objects]
        assert missing == []

    def test_a_publication_of_the_new_era_is_not_overwritten(self) -> None:
        store = FakeStore()
        Operator("one", sample(1), store).run()
        copy = store.copy()
        late = Operator("late", sample(2), store).run(is_about_to_update)
        store.restore(copy)
        Operator("early", sample(3), store).run()
        result = late.run().result
        assert isinstance(result, PublicationFailed)
        assert isinstance(result.error, PublishConflictError)
        assert store.index().publication_id == "early"
