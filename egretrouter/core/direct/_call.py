"""Decide the next step of a call after each send to an endpoint."""

from enum import Enum

import msgspec

from egretrouter.core.direct._records import Route


class SendOutcome(Enum):
    """List the ways in which a send to an endpoint can end."""

    NOT_SENT = "not_sent"
    """The connection to the endpoint could not be established."""
    REJECTED = "rejected"
    """The endpoint reported that the call did not run."""
    FAILED = "failed"
    """The endpoint returned a failure."""
    BROKEN = "broken"
    """The call may have run, but no complete answer arrived."""
    STALLED = "stalled"
    """The endpoint stopped sending in the middle of its answer."""
    EXPIRED = "expired"
    """The call was still queued when its endpoint's version of the weights expired."""


class NextStep(Enum):
    """List what the router can do with a call after a send has ended."""

    SEND = "send"
    """Send the call to an endpoint that was not tried yet."""
    REFUSE = "refuse"
    """Answer the caller that the call did not run."""
    PASS_ON = "pass_on"
    """Forward the endpoint's failure to the caller."""
    FAIL = "fail"
    """Answer the caller that the outcome is unknown."""
    BREAK_OFF = "break_off"
    """Close the connection of an answer that is already being sent."""


class SendEnded(msgspec.Struct, frozen=True, kw_only=True):
    """Carry the outcome of a send into the decision on the next step."""

    outcome: SendOutcome
    repeat_allowed: bool
    """Whether the repeat budget allows another send; checked only if a repeat is possible."""


MAX_CONNECT_FAILURES = 4
"""Failed connection attempts, each to another endpoint, before the call is refused."""


class DirectCall:
    """Track the sends of one call and decide the next step after each."""

    def __init__(self, route: Route) -> None:
        self._route = route
        self._sends = 0
        self._connect_failures = 0
        self._may_have_run = False
        self._in_flight = False
        self.answer_started = False

    @property
    def sends(self) -> int:
        """Return the number of endpoints that the call was sent to."""
        return self._sends

    @property
    def may_have_run(self) -> bool:
        """Return whether an endpoint may have started to run the call."""
        return self._may_have_run or self._in_flight

    def record_send(self) -> None:
        """Record that the router started to send the call to an endpoint."""
        self._sends += 1
        self._in_flight = True

    def may_repeat(self, outcome: SendOutcome) -> bool:
        """Return whether the route permits another send, apart from the repeat budget."""
        if outcome is SendOutcome.NOT_SENT:
            return False
        return self._sends < self._route.max_sends and (
            (outcome is SendOutcome.REJECTED and not self._may_have_run) or self._route.repeatable
        )

    def handle_send_ended(self, message: SendEnded) -> NextStep:
        """Return the next step after a send has ended."""
        outcome = message.outcome
        self._in_flight = False
        if outcome is SendOutcome.NOT_SENT:
            self._sends -= 1
            self._connect_failures += 1
            if self._connect_failures < MAX_CONNECT_FAILURES:
                return NextStep.SEND
            return self.abort()
        if outcome is not SendOutcome.REJECTED:
            self._may_have_run = True
        if self.may_repeat(outcome) and message.repeat_allowed:
            return NextStep.SEND
        if outcome is SendOutcome.FAILED and not self.answer_started:
            return NextStep.PASS_ON
        return self.abort()

    def abort(self) -> NextStep:
        """Return the step that ends a call without another send."""
        if self.answer_started:
            return NextStep.BREAK_OFF
        return NextStep.FAIL if self.may_have_run else NextStep.REFUSE
