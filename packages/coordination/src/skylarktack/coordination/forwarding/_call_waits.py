"""By when a call should be served, and how long it may wait for a target."""

from skylarktack.coordination.forwarding import _admitted_request
from skylarktack.coordination.forwarding import _call_choice
from skylarktack.coordination.forwarding import _pause_waits
from skylarktack.coordination.forwarding import _room_waits
from skylarktack.coordination.forwarding import _targets
from skylarktack.coordination.ports import Clock

#: Retry-After of a request that no target accepted, where it is unknown when
#: a target will have room.
RETRY_AFTER_S = 0.1

CallWait = _pause_waits.PauseWait | _room_waits.RoomWait


class CallWaits:
    """Plans the waits of one call."""

    def __init__(
        self,
        clock: Clock,
        targets: _targets.TargetTable,
        admitted: _admitted_request.AdmittedRequest,
    ) -> None:
        self._clock = clock
        self._targets = targets
        self._admitted = admitted
        self._end_s = min(self.service_end_s(), admitted.deadline_s)

    def service_end_s(self) -> float:
        """Return by when the call should be served, if it is sent now.

        A request that was queued beyond its objective has its deadline.
        """
        route = self._admitted.route
        end_s = self._admitted.started_at_s + route.latency_objective_ms / 1000
        if end_s <= self._clock.monotonic_s():
            return self._admitted.deadline_s
        return end_s

    def demand(self) -> _call_choice.CallDemand:
        """Return what the choice of a target depends on now."""
        return _call_choice.CallDemand(
            self._clock.monotonic_s(),
            self._end_s,
            self._admitted.route.is_retryable,
            self._admitted.connection_limit,
        )

    def plan(self, excluded: frozenset[str] | None) -> CallWait | None:
        """Return the wait for a pause or for room; None where none helps.

        :param excluded: targets that the call has tried; None if one of the
            others had room.
        """
        pause = _pause_waits.plan_for_request(
            self._targets, self._admitted, self._clock.monotonic_s()
        )
        if pause is not None or excluded is None:
            return pause
        return self._plan_room_wait(excluded)

    def retry_after_s(self) -> float:
        """Return the time until a target is expected to have room."""
        room = self._plan_room_wait(frozenset(), has_been_declined=True)
        return RETRY_AFTER_S if room is None else round(room.wait_s, 3)

    def _plan_room_wait(
        self, excluded: frozenset[str], has_been_declined: bool = False
    ) -> _room_waits.RoomWait | None:
        return self._targets.calls.plan_room_wait(
            self._admitted.service,
            excluded,
            self._admitted.version_rule,
            self.demand(),
            has_been_declined,
        )
