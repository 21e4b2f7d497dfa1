"""Fixtures that the tests of caller connections share."""

from collections.abc import Iterator

import pytest

from skylarktack.transport.forwarding.tests import front_harness


@pytest.fixture(name='harness')
def _harness() -> Iterator[front_harness.FrontHarness]:
    harness = front_harness.FrontHarness()
    yield harness
    harness.close()
