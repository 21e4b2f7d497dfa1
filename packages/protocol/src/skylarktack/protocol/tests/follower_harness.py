"""An instance that follows the configuration, for tests with the codec."""

import threading

from skylarktack import protocol
from skylarktack.coordination import configuration
from skylarktack.coordination import fakes
from skylarktack.coordination import ports


class Instance:
    """One instance that follows the configuration in a thread."""

    def __init__(
        self,
        name: str,
        hub: fakes.LocalPeerHub,
        store: ports.ObjectStore,
        holder: configuration.ConfigurationHolder | None = None,
    ) -> None:
        self.network = hub.join(name)
        self.holder = holder or configuration.ConfigurationHolder(
            ports.SystemClock()
        )
        self.follower = configuration.ConfigurationFollower(
            configuration.FollowerDependencies(
                store=store,
                peers=self.network,
                codec=protocol.JsonConfigurationCodec(),
                holder=self.holder,
                clock=ports.SystemClock(),
                metrics=fakes.MemoryMetrics(),
            )
        )
        self._thread = threading.Thread(
            target=self.follower.follow, daemon=True
        )

    def start(self) -> None:
        """Start following."""
        self._thread.start()

    def stop(self) -> None:
        """Stop following; an open watch ends when it times out."""
        self.follower.stop()

    def wait_revision(self, revision: int) -> int:
        """Wait for a revision or a newer one; return the one in effect.

        Returns the revision then in effect if 500 waits of 10 ms pass first.
        """
        waiting = threading.Event()
        for _ in range(500):
            if self.holder.current().revision >= revision:
                break
            waiting.wait(0.01)
        return self.holder.current().revision
