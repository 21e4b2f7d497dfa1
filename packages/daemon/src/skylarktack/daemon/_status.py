"""Status of one instance and of the fleet."""

from collections.abc import Callable
import concurrent.futures

from skylarktack import state
from skylarktack.coordination import ports

#: Timeout of a status request to another instance.
STATUS_TIMEOUT_S = 1.0

#: Maximum number of concurrent status requests.
STATUS_TASK_COUNT = 16


class FleetStatus:
    """Collects the status of all instances for operators."""

    def __init__(
        self,
        peers: ports.PeerNetwork,
        own_status: Callable[[], state.InstanceStatus],
    ) -> None:
        self._peers = peers
        self._own_status = own_status
        peers.register_handler(state.StatusRequest, self._on_request)

    def fleet_status(self) -> tuple[state.InstanceStatus, ...]:
        """Return the status of each instance that responds, by name."""
        other_names: list[state.InstanceName] = []
        for member in self._peers.members():
            if member.name != self._peers.name:
                other_names.append(member.name)
        statuses = [self._own_status()]
        with concurrent.futures.ThreadPoolExecutor(STATUS_TASK_COUNT) as pool:
            for response in pool.map(self._request_status, other_names):
                if response is not None:
                    statuses.append(response)
        return tuple(sorted(statuses, key=lambda status: status.name))

    def _request_status(
        self, peer: state.InstanceName
    ) -> state.InstanceStatus | None:
        response = self._peers.request(
            peer, state.StatusRequest(), STATUS_TIMEOUT_S
        )
        if response.is_error():
            return None
        if not isinstance(response.ok, state.InstanceStatus):
            return None
        return response.ok

    def _on_request(
        self, peer: state.InstanceName, request: state.StatusRequest
    ) -> state.InstanceStatus:
        return self._own_status()
