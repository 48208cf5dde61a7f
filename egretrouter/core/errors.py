"""Define the exception hierarchy of egretrouter."""

from enum import Enum


class Outcome(Enum):
    """List what can be known about the execution of a call without an answer."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class EgretrouterError(Exception):
    """Base class of all errors that egretrouter raises deliberately."""


class ValidationError(EgretrouterError):
    """Input from an operator, a caller or a peer is invalid."""


class BackendError(EgretrouterError):
    """A backend of the platform did not respond as expected."""


class BackendUnavailableError(BackendError):
    """The backend is unreachable or temporarily refuses requests."""


class RateLimitedError(BackendUnavailableError):
    """The backend responded with status 429."""

    def __init__(self, message: str, *, retry_after_seconds: float) -> None:
        """Store the retry delay that the backend requested."""
        super().__init__(message)
        self.retry_after_seconds = retry_after_seconds


class MalformedAnswerError(BackendUnavailableError):
    """The backend's response violates its protocol."""


class LostAnswerError(BackendError):
    """The response to a write was lost, so the write may have taken effect."""


class VersionConflictError(BackendError):
    """A conditional update found a version other than the expected one."""

    def __init__(self, key: str, *, expected_version: int, actual_version: int) -> None:
        """Store the key with the expected and actual versions."""
        super().__init__(
            f"object {key!r} is at version {actual_version}, expected {expected_version}"
        )
        self.key = key
        self.expected_version = expected_version
        self.actual_version = actual_version


class ObjectMissingError(BackendError):
    """The object does not exist in the backend."""


class WeightsError(EgretrouterError):
    """A copy of weights cannot continue."""


class CorruptedChunkError(WeightsError):
    """A chunk's content does not match its digest."""


class WeightMemoryError(WeightsError):
    """The weights don't fit into the memory reserved for them."""


class ManifestMismatchError(WeightsError):
    """The manifest does not match the digest pinned by the configuration."""


class PublishConflictError(EgretrouterError):
    """A concurrent publication created the next generation first."""

    def __init__(self, *, generation: int) -> None:
        """Store the generation that was published instead."""
        super().__init__(f"generation {generation} was published by someone else; publish again")
        self.generation = generation


class OrderError(EgretrouterError):
    """An endpoint refused an order or failed to execute it."""


class StaleFencingNumberError(OrderError):
    """The order has a lower fencing number than the endpoint has already accepted."""


class CallError(EgretrouterError):
    """A call could not be answered as requested."""

    outcome = Outcome.UNKNOWN


class CallNotRunError(CallError):
    """The call was refused and did not run."""

    outcome = Outcome.NOT_RUN


class CallUnknownError(CallError):
    """The call may have run, but its answer was lost."""


class ProtocolError(EgretrouterError):
    """A peer process sent a message that violates the protocol."""


class EventTooLargeError(EgretrouterError):
    """An endpoint sent an event that exceeds the size of any event."""


class StreamMismatchError(EgretrouterError):
    """An endpoint's stream does not complete the stream that it was to resume."""
