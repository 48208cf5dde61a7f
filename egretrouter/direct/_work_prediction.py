"""Predict what calls cost their endpoints, and learn from the answers that end."""

from egretrouter.core.direct import AnswerLengths, CallCost, call_cost
from egretrouter.direct._active_call import ActiveCall
from egretrouter.direct._metrics import AnswerLengthMetrics


class WorkPrediction:
    """Predict the work of one router's calls from the lengths of its earlier answers."""

    def __init__(self, metrics: AnswerLengthMetrics) -> None:
        self.lengths = AnswerLengths()
        self._metrics = metrics

    def predict(self, call: ActiveCall) -> CallCost | None:
        """Return what a call costs; None if its service runs no models."""
        profile, headers = call.service.engine, call.headers
        if profile is None:
            return None
        estimate = self.lengths.predict(
            call.route.name,
            hint_tokens=headers.expected_answer_tokens,
            limit_tokens=headers.answer_tokens,
            usual_tokens=profile.usual_answer_tokens,
        )
        return call_cost(
            profile, prompt_tokens=headers.prompt_tokens, answer_tokens=estimate.mean_tokens
        )

    def record_finished(self, call: ActiveCall) -> None:
        """Record the length of a stream that the caller has received completely."""
        profile, headers = call.service.engine, call.headers
        if profile is None or call.cost is None or headers.resume_after is not None:
            # The first events of a stream that the caller resumed may have come from elsewhere.
            return
        # An engine sends one event for all steps of a pass; the last pass may end at the limit.
        tokens = call.cutter.events * profile.steps_per_pass
        if headers.answer_tokens:
            tokens = min(tokens, headers.answer_tokens)
        self._metrics.record(predicted_tokens=call.cost.answer_tokens, observed_tokens=tokens)
        self.lengths.record(
            call.route.name,
            hint_tokens=headers.expected_answer_tokens,
            limit_tokens=headers.answer_tokens,
            actual_tokens=tokens,
        )
