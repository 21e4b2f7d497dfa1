"""Harness of the tests of watchers in a large fleet."""

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.coordination.forwarding.tests import watcher_harness
from skylarktack.state import forwarding as data


def heartbeat(revision: int) -> data.WatchHeartbeat:
    """Return a heartbeat that reports a revision."""
    return data.WatchHeartbeat('x', (data.ConfirmedKind('kind', revision),))


class SharedHarness:
    """A watcher of an instance in a large fleet."""

    def __init__(
        self,
        is_watcher: bool,
        *results: watcher_harness.StoreResult,
        is_list_shorter: bool = False,
    ) -> None:
        self.clock = fakes.SteppingClock()
        self.link = harness.RecordingLink()
        self.source = watcher_harness.ScriptedSource(*results)
        self.handler = watcher_harness.RecordingHandler()
        self.health = forwarding.StoreHealth(self.clock)
        self.shared_watch = self._shared_watch_of_rank(is_watcher)
        self.watcher = forwarding.StoreWatcher(
            self.clock,
            self.source,
            self.handler,
            fakes.RecordingLog(),
            forwarding.WatchSettings('kind', 3.0, 0.0, is_list_shorter),
            self.health,
            self.source.era,
            self.shared_watch,
        )
        self.source.watcher = self.watcher

    def advance_while_waiting(self) -> None:
        """Advance the clock while the watcher waits for a change."""
        original = self.shared_watch.next_change

        def _next(kind: str, timeout_s: float) -> data.StoreChange | None:
            self.clock.advance(timeout_s)
            return original(kind, 0.0)

        self.shared_watch.next_change = _next  # type: ignore[method-assign]

    def _shared_watch_of_rank(
        self, is_watcher: bool
    ) -> forwarding.SharedWatch:
        names = [f'instance-{number}' for number in range(20)]
        for own in names:
            view = forwarding.FleetView(
                self.clock, fakes.RecordingLog(), own, data.Address('h', 1)
            )
            for number, name in enumerate(names):
                if name != own:
                    view.receive(harness.peer_report(name, number))
            shared_watch = forwarding.SharedWatch(
                self.clock, view, self.link, self.source.era
            )
            asks = shared_watch.role('kind') is forwarding.WatchRole.WATCH
            # Rank 2 asks at first as well, since it receives no heartbeat.
            if asks == is_watcher and (view.rank() < 2) == is_watcher:
                return shared_watch
        raise AssertionError(f'no instance with is_watcher={is_watcher}')
