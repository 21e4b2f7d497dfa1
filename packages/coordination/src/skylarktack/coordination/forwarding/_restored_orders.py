"""Move orders of a store that was restored from a copy.

The copy may lack the newest order of a service, hold an older one for another
version, or hold the order without its recorded phase. The operator writes the
order again after some time; the phase is recorded again by this system.
"""

import dataclasses

from skylarktack import state
from skylarktack.coordination.forwarding import _version_rules
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Time for which a known order is kept while the restored store does not hold
#: it. No limit is stated for the operator to write it again.
ORDER_WAIT_S = 10.0

#: Phases in the order in which a move reaches them. The targets of the old
#: version stop at completion, so that a completed move cannot be rolled back.
_PHASES = (
    state.MovePhase.PLANNED,
    state.MovePhase.LOADING,
    state.MovePhase.SHIFTING,
    state.MovePhase.ROLLED_BACK,
    state.MovePhase.COMPLETED,
)


def later_phase(
    known: state.MovePhase, stored: state.MovePhase
) -> state.MovePhase:
    """Return the later one of the known phase and that of the store."""
    return max(known, stored, key=_PHASES.index)


@dataclasses.dataclass(frozen=True)
class _HeldChange:
    """A change that is not applied yet."""

    change: data.MoveChange

    #: Monotonic time at which it is applied.
    due_at_s: float


class HeldChanges:
    """Changes that the copy may have caused, one for each service.

    Not thread-safe; the owner serialises the calls.
    """

    def __init__(
        self, clock: Clock, versions: _version_rules.KnownVersions
    ) -> None:
        self._clock = clock
        self._versions = versions
        self._held: dict[str, _HeldChange] = {}

    def hold(self, change: data.MoveChange) -> bool:
        """Hold a change; return whether its service had none.

        A later change of the service is due at the time of the first.
        """
        earlier = self._held.get(change.service)
        if earlier is None:
            due_at_s = self._clock.monotonic_s() + ORDER_WAIT_S
        else:
            due_at_s = earlier.due_at_s
        self._held[change.service] = _HeldChange(change, due_at_s)
        if change.order is not None:
            self._versions.record_held_order(
                change.service, change.order.to_version, due_at_s
            )
        return earlier is None

    def has(self, service: str) -> bool:
        """Return whether a change of the service is held."""
        return service in self._held

    def is_from_copy(
        self, order: data.MoveOrder, known: data.MoveOrder
    ) -> bool:
        """Return whether an order may be older than one that the copy lacks.

        :param order: order for another version than the known one.
        """
        if order.position.era <= known.position.era:
            return False
        held = self._held.get(order.service)
        if held is not None:
            # Another order than that of the copy was written since.
            copied = held.change.order
            return copied is not None and (
                copied.to_version == order.to_version
            )
        # All objects of the copy were written before those that it lacks.
        return order.position.revision < known.position.revision

    def discard(self, service: str) -> None:
        """Drop the change of a service."""
        self._held.pop(service, None)

    def clear(self) -> None:
        """Drop all changes because the store was restored once more."""
        self._held.clear()

    def take_due(self) -> tuple[data.MoveChange, ...]:
        """Return and drop the changes that are to be applied now."""
        if not self._held:
            return ()
        now_s = self._clock.monotonic_s()
        due = []
        for service, held in list(self._held.items()):
            if now_s < held.due_at_s:
                continue
            del self._held[service]
            due.append(held.change)
        return tuple(due)
