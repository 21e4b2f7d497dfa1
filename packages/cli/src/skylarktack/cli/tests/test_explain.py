"""Explanations of requests, compared with golden files."""

import json
import pathlib

import fire
import pytest

from skylarktack import cli
from skylarktack.cli import _explain

GOLDEN = pathlib.Path(__file__).parent / 'golden'

REQUESTS = (
    'broken-stream',
    'lost-booking',
    'unsure-lookup',
    'late-lookup',
    'returned-late',
    'unfinished-stream',
    'refused-run',
    'refused-body',
    'waited-for-memory',
    'unread-response',
    'unknown',
)


class TestExplain:
    """Explains a request, given its id and log lines."""

    def test_golden_explanations(self) -> None:
        """Guards against explanations that omit a decision or its inputs."""
        text = (GOLDEN / 'failures.log').read_text(encoding='utf-8')
        lines, findings = _explain.decode_lines('log', text.splitlines())
        assert not findings
        output = []
        for request in REQUESTS:
            output.append(f'== {request}')
            output.extend(_explain.explain_request(request, lines))
        expected = (GOLDEN / 'failures.txt').read_text(encoding='utf-8')
        assert output == expected.splitlines()

    def test_overdue_run(self) -> None:
        """Guards against moves of runs that no explanation tells of."""
        base = {'instance': 'edge-a-1', 'request': 'r'}
        steps = (
            {'at_ms': 1, 'step': 'forecast', 'first_event_ms': 900},
            {'at_ms': 1, 'step': 'send', 'target': 'first'},
            {
                'at_ms': 2000,
                'step': 'overdue',
                'target': 'first',
                'detail': 'no first event after 1999 ms',
            },
        )
        texts = [
            json.dumps(
                {
                    'time_s': 1.0,
                    'instance': 'edge-a-1',
                    'part': 'engine',
                    'event': 'engine policy changed',
                    'service': 'pool',
                }
            ),
            json.dumps(
                base
                | {
                    'time_s': 9.0,
                    'part': 'request',
                    'event': 'a request was served',
                    'outcome': 'streamed',
                    'duration_ms': 6000.0,
                    'steps': steps,
                }
            ),
        ]
        lines, findings = _explain.decode_lines('log', texts)
        assert not findings
        output = _explain.explain_request('r', lines)
        assert 'engine policy changed (service=pool)' in output[1]
        assert any('forecast (first_event_ms=900)' in one for one in output)
        assert output[-1] == (
            'Cause: Served despite a fault: no first event after 1999 ms at '
            'first.'
        )

    @pytest.mark.parametrize(
        ('step', 'expected'),
        (
            ('no_room', 'no target had room for another connection'),
            ('unresponsive', 'no answer for long from desk-1'),
        ),
    )
    def test_call_without_a_server_that_answers(
        self, step: str, expected: str
    ) -> None:
        """Guards against a call whose explanation omits what it met."""
        line = {
            'time_s': 1.0,
            'instance': 'a',
            'part': 'request',
            'event': 'a request failed',
            'request': 'call',
            'outcome': 'refused',
            'cause': 'no_target',
            'duration_ms': 5,
            'steps': [{'at_ms': 1.0, 'step': step, 'target': 'desk-1'}],
        }
        lines, _ = _explain.decode_lines('log', (json.dumps(line),))
        output = _explain.explain_request('call', lines)
        assert expected in output[-1]

    def test_targets_that_start_slowly(self) -> None:
        """Guards against an idle target that no explanation mentions."""
        step = {
            'at_ms': 1.0,
            'step': 'target_ramp',
            'passed_over': 1,
            'allowances': {'server-b': 2},
        }
        line = {
            'time_s': 10.0,
            'instance': 'a',
            'part': 'request',
            'event': 'a request was served',
            'request': 'id',
            'outcome': 'answered',
            'duration_ms': 50.0,
            'steps': [step],
        }
        lines, _ = _explain.decode_lines('log', (json.dumps(line),))
        explanation = '\n'.join(_explain.explain_request('id', lines))
        assert (
            "target_ramp (passed_over=1, allowances={'server-b': 2}; "
            'new or back, so it gets few requests at first)'
        ) in explanation

    def test_malformed_lines_are_reported_with_their_place(self) -> None:
        """Guards against malformed lines that are skipped silently."""
        lines, findings = _explain.decode_lines(
            'log',
            (
                'no object',
                '{"time_s":1,',
                '{"time_s":1,"instance":"a","part":"p"}',
                '{"time_s":"x","instance":"a","part":"p","event":"e"}',
                '',
                '{"time_s":1,"instance":"a","part":"p","event":"e"}',
            ),
        )
        assert len(lines) == 1
        assert [finding.place for finding in findings] == [
            'log:1',
            'log:2',
            'log:3',
            'log:4',
        ]

    def test_refusal_for_fairness_tells_demand_and_share(self) -> None:
        """Guards against refusals that operators cannot explain."""
        line = {
            'time_s': 1.0,
            'instance': 'edge-a-1',
            'part': 'request',
            'event': 'a request failed',
            'request': 'one',
            'outcome': 'refused',
            'cause': 'over_share: demand 580.0/s for pool, share 180.0/s',
            'steps': [
                {'at_ms': 0.1, 'step': 'over_share', 'demand_per_s': 580.0}
            ],
        }
        lines, _ = _explain.decode_lines('log', (json.dumps(line),))
        output = _explain.explain_request('one', lines)
        assert 'over_share (demand_per_s=580.0)' in output[2]
        assert 'more than its fair share' in output[-1]
        assert '(demand 580.0/s for pool, share 180.0/s)' in output[-1]

    @pytest.mark.parametrize(
        'request_id', ['1234567890123e45', '1234567890123456', '12_3', '0x1f']
    )
    def test_id_that_is_a_number_literal(
        self,
        request_id: str,
        tmp_path: pathlib.Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        """Guards against an id that Fire converts to a number.

        Ids are hexadecimal, and some of them are also number literals.
        """
        line = {
            'time_s': 1.0,
            'instance': 'edge-a-1',
            'part': 'request',
            'event': 'a request failed',
            'request': request_id,
            'outcome': 'refused',
            'cause': 'no_route: ',
        }
        path = tmp_path / 'instance.log'
        path.write_text(json.dumps(line), encoding='utf-8')
        fire.Fire(cli.Commands, ['explain', request_id, str(path)])
        assert 'Cause: No route' in capsys.readouterr().out
