"""Readers of the object API over HTTP, after it came back from a copy."""

from collections.abc import Iterator
import threading

import pytest

from skylarktack import emulator
from skylarktack import protocol
from skylarktack import state
from skylarktack import transport
from skylarktack.coordination import configuration
from skylarktack.coordination import fakes
from skylarktack.coordination import once
from skylarktack.coordination import ports

_CODEC = protocol.JsonConfigurationCodec()


@pytest.fixture
def server() -> Iterator[emulator.ObjectApiServer]:
    """Provide a running object API."""
    served = emulator.ObjectApiServer(state.Address('127.0.0.1', 0))
    thread = threading.Thread(target=served.serve_forever, daemon=True)
    thread.start()
    yield served
    served.shutdown()
    served.server_close()


def _client(server: emulator.ObjectApiServer) -> transport.HttpObjectStore:
    return transport.HttpObjectStore(
        state.StoreSettings(emulator.address_of(server))
    )


def _stored_revision(server: emulator.ObjectApiServer) -> int:
    stored = server.api.get(configuration.CURRENT_KEY)
    assert stored is not None
    return _CODEC.decode(stored.value).ok.revision


class TestRestoredObjectApi:
    """Guards against a restore that readers over HTTP do not notice."""

    def test_follower_writes_the_lost_revision_again(
        self, server: emulator.ObjectApiServer
    ) -> None:
        """Guards against an accepted change that a restore takes back."""
        holder = configuration.ConfigurationHolder(ports.SystemClock())
        publisher = configuration.ConfigurationPublisher(
            _client(server), _CODEC, ports.SystemClock(), holder
        )
        client = _client(server)
        follower = configuration.ConfigurationFollower(
            configuration.FollowerDependencies(
                store=client,
                peers=fakes.LocalPeerHub().join('instance-0'),
                codec=_CODEC,
                holder=holder,
                clock=ports.SystemClock(),
                metrics=fakes.MemoryMetrics(),
            )
        )
        task = threading.Thread(target=follower.follow, daemon=True)
        waiting = threading.Event()
        for revision in range(3):
            change = state.ConfigurationChange(
                state.ConfigurationDocument(),
                revision,
                'operator',
                f'change-{revision}',
            )
            assert publisher.apply(change).is_ok()
            if revision == 0:
                server.api.take_copy()
                task.start()
        for _ in range(1000):
            if holder.current().revision == 3:
                break
            waiting.wait(0.01)
        server.api.restore()
        assert _stored_revision(server) in (1, 3)
        for _ in range(1000):
            if _stored_revision(server) == 3:
                break
            waiting.wait(0.01)
        assert _stored_revision(server) == 3
        follower.stop()
        client.close()
        task.join(10)
        assert not task.is_alive()

    def test_claim_is_written_again(
        self, server: emulator.ObjectApiServer
    ) -> None:
        """Guards against a key that two instances claim."""
        logs: list[once.BucketLog] = []
        for _ in range(2):
            dependencies = once.BucketDependencies(
                settings=state.ClaimSettings(),
                store=_client(server),
                codec=protocol.CborSegmentCodec(),
                clock=ports.SystemClock(),
                metrics=fakes.MemoryMetrics(),
            )
            logs.append(once.BucketLog(0, dependencies))
        owner, other = logs
        now_s = ports.SystemClock().wall_s()

        def claim(log: once.BucketLog, key: str, claim_id: str) -> str:
            record = state.ClaimRecord(
                key=state.ClaimKey(state.OrganisationName('small'), key),
                claim_id=claim_id,
                fingerprint=b'f',
                instance=state.InstanceName('instance-0'),
                phase=state.ClaimPhase.CLAIMED,
                claimed_s=now_s,
                changed_s=now_s,
            )
            found = log.commit((record,)).ok[0]
            assert found is not None
            return found.claim_id

        assert claim(owner, 'kept', 'one') == 'one'
        server.api.take_copy()
        assert claim(owner, 'lost', 'one') == 'one'
        server.api.restore()
        assert claim(owner, 'new', 'one') == 'one'
        assert claim(other, 'lost', 'two') == 'one'
