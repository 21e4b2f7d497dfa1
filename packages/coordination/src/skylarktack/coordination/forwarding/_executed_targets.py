"""Targets at which one stream ran, which its route limits."""

import math

from skylarktack.coordination.forwarding import _engine_watch
from skylarktack.coordination.forwarding import _ports
from skylarktack.coordination.forwarding import _targets
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Time for which a target that answered a probe counts as alive, so that a
#: stream that waits does not probe all the time.
PROBE_LIFETIME_S = 1.0


class ExecutedTargets:
    """Decides to which targets a stream may be sent after it has run.

    A stream may run at as many targets as its route has attempts. Targets
    that ended meanwhile or are leaving do not count. Once the attempts are
    used, the stream may only go back to a target at which it ran.
    """

    def __init__(
        self,
        clock: Clock,
        targets: _targets.TargetTable,
        client: _ports.TargetClient,
        service: str,
        max_attempts: int,
    ) -> None:
        """Create an empty record.

        :param max_attempts: number of targets at which the stream may run.
        """
        self._clock = clock
        self._targets = targets
        self._client = client
        self._service = service
        self._max_attempts = max_attempts
        self._by_name: dict[str, data.ListedTarget] = {}
        self._answered_at_s: dict[str, float] = {}

    def record(self, target: data.ListedTarget) -> None:
        """Record that the stream ran at a target."""
        self._by_name[target.name] = target

    def forbidden(
        self, leaving: data.ListedTarget | None = None
    ) -> frozenset[str]:
        """Return the names of the targets to which it may not be sent now.

        Once the attempts are used, this probes the targets at which it ran
        and waits for their responses.

        :param leaving: target at which it runs and which it would leave, or
            None.
        """
        executed = dict(self._by_name)
        if leaving is not None:
            executed[leaving.name] = leaving
        if len(executed) < self._max_attempts:
            return frozenset()
        for target in list(executed.values()):
            if self._has_ended(target):
                del executed[target.name]
                self._by_name.pop(target.name, None)
        if len(executed) < self._max_attempts:
            return frozenset()
        return self._targets.listed_names(self._service) - executed.keys()

    def _has_ended(self, target: data.ListedTarget) -> bool:
        listed = self._targets.find(target.name)
        if listed is None or listed.is_leaving:
            return True
        if _engine_watch.has_restarted(target, listed.started_at_ms):
            return True
        answered_at_s = self._answered_at_s.get(target.name, -math.inf)
        if self._clock.monotonic_s() < answered_at_s + PROBE_LIFETIME_S:
            return False
        report = self._client.probe(target, _engine_watch.PROBE_TIMEOUT_S)
        if report is None:
            return True
        self._answered_at_s[target.name] = self._clock.monotonic_s()
        return _engine_watch.has_restarted(target, report.started_at_ms)
