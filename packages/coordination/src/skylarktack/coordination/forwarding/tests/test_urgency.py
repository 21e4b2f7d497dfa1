"""Tests of the priority that engines are sent."""

import dataclasses

import pytest

from skylarktack.coordination.forwarding import _urgency
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data


def _configuration(
    priorities: tuple[int, ...],
    organisation_priorities: tuple[int | None, ...] = (None,),
) -> data.ForwardingConfiguration:
    routes = []
    for number, priority in enumerate(priorities):
        routes.append(
            dataclasses.replace(
                harness.route(data.RequestKind.STREAM),
                name=f'route-{number}',
                priority=priority,
            )
        )
    organisations = []
    for number, own in enumerate(organisation_priorities):
        organisations.append(
            data.OrganisationKeys(f'o{number}', (f'k{number}',), own)
        )
    return dataclasses.replace(
        harness.configuration(1),
        routes=tuple(routes),
        organisations=tuple(organisations),
    )


@dataclasses.dataclass(frozen=True)
class UrgencyCase:
    """A request and the priority that its engine is sent."""

    name: str
    configuration: data.ForwardingConfiguration
    priority: int
    is_resumed: bool
    expected: int | None


CASES = (
    UrgencyCase('one priority', _configuration((1, 1)), 1, False, None),
    UrgencyCase('urgent', _configuration((0, 2)), 0, False, 2),
    UrgencyCase('less urgent', _configuration((0, 2)), 2, False, 4),
    UrgencyCase('resumed', _configuration((0, 2)), 2, True, 3),
    UrgencyCase('far apart', _configuration((-5, 10**9)), 10**9, False, 4),
    UrgencyCase('many', _configuration(tuple(range(9))), 8, False, 9),
    UrgencyCase(
        'organisations alone', _configuration((0, 2), (1,)), 1, False, None
    ),
    UrgencyCase(
        'one organisation first',
        _configuration((3,), (0, None)),
        0,
        False,
        2,
    ),
    UrgencyCase('unknown', _configuration((0, 2)), 7, False, None),
)


class TestServiceUrgencies:
    """Priorities of a configuration become the order of its engines."""

    @pytest.mark.parametrize('case', CASES, ids=lambda case: case.name)
    def test_engine_priority(self, case: UrgencyCase) -> None:
        """Guards against urgent runs that wait behind others."""
        urgencies = _urgency.ServiceUrgencies(case.configuration)
        engine_priority = urgencies.engine_priority('pool', case.priority)
        sent_priority = _urgency.priority_of_send(
            engine_priority, case.is_resumed
        )
        assert sent_priority == case.expected

    def test_engines_get_it(self) -> None:
        """Guards against a priority that is read and never used."""
        env = harness.make_harness(harness.target('a'), harness.target('b'))
        for name in 'ab':
            env.client.script(name, harness.stream_script(1, 3, ending='lost'))
        admitted = env.work(
            harness.route(data.RequestKind.STREAM, max_attempts=2),
            harness.request(time_limit_ms=25000.0),
        )
        env.streams.run(dataclasses.replace(admitted, engine_priority=4))
        sent_priorities = [
            sent.delivery.priority for sent in env.client.sent[:2]
        ]
        assert sent_priorities == [4, 3]
