"""Runs a plain call that may be repeated."""

from expression import Error
from expression import Result

from skylarktack import state
from skylarktack.coordination import ports


class LookupRunner:
    """Sends repeatable calls to targets."""

    def __init__(
        self,
        services: ports.ServiceClient,
        selector: ports.TargetSelector,
        versions: ports.VersionChooser,
    ) -> None:
        self._services = services
        self._selector = selector
        self._versions = versions

    def run(
        self, call: state.PlainCall
    ) -> Result[state.ServiceAnswer, state.Refusal]:
        """Send the call to one target."""
        chosen = self._selector.assign(
            ports.SelectionRequest(
                request_id=call.request_id,
                route=call.route,
                organisation=call.organisation,
                version=self._versions.version_for(
                    call.route, call.request_id
                ),
            )
        )
        if chosen.is_error():
            return Error(chosen.error)
        target = chosen.ok
        try:
            answered = self._services.call(
                target, call, call.route.call_timeout_ms / 1000
            )
        finally:
            self._selector.release(target.name)
        return answered.map_error(_refusal)


def _refusal(fault: state.DispatchFault) -> state.Refusal:
    return state.Refusal(
        code=state.RefusalCode.TARGET_FAILED,
        message=fault.message,
        run=fault.run,
    )
