"""Steps about generations."""

import threading
from typing import Any

from behave import given
from behave import then
from behave import when

from skylarktack import emulator


@given('a deployment with {instances:d} instances and {engines:d} engines')
def start_deployment(context: Any, instances: int, engines: int) -> None:
    """Start real processes."""
    shape = emulator.DeploymentShape(
        instance_count=instances, engine_count=engines
    )
    context.deployment = emulator.Deployment(shape)
    context.deployment.__enter__()


@when('a caller asks for {count:d} tokens about "{prompt}"')
def ask(context: Any, count: int, prompt: str) -> None:
    """Read one streamed answer to its end."""
    context.expected = emulator.expected_text(prompt, count)
    context.answer = emulator.generate(
        context.deployment.instances[0].address,
        'digest',
        emulator.organisation_key('small'),
        {'prompt': prompt, 'max_tokens': count},
    )


@when(
    'a caller asks for {count:d} tokens about "{prompt}" and its engine is '
    'killed'
)
def ask_and_kill(context: Any, count: int, prompt: str) -> None:
    """Kill the engine that holds the generation once it is running."""
    reader = threading.Thread(target=ask, args=(context, count, prompt))
    reader.start()
    waiting = threading.Event()
    for _ in range(200):
        for engine in context.deployment.engines:
            if engine.read_json('/control/running')['running_count']:
                engine.kill()
                reader.join()
                return
        waiting.wait(0.02)
    raise AssertionError('no engine ran the generation')


@then('the caller receives the whole answer')
def check_answer(context: Any) -> None:
    """Compare the answer token for token."""
    assert context.answer.error is None, context.answer.error
    assert context.answer.end is not None, 'the stream broke off'
    assert context.answer.text == context.expected
