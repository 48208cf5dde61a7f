"""Decide how one call goes on after each thing that happens to it."""

from enum import Enum

import msgspec

from egretrouter.core.direct._records import Route


class SendOutcome(Enum):
    """Name how a send to an endpoint ended."""

    NOT_SENT = "not_sent"
    """No connection was made."""
    REJECTED = "rejected"
    """The endpoint states that the call did not run."""
    FAILED = "failed"
    """The endpoint answered with a failure."""
    BROKEN = "broken"
    """The call may have run, and there is no whole answer."""
    STALLED = "stalled"
    """The endpoint fell silent during its answer."""
    EXPIRED = "expired"
    """The call still queued when its endpoint's version of the weights was ruled out."""


class NextStep(Enum):
    """Name what is to be done with a call."""

    SEND = "send"
    """Choose an endpoint that was not tried yet."""
    REFUSE = "refuse"
    """Tell the caller that the call did not run."""
    PASS_ON = "pass_on"
    """Pass on the failure that the endpoint answered with."""
    FAIL = "fail"
    """Tell the caller that the outcome is unknown."""
    BREAK_OFF = "break_off"
    """Break off an answer that has begun."""


class SendEnded(msgspec.Struct, frozen=True, kw_only=True):
    """Report how a send ended."""

    outcome: SendOutcome
    repeat_allowed: bool
    """Whether the budget of repeats has room; asked for only where a repeat is possible."""


MAX_CONNECT_FAILURES = 4
"""Endpoints tried without a connection before the call is refused."""


class DirectCall:
    """Keep what is known of one call and derive what may follow."""

    def __init__(self, route: Route) -> None:
        self._route = route
        self._sends = 0
        self._connect_failures = 0
        self._may_have_run = False
        self._in_flight = False
        self.answer_begun = False

    @property
    def sends(self) -> int:
        """Return how many endpoints the call was sent to."""
        return self._sends

    @property
    def may_have_run(self) -> bool:
        """Tell whether an endpoint may have worked on the call."""
        return self._may_have_run or self._in_flight

    def record_send(self) -> None:
        """Learn that the call's bytes are on their way to an endpoint."""
        self._sends += 1
        self._in_flight = True

    def may_repeat(self, outcome: SendOutcome) -> bool:
        """Tell whether another send would be possible if the budget allows it."""
        if outcome is SendOutcome.NOT_SENT:
            return False
        return self._sends < self._route.max_sends and (
            (outcome is SendOutcome.REJECTED and not self._may_have_run) or self._route.repeatable
        )

    def handle_send_ended(self, message: SendEnded) -> NextStep:
        """Decide what follows the end of a send."""
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
        if outcome is SendOutcome.FAILED and not self.answer_begun:
            return NextStep.PASS_ON
        return self.abort()

    def abort(self) -> NextStep:
        """Decide how to end a call that no endpoint can take."""
        if self.answer_begun:
            return NextStep.BREAK_OFF
        return NextStep.FAIL if self.may_have_run else NextStep.REFUSE
