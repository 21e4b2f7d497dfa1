"""Accounts for requests from log lines of several instances."""

import json
from typing import Any

import fire
import pytest

from skylarktack import cli
from skylarktack.cli import _account


def _line(time_s: float, instance: str, **fields: Any) -> str:
    return json.dumps(
        {'time_s': time_s, 'instance': instance, **fields},
        separators=(',', ':'),
    )


def _counts(
    time_s: float,
    instance: str,
    *rows: list[Any],
    domain: str = 'zone-a',
    active_streams: int = 0,
    active_calls: int = 0,
) -> str:
    return _line(
        time_s,
        instance,
        part='request',
        event='requests counted',
        domain=domain,
        active_streams=active_streams,
        active_calls=active_calls,
        rows=list(rows),
    )


def _row(
    route: str = 'digest',
    organisation: str = 'dealer',
    result: str = 'in time',
    cause: str = '',
    count: int = 1,
) -> list[Any]:
    return [route, organisation, result, cause, count, 0, 0, 0, 0, 0, 0]


def _started(time_s: float, instance: str) -> str:
    return _line(time_s, instance, part='instance', event='started')


def _stopped(time_s: float, instance: str) -> str:
    return _line(time_s, instance, part='instance', event='stopped')


LOG = (
    _started(1.0, 'a'),
    _started(1.0, 'b'),
    _counts(12.0, 'a', _row(count=5), _row(route='book', count=40)),
    _counts(
        12.5,
        'b',
        _row(count=4, organisation='school'),
        _row(result='late', cause='run lost without a copy', count=2),
        domain='zone-b',
    ),
    _counts(
        21.0,
        'b',
        _row(result='refused', cause='instance stopping', count=3),
        domain='zone-b',
        active_streams=2,
        active_calls=1,
    ),
)


def _account_of(*texts: str, window_s: float = 10.0) -> _account.Account:
    account = _account.Account(window_s)
    assert not _account.add_lines(account, 'log', texts)
    return account


class TestAccount:
    """Totals by route, organisation, failure domain, window and cause."""

    def test_totals(self) -> None:
        """Guards against requests that are counted twice or not at all."""
        account = _account_of(*LOG)
        assert account.total.requests == 54
        assert account.total.in_time == 49
        assert account.total.late == 2
        assert account.total.refused == 3
        routes = account.tables['route'].rows
        assert routes['book'].requests == 40
        assert routes['digest'].requests == 14
        assert account.tables['organisation'].rows['school'].requests == 4
        assert account.tables['domain'].rows['zone-b'].requests == 9
        assert account.tables['window'].rows['10'].requests == 51
        assert account.causes[('late', 'run lost without a copy')] == 2

    def test_killed_instance(self) -> None:
        """Guards against requests that vanish with their instance."""
        account = _account_of(*LOG, _started(23.0, 'b'))
        assert account.total.failed == 3
        assert account.causes[('failed', 'instance ended')] == 3
        assert account.tables['domain'].rows['zone-b'].failed == 3

    def test_stopped_instance(self) -> None:
        """Guards against a planned stop that counts as a kill."""
        account = _account_of(*LOG, _stopped(22.0, 'b'), _started(23.0, 'b'))
        assert account.total.failed == 0

    def test_rows_are_bounded(self) -> None:
        """Guards against memory that grows with the organisations."""
        account = _account.Account(10.0)
        for number in range(3000):
            text = _counts(5.0, 'a', _row(organisation=f'o-{number}'))
            assert not _account.add_lines(account, 'log', (text,))
        rows = account.tables['organisation'].rows
        assert len(rows) == _account.MAX_ROW_COUNT + 1
        assert rows['other'].requests == 1000
        assert account.total.requests == 3000

    @pytest.mark.parametrize(
        'text',
        [
            'no object',
            _counts(5.0, 'a')[:-3],
            _counts(5.0, 'a', _row()[:-1]),
            _counts(5.0, 'a', [*_row()[:-1], -1]),
            _counts(5.0, 'a', [*_row()[:-1], True]),
            _counts(5.0, 'a', [*_row()[:-1], 1.5]),
            _counts(5.0, 'a').replace('"rows":[]', '"rows":7'),
            _counts(5.0, 'a').replace('"active_calls":0', '"active_calls":""'),
            _counts(5.0, 'a').replace('"rows":[]', '"rows":' + '[' * 9000),
        ],
    )
    def test_bad_line_is_passed_over(self, text: str) -> None:
        """Guards against one bad line that spoils the account of a day."""
        account = _account.Account(10.0)
        texts = (LOG[2], text, LOG[3])
        (finding,) = _account.add_lines(account, 'log', texts)
        assert finding.place == 'log:2'
        assert account.total.requests == 51


class TestCommand:
    """The command ``skylarktack account``."""

    def test_json(
        self, tmp_path: Any, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against output that no program can read."""
        file = tmp_path / 'day.log'
        file.write_text('\n'.join(LOG))
        fire.Fire(cli.Commands, ['account', str(file), '--json'])
        plain = json.loads(capsys.readouterr().out)
        assert plain['total']['requests'] == 54
        assert plain['causes'][0] == {
            'result': 'refused',
            'cause': 'instance stopping',
            'requests': 3,
        }

    def test_text(
        self, tmp_path: Any, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against tables that leave out a result or a cause."""
        file = tmp_path / 'day.log'
        file.write_text('\n'.join((*LOG, 'rubbish')))
        with pytest.raises(SystemExit) as raised:
            fire.Fire(cli.Commands, ['account', str(file)])
        assert raised.value.code == 2
        printed = capsys.readouterr()
        assert 'run lost without a copy' in printed.out
        assert f'{file}:6: holds no JSON object' in printed.err
        assert '1 malformed lines' in printed.err

    def test_missing_file(self, capsys: pytest.CaptureFixture[str]) -> None:
        """Guards against a traceback in place of a message."""
        with pytest.raises(SystemExit) as raised:
            fire.Fire(cli.Commands, ['account', '/nowhere.log'])
        assert raised.value.code == 1
        assert '/nowhere.log: No such file' in capsys.readouterr().err
