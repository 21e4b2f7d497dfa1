"""Uses the coordination parts without the daemon.

Two embedded programs share a configuration through an object store and peer
messages. Run: ``.venv/bin/python examples/embed_coordination.py``.
"""

import threading

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import configuration
from skylarktack.coordination import fakes
from skylarktack.coordination import ports


def make_follower(
    hub: fakes.LocalPeerHub, store: ports.ObjectStore, name: str
) -> tuple[
    configuration.ConfigurationHolder, configuration.ConfigurationFollower
]:
    """Return the holder of one program and what keeps it up to date."""
    clock = ports.SystemClock()
    holder = configuration.ConfigurationHolder(clock)
    follower = configuration.ConfigurationFollower(
        configuration.FollowerDependencies(
            store=store,
            peers=hub.join(name),
            codec=protocol.JsonConfigurationCodec(),
            holder=holder,
            clock=clock,
            metrics=fakes.MemoryMetrics(),
        )
    )
    threading.Thread(target=follower.follow, daemon=True).start()
    return holder, follower


def main() -> None:
    """Apply one document and show where it is in effect."""
    hub = fakes.LocalPeerHub()
    store = fakes.MemoryObjectStore()
    programs = [
        make_follower(hub, store, f'program-{index}') for index in range(2)
    ]
    publisher = configuration.ConfigurationPublisher(
        store, protocol.JsonConfigurationCodec(), ports.SystemClock()
    )
    document = state.ConfigurationDocument(
        organisations=(
            state.Organisation(state.OrganisationName('dealer'), ()),
        )
    )
    accepted = publisher.apply(
        state.ConfigurationChange(document, 0, 'example', 'change-1')
    )
    print(f'accepted revision {accepted.ok.revision}')
    waiting = threading.Event()
    for holder, follower in programs:
        while holder.current().revision < accepted.ok.revision:
            waiting.wait(0.01)
        print(f'in effect: revision {holder.current().revision}')
        follower.stop()


if __name__ == '__main__':
    main()
