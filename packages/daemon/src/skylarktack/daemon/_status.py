"""Status of one instance and of all."""

from collections.abc import Callable
import concurrent.futures

from skylarktack import state
from skylarktack.coordination import ports

#: Longest wait for the status of another instance.
STATUS_TIMEOUT_S = 1.0

#: Instances that are asked at the same time.
STATUS_TASK_COUNT = 16


class FleetStatus:
    """Asks all instances for their status when an operator wants it."""

    def __init__(
        self,
        peers: ports.PeerNetwork,
        own_status: Callable[[], state.InstanceStatus],
    ) -> None:
        self._peers = peers
        self._own_status = own_status
        peers.register_handler(state.StatusRequest, self._on_request)

    def fleet_status(self) -> tuple[state.InstanceStatus, ...]:
        """Ask all instances; those that do not answer are left out."""
        others: list[state.InstanceName] = []
        for member in self._peers.members():
            if member.name != self._peers.name:
                others.append(member.name)
        found = [self._own_status()]
        with concurrent.futures.ThreadPoolExecutor(STATUS_TASK_COUNT) as pool:
            for answer in pool.map(self._ask, others):
                if answer is not None:
                    found.append(answer)
        return tuple(sorted(found, key=lambda status: status.name))

    def _ask(self, peer: state.InstanceName) -> state.InstanceStatus | None:
        answered = self._peers.request(
            peer, state.StatusRequest(), STATUS_TIMEOUT_S
        )
        if answered.is_error():
            return None
        if not isinstance(answered.ok, state.InstanceStatus):
            return None
        return answered.ok

    def _on_request(
        self, peer: state.InstanceName, request: state.StatusRequest
    ) -> state.InstanceStatus:
        return self._own_status()
