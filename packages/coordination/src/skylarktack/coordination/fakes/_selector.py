"""A target selector without load reports, for tests."""

import random
import threading

from expression import Error
from expression import Ok
from expression import Result

from skylarktack import state
from skylarktack.coordination import ports


class PlainSelector:
    """Selects the less loaded of two random targets that serve the version.

    The load of a target is its number of requests in flight.
    """

    def __init__(self, seed: int | None = None) -> None:
        self._lock = threading.Lock()
        self._random = random.Random(seed)
        self._targets: dict[state.TargetName, state.Target] = {}
        self._in_flight: dict[state.TargetName, int] = {}

    def update(self, targets: tuple[state.Target, ...]) -> None:
        """Replace the known targets with those of the platform's list."""
        with self._lock:
            self._targets = {target.name: target for target in targets}

    def assign(
        self, request: ports.SelectionRequest
    ) -> Result[state.Target, state.Refusal]:
        """Choose a target and count the request as in flight there."""
        with self._lock:
            candidates: list[state.Target] = []
            for target in self._targets.values():
                if target.leaving or target.name in request.excluded:
                    continue
                if request.version not in target.versions:
                    continue
                candidates.append(target)
            if not candidates:
                return Error(
                    state.Refusal(
                        code=state.RefusalCode.NO_TARGET,
                        message='No live target serves the version.',
                        run=state.RunState.NOT_RUN,
                        retry_after_ms=1000,
                    )
                )
            pair = self._random.sample(candidates, min(2, len(candidates)))
            chosen = min(
                pair, key=lambda target: self._in_flight.get(target.name, 0)
            )
            self._in_flight[chosen.name] = (
                self._in_flight.get(chosen.name, 0) + 1
            )
            return Ok(chosen)

    def release(self, target: state.TargetName) -> None:
        """Decrement the number of requests in flight on the target."""
        with self._lock:
            remaining = self._in_flight.get(target, 0) - 1
            if remaining > 0:
                self._in_flight[target] = remaining
                return
            self._in_flight.pop(target, None)

    def in_flight(self) -> dict[state.TargetName, int]:
        """Return the requests in flight of each target that has some."""
        with self._lock:
            return dict(self._in_flight)

    def target(self, name: state.TargetName) -> state.Target | None:
        """Return a known target by name, including leaving (draining) ones."""
        with self._lock:
            return self._targets.get(name)
