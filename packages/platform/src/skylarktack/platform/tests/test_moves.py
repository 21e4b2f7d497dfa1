"""Move orders and their status, in the platform's documented format."""

import dataclasses
import json
from typing import Any

import pytest

from skylarktack import platform
from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.platform.tests import test_store
from skylarktack.state import forwarding as data

ORDER = {'service': 'pool', 'target': 'v2', 'duration_s': 12}

TARGET = {'target': 'v2'}


def _object(status: object, specification: object = ORDER) -> dict[str, Any]:
    return {
        'metadata': {'name': 'pool', 'revision': 412, 'created_at': 9},
        'specification': specification,
        'status': status,
    }


def _read(item: object) -> tuple[data.MoveChange, fakes.RecordingLog]:
    client = test_store.ScriptedClient((200, {'items': [item], 'at': 412}))
    log = fakes.RecordingLog()
    listing = platform.MoveReader(client, log).list_all()
    assert isinstance(listing, forwarding.Listing)
    return listing.items[0], log


class TestMoveReader:
    """An order is read together with its recorded phase."""

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
    def test_decodes_recorded_phase(
        self, status: object, phase: state.MovePhase
    ) -> None:
        """Guards against a phase that was recorded for an earlier order."""
        change, _ = _read(_object(status))
        assert change.order == data.MoveOrder(
            'pool', 'v2', 12.0, data.StorePosition(0, 412), phase
        )

    @pytest.mark.parametrize(
        'specification',
        [None, 'bytes', {'service': 'pool'}, ORDER | {'duration_s': 'long'}],
    )
    def test_malformed_order_is_ignored(self, specification: object) -> None:
        """Guards against shifting traffic on a malformed order."""
        change, log = _read(_object(None, specification))
        assert change == data.MoveChange('pool', None)
        assert log.messages('store')


class TestStoreMoveWriter:
    """A phase is recorded only on the revision that was read."""

    def _write(
        self, response: tuple[int, Any] | forwarding.ExchangeFault
    ) -> tuple[
        data.MoveChange | forwarding.StoreFault, test_store.ScriptedClient
    ]:
        client = test_store.ScriptedClient(response)
        log = fakes.RecordingLog()
        writer = platform.StoreMoveWriter(
            client, log, forwarding.StoreEra(log)
        )
        order = data.MoveOrder('pool', 'v2', 12.0, data.StorePosition(0, 412))
        return writer.write_phase(order, state.MovePhase.ROLLED_BACK), client

    def test_writes_phase_with_revision(self) -> None:
        """Guards against a write that is applied to a newer order."""
        status = {'state': 'reverted', 'target': 'v2'}
        written, client = self._write((200, _object(status)))
        assert isinstance(written, data.MoveChange)
        assert written.order is not None
        assert written.order.phase is state.MovePhase.ROLLED_BACK
        assert client.calls == [
            (
                'PUT',
                '/objects/rollouts/pool/status',
                {
                    'metadata': {'name': 'pool', 'revision': 412},
                    'status': status,
                },
            )
        ]

    def test_conflict_returns_recorded_phase(self) -> None:
        """Guards against two instances with different outcomes of a move."""
        recorded = {'state': 'completed', 'target': 'v2'}
        written, _ = self._write((409, _object(recorded)))
        assert isinstance(written, data.MoveChange)
        assert written.order is not None
        assert written.order.phase is state.MovePhase.COMPLETED

    def test_deleted_order(self) -> None:
        """Guards against a move that continues after its order is deleted."""
        assert self._write((404, {}))[0] == data.MoveChange('pool', None)

    @pytest.mark.parametrize(
        'response',
        [test_store.NO_RESPONSE, (503, {}), (429, {}), (200, b'no json')],
    )
    def test_failed_write_returns_fault(
        self, response: tuple[int, Any] | forwarding.ExchangeFault
    ) -> None:
        """Guards against treating a phase as recorded after a failure."""
        assert isinstance(self._write(response)[0], forwarding.StoreFault)


@dataclasses.dataclass
class _EraStore:
    """A store that responds to each write alike and reports its era."""

    status: int
    content: object
    era: int
    write_count: int = 0

    def call(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> forwarding.StoreResponse:
        self.write_count += 1
        return forwarding.StoreResponse(
            self.status,
            json.dumps(self.content).encode(),
            (('store-era', str(self.era)),),
        )


class TestWriteBesideRestore:
    """A restored store has given the revision of an order out again."""

    @pytest.mark.parametrize(
        ('known_era', 'response', 'expected_phase', 'expected_write_count'),
        [
            # Not restored.
            (
                3,
                _EraStore(200, _object({'state': 'reverted'} | TARGET), 3),
                state.MovePhase.ROLLED_BACK,
                1,
            ),
            # Restored between the read of the order and the write.
            (4, _EraStore(200, _object(None), 4), None, 0),
            (4, _EraStore(404, {}, 4), None, 0),
            # Restored during the call.
            (
                3,
                _EraStore(409, _object({'state': 'completed'} | TARGET), 4),
                state.MovePhase.COMPLETED,
                1,
            ),
            (
                3,
                _EraStore(409, _object(None), 4),
                state.MovePhase.PLANNED,
                1,
            ),
            # The operator writes the missing order again.
            (3, _EraStore(404, {}, 4), None, 1),
        ],
    )
    def test_outcomes(
        self,
        known_era: int,
        response: _EraStore,
        expected_phase: state.MovePhase | None,
        expected_write_count: int,
    ) -> None:
        """Guards against a phase that replaces that of another order.

        A phase of None stands for a write that counts as failed.
        """
        store = dataclasses.replace(response)
        log = fakes.RecordingLog()
        era = forwarding.StoreEra(log)
        era.record(known_era)
        writer = platform.StoreMoveWriter(
            platform.TrackedStoreCalls(store, era), log, era
        )
        order = data.MoveOrder('pool', 'v2', 12.0, data.StorePosition(3, 412))
        result = writer.write_phase(order, state.MovePhase.ROLLED_BACK)
        assert store.write_count == expected_write_count
        if expected_phase is None:
            assert isinstance(result, forwarding.StoreFault)
            return
        assert isinstance(result, data.MoveChange)
        assert result.order is not None
        assert result.order.phase is expected_phase
        assert result.order.position == data.StorePosition(store.era, 412)


class TestEraOfOrders:
    """The position of an order names the era in which it was read."""

    def test_listed_and_watched(self) -> None:
        """Guards against orders that count as older after a restore."""
        log = fakes.RecordingLog()
        expected = data.StorePosition(4, 412)
        listed = _EraStore(200, {'items': [_object(None)], 'at': 412}, 4)
        era = forwarding.StoreEra(log)
        listing = platform.MoveReader(
            platform.TrackedStoreCalls(listed, era), log
        ).list_all()
        assert isinstance(listing, forwarding.Listing)
        events = [{'object': _object(None), 'deleted': False}]
        watched = _EraStore(200, {'events': events, 'at': 412}, 4)
        changes = platform.MoveReader(
            platform.TrackedStoreCalls(watched, era), log
        ).watch(400, 1.0)
        assert isinstance(changes, forwarding.Changes)
        for change in (*listing.items, *changes.items):
            assert change.order is not None
            assert change.order.position == expected
