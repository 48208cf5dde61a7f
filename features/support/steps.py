"""Register coroutine functions as steps that run on the shared event loop."""

import functools
from collections.abc import Awaitable, Callable
from typing import Any

import behave

StepFunction = Callable[..., Awaitable[None]]


def _register_async(register: Callable[[str], Callable[..., Any]]) -> Callable[[str], Any]:
    def step_decorator(text: str) -> Callable[[StepFunction], StepFunction]:
        def decorate(coroutine_function: StepFunction) -> StepFunction:
            @functools.wraps(coroutine_function)
            def step(context: Any, **values: Any) -> None:
                context.loop.run_until_complete(coroutine_function(context.world, **values))

            register(text)(step)
            return coroutine_function

        return decorate

    return step_decorator


given = _register_async(behave.given)
when = _register_async(behave.when)
then = _register_async(behave.then)
