"""Records of versions in the store."""

from typing import Any

import pytest

from skylarktack import platform
from skylarktack.platform.tests import test_store
from skylarktack.state import forwarding as data

TRIAL = data.VersionTrial('desk', 'v2', 1000)


def _saved_object() -> dict[str, Any]:
    client = test_store.ScriptedClient((201, {}))
    assert platform.StoreVersionTrials(client).save(TRIAL)
    body: dict[str, Any] = client.calls[0][2]
    return body


def _load(*items: Any) -> tuple[data.VersionTrial, ...] | None:
    listing = {'items': list(items), 'has_more': False, 'at': 5}
    client = test_store.ScriptedClient((200, listing))
    return platform.StoreVersionTrials(client).load(False)


class TestStoreVersionTrials:
    """Objects are created, read and removed."""

    def test_round_trip(self) -> None:
        """Guards against fields that are read under another name."""
        assert _load(_saved_object()) == (TRIAL,)

    @pytest.mark.parametrize('may_be_stale', (True, False))
    def test_age_of_a_list(self, may_be_stale: bool) -> None:
        """Guards against a stale list after a restart of all instances."""
        client = test_store.ScriptedClient((200, {'items': [], 'at': 5}))
        assert platform.StoreVersionTrials(client).load(may_be_stale) == ()
        assert ('stale_read=1' in client.calls[0][1]) is may_be_stale

    def test_known_version_is_not_written_again(self) -> None:
        """Guards against a second write by each instance that sees a move."""
        client = test_store.ScriptedClient((409, {}))
        assert platform.StoreVersionTrials(client).save(TRIAL)
        assert [call[0] for call in client.calls] == ['POST']

    @pytest.mark.parametrize('status', (200, 404))
    def test_removal_of_a_missing_entry_succeeds(self, status: int) -> None:
        """Guards against removing again what another instance removed."""
        client = test_store.ScriptedClient((status, {}))
        trials = platform.StoreVersionTrials(client)
        assert trials.remove('desk', 'v2')
        assert client.calls[0][1].endswith(_saved_object()['metadata']['name'])

    def test_failed_call_is_no_success(self) -> None:
        """Guards against taking a failed call for a success."""
        client = test_store.ScriptedClient(
            (503, {}),
            test_store.NO_RESPONSE,
            (429, {}),
            test_store.SILENCE,
            (503, {}),
            test_store.SILENCE,
        )
        trials = platform.StoreVersionTrials(client)
        assert trials.load(False) is None
        assert trials.load(True) is None
        assert not trials.save(TRIAL)
        assert not trials.save(TRIAL)
        assert not trials.remove('desk', 'v2')
        assert not trials.remove('desk', 'v2')

    @pytest.mark.parametrize(
        'specification',
        [
            None,
            [],
            {'service': 'desk'},
            {'service': 'desk', 'version': 'v2', 'began_at_ms': 'x'},
            {'service': 'desk', 'version': 'v2', 'began_at_ms': 1000},
            {'service': '\ud800', 'version': 'v2', 'began_at_ms': 1},
        ],
    )
    def test_odd_entry_is_left_out(self, specification: Any) -> None:
        """Guards against an entry of another writer that hides the others."""
        odd = {'metadata': {'name': 'odd'}, 'specification': specification}
        assert _load(odd, _saved_object()) == (TRIAL,)
