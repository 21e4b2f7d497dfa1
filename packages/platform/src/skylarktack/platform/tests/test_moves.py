"""Orders of moves and their status, after the platform's page."""

from typing import Any

import pytest

from skylarktack import platform
from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.platform.tests import test_store
from skylarktack.state import forwarding as data

ORDER = {'service': 'pool', 'target': 'v2', 'duration_s': 12}


def _object(status: object, specification: object = ORDER) -> dict[str, Any]:
    return {
        'metadata': {'name': 'pool', 'revision': 412, 'created_at': 9},
        'specification': specification,
        'status': status,
    }


def _read(item: object) -> tuple[data.MoveChange, fakes.RecordingLog]:
    calls = test_store.Calls((200, {'items': [item], 'at': 412}))
    log = fakes.RecordingLog()
    listing = platform.MoveReader(calls, log).list_all()
    assert isinstance(listing, forwarding.Listing)
    return listing.items[0], log


class TestOrders:
    """An order is read with what the system has recorded of it."""

    @pytest.mark.parametrize(
        ('status', 'phase'),
        [
            (None, state.MovePhase.PLANNED),
            ({}, state.MovePhase.PLANNED),
            (
                {'state': 'in_progress', 'target': 'v2'},
                state.MovePhase.SHIFTING,
            ),
            (
                {'state': 'completed', 'target': 'v2'},
                state.MovePhase.COMPLETED,
            ),
            (
                {'state': 'reverted', 'target': 'v2'},
                state.MovePhase.ROLLED_BACK,
            ),
            ({'state': 'completed', 'target': 'v1'}, state.MovePhase.PLANNED),
            ({'state': 7, 'target': 'v2'}, state.MovePhase.PLANNED),
        ],
    )
    def test_phases(self, status: object, phase: state.MovePhase) -> None:
        """Guards against the status of an earlier order."""
        change, _ = _read(_object(status))
        assert change.order == data.MoveOrder('pool', 'v2', 12.0, 412, phase)

    @pytest.mark.parametrize(
        'specification',
        [None, 'bytes', {'service': 'pool'}, ORDER | {'duration_s': 'long'}],
    )
    def test_a_malformed_order_orders_nothing(
        self, specification: object
    ) -> None:
        """Guards against traffic on an order that cannot be read."""
        change, log = _read(_object(None, specification))
        assert change == data.MoveChange('pool', None)
        assert log.messages('store')


class TestWriter:
    """A phase is recorded only on the order that was read."""

    def _write(
        self, answer: tuple[int, Any] | forwarding.ExchangeFault
    ) -> tuple[data.MoveChange | forwarding.StoreFault, test_store.Calls]:
        calls = test_store.Calls(answer)
        writer = platform.StoreMoveWriter(calls, fakes.RecordingLog())
        order = data.MoveOrder('pool', 'v2', 12.0, 412)
        return writer.write_phase(order, state.MovePhase.ROLLED_BACK), calls

    def test_call(self) -> None:
        """Guards against a write that overwrites a newer order."""
        status = {'state': 'reverted', 'target': 'v2'}
        written, calls = self._write((200, _object(status)))
        assert isinstance(written, data.MoveChange)
        assert written.order is not None
        assert written.order.phase is state.MovePhase.ROLLED_BACK
        assert calls.calls == [
            (
                'PUT',
                '/objects/rollouts/pool/status',
                {
                    'metadata': {'name': 'pool', 'revision': 412},
                    'status': status,
                },
            )
        ]

    def test_a_conflict_tells_what_is_recorded(self) -> None:
        """Guards against two instances that record different ends."""
        recorded = {'state': 'completed', 'target': 'v2'}
        written, _ = self._write((409, _object(recorded)))
        assert isinstance(written, data.MoveChange)
        assert written.order is not None
        assert written.order.phase is state.MovePhase.COMPLETED

    def test_an_order_that_is_gone(self) -> None:
        """Guards against a move that goes on without its order."""
        assert self._write((404, {}))[0] == data.MoveChange('pool', None)

    @pytest.mark.parametrize(
        'answer', [test_store.LOST, (503, {}), (429, {}), (200, b'no json')]
    )
    def test_faults(
        self, answer: tuple[int, Any] | forwarding.ExchangeFault
    ) -> None:
        """Guards against a phase that is taken for recorded."""
        assert isinstance(self._write(answer)[0], forwarding.StoreFault)
