"""Calls in flight on this instance, by idempotency key."""

import dataclasses
import threading

from expression import Result

from skylarktack import state

CallResult = Result[state.ServiceResponse, state.Refusal]


@dataclasses.dataclass
class RunningCall:
    """The first call with a key; duplicates wait until it ends."""

    fingerprint: bytes
    ended: threading.Event
    result: CallResult | None = None


class InFlightCalls:
    """Joins duplicate calls on this instance without store access."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._running: dict[state.ClaimKey, RunningCall] = {}

    def enter(
        self, key: state.ClaimKey, fingerprint: bytes
    ) -> tuple[RunningCall, bool]:
        """Return the running call of a key and whether it was just added."""
        with self._lock:
            running = self._running.get(key)
            if running is not None:
                return running, False
            running = RunningCall(fingerprint, threading.Event())
            self._running[key] = running
            return running, True

    def leave(self, key: state.ClaimKey, result: CallResult | None) -> None:
        """End the running call of a key and wake its duplicates.

        :param result: None if the call raised an exception.
        """
        with self._lock:
            running = self._running.pop(key)
        running.result = result
        running.ended.set()
