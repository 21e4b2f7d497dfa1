"""Whole path through separate processes."""

import json

from skylarktack import emulator
from skylarktack import transport


class TestWholePath:
    """Guards against parts that work alone but not together."""

    def test_generation_and_plain_call(self) -> None:
        """A generation and a lookup pass through real processes."""
        shape = emulator.DeploymentShape(instance_count=2, engine_count=2)
        key = emulator.organisation_key('small')
        with emulator.Deployment(shape) as deployment:
            for instance in deployment.instances:
                answer = emulator.generate(
                    instance.address,
                    'digest',
                    key,
                    {'prompt': 'ceiling fans', 'max_tokens': 20},
                )
                assert answer.error is None
                assert answer.text == emulator.expected_text(
                    'ceiling fans', 20
                )
                looked_up = transport.http_call(
                    instance.address,
                    'GET',
                    '/v1/call/stock/items/7',
                    None,
                    {'Authorization': f'Bearer {key}'},
                    5.0,
                )
                assert looked_up.ok.status == 200
                assert json.loads(looked_up.ok.body)['path'] == '/items/7'
