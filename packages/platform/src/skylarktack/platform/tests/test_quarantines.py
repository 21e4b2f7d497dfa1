"""Quarantined prompt parts in the store."""

from typing import Any

import pytest

from skylarktack import platform
from skylarktack.platform.tests import test_store
from skylarktack.state import forwarding as data

QUARANTINE = data.StoredQuarantine('48720f3588ea', 1000, 61000, 1)


def _saved_object() -> dict[str, Any]:
    client = test_store.ScriptedClient((201, {}))
    assert platform.StoreQuarantines(client).save(QUARANTINE)
    body: dict[str, Any] = client.calls[0][2]
    return body


def _load(*items: Any) -> tuple[data.StoredQuarantine, ...] | None:
    listing = {'items': list(items), 'has_more': False, 'at': 5}
    client = test_store.ScriptedClient((200, listing))
    return platform.StoreQuarantines(client).load(True)


class TestStoreQuarantines:
    """Objects are created, replaced, read and removed."""

    def test_round_trip(self) -> None:
        """Guards against fields that are read under another name."""
        assert _load(_saved_object()) == (QUARANTINE,)

    def test_known_part_is_replaced(self) -> None:
        """Guards against a probe that is not counted after a restart."""
        client = test_store.ScriptedClient((409, {}), (200, {}))
        assert platform.StoreQuarantines(client).save(QUARANTINE)
        assert [call[0] for call in client.calls] == ['POST', 'PUT']

    @pytest.mark.parametrize('status', [200, 404])
    def test_removal_of_a_missing_entry_succeeds(self, status: int) -> None:
        """Guards against removing again what another instance removed."""
        client = test_store.ScriptedClient((status, {}))
        assert platform.StoreQuarantines(client).remove('48720f3588ea')

    def test_failed_call_is_no_success(self) -> None:
        """Guards against taking a failed call for a success."""
        client = test_store.ScriptedClient(
            (503, {}), test_store.NO_RESPONSE, (429, {}), (503, {})
        )
        quarantines = platform.StoreQuarantines(client)
        assert quarantines.load(True) is None
        assert quarantines.load(True) is None
        assert not quarantines.save(QUARANTINE)
        assert not quarantines.remove('48720f3588ea')

    @pytest.mark.parametrize(
        'specification',
        [
            None,
            [],
            {'part': 'x'},
            {'part': '\ud800', 'began_at_ms': 1, 'until_ms': 2},
            {'part': 5, 'began_at_ms': 1, 'until_ms': 2, 'probe_count': 0},
        ],
    )
    def test_odd_entry_is_left_out(self, specification: Any) -> None:
        """Guards against an entry of another writer that hides the others."""
        odd = {'metadata': {'name': 'odd'}, 'specification': specification}
        assert _load(odd, _saved_object()) == (QUARANTINE,)
