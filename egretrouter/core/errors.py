"""Define the exception tree of egretrouter."""

from enum import Enum


class Outcome(Enum):
    """State what is known about a call that has no answer."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class EgretrouterError(Exception):
    """Root of every error that egretrouter raises on purpose."""


class ValidationError(EgretrouterError):
    """Input from an operator, a caller or a peer breaks a rule."""


class BackendError(EgretrouterError):
    """A system of the platform failed to answer as expected."""


class BackendUnavailableError(BackendError):
    """The platform's system can't be reached or refuses work for now."""


class RateLimitedError(BackendUnavailableError):
    """The platform's system answered 429."""

    def __init__(self, message: str, *, retry_after_seconds: float) -> None:
        """Keep the delay that the system asked for."""
        super().__init__(message)
        self.retry_after_seconds = retry_after_seconds


class MalformedAnswerError(BackendUnavailableError):
    """The platform's system answered against its protocol."""


class LostAnswerError(BackendError):
    """The answer of a write was lost, so the write may have taken effect."""


class VersionConflictError(BackendError):
    """A conditional update found another version than expected."""

    def __init__(self, key: str, *, expected_version: int, actual_version: int) -> None:
        """Keep both versions."""
        super().__init__(
            f"object {key!r} is at version {actual_version}, expected {expected_version}"
        )
        self.key = key
        self.expected_version = expected_version
        self.actual_version = actual_version


class ObjectMissingError(BackendError):
    """The object does not exist."""


class WeightsError(EgretrouterError):
    """A copy of weights can't go on."""


class CorruptedChunkError(WeightsError):
    """A chunk's content does not match its digest."""


class WeightMemoryError(WeightsError):
    """The weights don't fit into the memory reserved for them."""


class ManifestMismatchError(WeightsError):
    """The manifest does not match the digest pinned by the configuration."""


class PublishConflictError(EgretrouterError):
    """Another publication won the race for the next generation."""

    def __init__(self, *, generation: int) -> None:
        """Keep the generation that is in force."""
        super().__init__(f"generation {generation} was published by someone else; publish again")
        self.generation = generation


class OrderError(EgretrouterError):
    """An endpoint refused an order or could not carry it out."""


class StaleFencingNumberError(OrderError):
    """The order carried a lower fencing number than the endpoint knows."""


class CallError(EgretrouterError):
    """A call could not be answered as its caller asked."""

    outcome = Outcome.UNKNOWN


class CallNotRunError(CallError):
    """The call was refused and did not run."""

    outcome = Outcome.NOT_RUN


class CallUnknownError(CallError):
    """The call may have run, and its answer is lost."""


class ProtocolError(EgretrouterError):
    """A process of the system sent something that the protocol does not allow."""
