"""The reports of this instance to its peers."""

from skylarktack.coordination.forwarding import _outgoing
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Time for which full reports repeat that a target is leaving.
LEAVING_REPEAT_S = 30.0


class ReportBuilder:
    """Numbers the reports and fills them with the outgoing changes.

    The owner of the changes serialises the calls.
    """

    def __init__(
        self,
        clock: Clock,
        instance: str,
        endpoint: data.Address,
        outgoing: _outgoing.OutgoingChanges,
    ) -> None:
        self._clock = clock
        self._instance = instance
        self._endpoint = endpoint
        self._outgoing = outgoing
        self._started_at_ms = int(clock.wall_s() * 1000)
        self._sequence = 0
        #: Leaving targets, and until when full reports repeat each.
        self._leaving: dict[data.LeavingTarget, float] = {}

    def add_leaving_target(self, leaving: data.LeavingTarget) -> None:
        """Report that a target is about to stop.

        Full reports repeat it for a while, since a datagram may be lost.
        """
        now_s = self._clock.monotonic_s()
        self._leaving[leaving] = now_s + LEAVING_REPEAT_S
        self._outgoing.add_leaving_target(leaving)

    def build(
        self,
        is_full: bool,
        runs: tuple[data.RunStatus, ...],
        interval_s: float,
        counts: tuple[data.RetryCounts, ...],
    ) -> data.InstanceReport:
        """Return the next report, and clear the changes that it has.

        :param interval_s: time until the next full report.
        """
        self._sequence += 1
        leaving = self._outgoing.take_leaving_targets()
        if is_full:
            leaving = self._repeated_leaving()
        return data.InstanceReport(
            instance=self._instance,
            endpoint=self._endpoint,
            started_at_ms=self._started_at_ms,
            sequence=self._sequence,
            is_full=is_full,
            runs=runs,
            lost_targets=self._outgoing.take_failed_targets(),
            next_report_ms=int(interval_s * 1000),
            replaced_targets=self._outgoing.take_replaced_targets(),
            counts=counts,
            leaving_targets=leaving,
        )

    def _repeated_leaving(self) -> tuple[data.LeavingTarget, ...]:
        now_s = self._clock.monotonic_s()
        for leaving, until_s in list(self._leaving.items()):
            if now_s >= until_s:
                del self._leaving[leaving]
        return tuple(self._leaving)
