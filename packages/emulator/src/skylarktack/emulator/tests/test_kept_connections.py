"""Callers of the soak that keep their connections."""

from collections.abc import Iterator
import contextlib
import dataclasses
import socket
import subprocess
import sys

import pytest

from skylarktack import state
from skylarktack.emulator import platform
from skylarktack.emulator.soak import _kept_checkers
from skylarktack.emulator.soak import _kept_records

_Ending = _kept_records.KeptEnding
_Form = _kept_records.RequestForm

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s'


def _answer(body: bytes) -> bytes:
    return ANSWER % (len(body), body)


@contextlib.contextmanager
def _pair() -> Iterator[tuple[platform.KeptConnection, socket.socket]]:
    """Return a connection of a caller and its other end."""
    with socket.create_server(('127.0.0.1', 0)) as server:
        address = state.Address(*server.getsockname())
        with platform.KeptConnection(address) as connection:
            accepted, _ = server.accept()
            with accepted:
                yield connection, accepted


def _attempt(is_chunked: bool = False) -> platform.Attempt:
    return platform.Attempt(
        'peek', platform.new_attempt_id(), is_chunked=is_chunked
    )


def _record(form: _Form, ending: _Ending) -> _kept_records.KeptRecord:
    return _kept_records.KeptRecord(
        'attempt', 'instance-0', form, ending, 0.0, 0.0, 0.0
    )


@dataclasses.dataclass(frozen=True)
class _Judgement:
    """How one request ended, and whether that breaks the promise."""

    form: _Form
    ending: _Ending
    is_broken: bool
    has_faults: bool = True
    is_executed: bool = False


class TestKeptConnection:
    """One connection carries many requests."""

    def test_reads_answers_that_arrive_together(self) -> None:
        """Guards against the second of two answers that is not seen."""
        with _pair() as (connection, instance):
            first, second = connection.send((_attempt(), _attempt()))
            instance.sendall(_answer(b'one') + _answer(b'two'))
            assert first.read_answer().body == b'one'
            second.receive_first(first.following_bytes)
            assert second.read_answer().body == b'two'

    def test_sends_chunks(self) -> None:
        """Guards against a load without a body in chunks."""
        with _pair() as (connection, instance):
            connection.send((_attempt(is_chunked=True),))
            received = instance.recv(65536).lower()
            assert b'transfer-encoding: chunked' in received
            assert received.endswith(b'\r\n4\r\nbody\r\n0\r\n\r\n')

    def test_an_open_connection_has_not_ended(self) -> None:
        """Guards against a look that waits, or that takes bytes away."""
        with _pair() as (connection, instance):
            assert not connection.has_ended()
            (exchange,) = connection.send((_attempt(),))
            instance.sendall(_answer(b'one'))
            assert not connection.has_crossed
            assert not connection.has_ended()
            assert exchange.read_answer().body == b'one'

    def test_notices_an_end_that_its_request_crosses(self) -> None:
        """Guards against an instance that is blamed for a crossing."""
        with _pair() as (connection, instance):
            instance.shutdown(socket.SHUT_RDWR)
            assert connection.has_ended()
            connection.send((_attempt(),))
            assert connection.has_crossed


class TestCheckAnswers:
    """Endings of requests on kept connections are judged."""

    @pytest.mark.parametrize(
        'case',
        [
            _Judgement(_Form.CALL, _Ending.ANSWERED, is_broken=False),
            _Judgement(_Form.CALL, _Ending.UNANSWERED, is_broken=True),
            _Judgement(_Form.CALL, _Ending.TRUNCATED, is_broken=True),
            _Judgement(_Form.CALL, _Ending.CROSSED, is_broken=False),
            _Judgement(
                _Form.CALL, _Ending.CROSSED, is_broken=True, is_executed=True
            ),
            _Judgement(_Form.CALL, _Ending.KILLED, is_broken=False),
            _Judgement(_Form.PIPELINED, _Ending.UNANSWERED, is_broken=True),
            _Judgement(_Form.PIPELINED, _Ending.ANNOUNCED, is_broken=True),
            _Judgement(_Form.LONG_BODY, _Ending.UNANSWERED, is_broken=True),
            _Judgement(_Form.LONG_BODY, _Ending.NOT_WHOLE, is_broken=False),
            _Judgement(_Form.STREAM, _Ending.UNANSWERED, is_broken=True),
            _Judgement(_Form.STREAM, _Ending.TRUNCATED, is_broken=False),
            _Judgement(
                _Form.STREAM, _Ending.TRUNCATED, True, has_faults=False
            ),
            _Judgement(_Form.HALF_CLOSED, _Ending.UNANSWERED, is_broken=False),
        ],
        ids=lambda case: f'{case.form.value} {case.ending.value}',
    )
    def test_judges(self, case: _Judgement) -> None:
        """Guards against a lost request that counts as allowed."""
        record = _record(case.form, case.ending)
        executed_ids = (record.attempt_id,) if case.is_executed else ()
        promise = _kept_checkers.check_answers(
            (record,), frozenset(executed_ids), case.has_faults
        )
        assert bool(promise.broken) == case.is_broken


class TestCheckOpen:
    """Connections that end while their callers may use them are judged."""

    def test_an_instance_that_runs_on_is_to_blame(self) -> None:
        """Guards against a close by a limit that is not in force any more."""
        with subprocess.Popen(
            [sys.executable, '-c', 'input()'], stdin=subprocess.PIPE
        ) as process:
            end = _kept_records.EarlyEnd('instance-0', 3.0, 4000, process)
            running = _kept_checkers.check_open((end,), has_loads=False)
            loaded = _kept_checkers.check_open((end,), has_loads=True)
            process.kill()
        stopped = _kept_checkers.check_open((end,), has_loads=False)
        assert running.broken
        assert not loaded.broken
        assert not stopped.broken
