"""State of the failovers of one generation, and their reservation."""

from typing import Protocol

from expression import Result

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.generation import _dependencies


class FailoverState:
    """State of the attempts and failovers of one generation."""

    def __init__(self, settings: state.GenerationSettings) -> None:
        self.free_failover_count = settings.free_failover_count
        self.excluded_targets: tuple[state.TargetName, ...] = ()
        self.avoided_domain: state.FailureDomain | None = None
        self.attempt_count = 0
        # Whether the latest attempt certainly did not reach its target.
        self.is_unreached = False
        # Monotonic time of the first loss after the latest token.
        self.first_loss_s: float | None = None
        # Target assigned to the next attempt before the latest one ended.
        self.reserved_target: state.Target | None = None

    def record_loss(
        self, target: state.Target, progressed: bool, now_s: float
    ) -> None:
        """Record that the attempt at a target was lost."""
        if progressed or self.first_loss_s is None:
            self.first_loss_s = now_s
        self.excluded_targets = self.excluded_after_loss(target, progressed)
        self.avoided_domain = target.failure_domain

    def excluded_after_loss(
        self, target: state.Target, progressed: bool
    ) -> tuple[state.TargetName, ...]:
        """Return the excluded targets once the attempt at a target is lost.

        After progress, earlier failures of other targets are outdated.
        """
        if progressed:
            return (target.name,)
        return (*self.excluded_targets, target.name)

    def take_reserved_target(self) -> state.Target | None:
        """Return the target of the next attempt, if one was reserved."""
        target = self.reserved_target
        self.reserved_target = None
        return target


class FailoverReservation(Protocol):
    """Secures that a generation can go on at another engine."""

    def reserve(self, progressed: bool) -> bool:
        """Reserve the next attempt before the latest one is abandoned.

        :param progressed: whether the latest attempt has delivered tokens.
        :return: whether the latest attempt may be abandoned.
        """
        ...


class TargetReservation:
    """Assigns the target of the next attempt and claims its retry."""

    def __init__(
        self,
        dependencies: _dependencies.GenerationDependencies,
        record: state.GenerationRecord,
        failover: FailoverState,
        target: state.Target,
    ) -> None:
        """Create a reservation.

        :param target: target of the attempt that would be abandoned.
        """
        self._dependencies = dependencies
        self._record = record
        self._failover = failover
        self._target = target

    def reserve(self, progressed: bool) -> bool:
        """Reserve the next attempt before the latest one is abandoned."""
        dependencies = self._dependencies
        failover = self._failover
        if not self._record.prompt_known:
            # The caller sends the prompt again once the attempt has ended.
            return True
        if failover.attempt_count >= dependencies.settings.attempt_count:
            return False
        selected = select_target(
            dependencies,
            self._record,
            failover.excluded_after_loss(self._target, progressed),
            self._target.failure_domain,
            is_first=False,
        )
        if selected.is_error():
            return False
        is_secured = selected.ok.name != self._target.name and (
            failover.attempt_count == 0
            or claim_failover(dependencies, self._record, failover)
        )
        if not is_secured:
            dependencies.selector.release(selected.ok.name)
            return False
        failover.reserved_target = selected.ok
        return True


def claim_failover(
    dependencies: _dependencies.GenerationDependencies,
    record: state.GenerationRecord,
    failover: FailoverState,
) -> bool:
    """Claim a free failover or a retry; return False if there is none."""
    if failover.free_failover_count > 0 and record.position > 0:
        failover.free_failover_count -= 1
        return True
    return dependencies.retry_budget.try_spend(record.request.organisation)


def select_target(
    dependencies: _dependencies.GenerationDependencies,
    record: state.GenerationRecord,
    excluded: tuple[state.TargetName, ...],
    avoided_domain: state.FailureDomain | None,
    is_first: bool,
) -> Result[state.Target, state.Refusal]:
    """Assign a target to the next attempt.

    :param is_first: whether no attempt was lost so far.
    """
    request = record.request
    if request.route.failover_across_versions and not is_first:
        record.version = dependencies.versions.version_for(
            request.route, request.request_id
        )
    return dependencies.selector.assign(
        ports.SelectionRequest(
            request_id=request.request_id,
            route=request.route,
            organisation=request.organisation,
            version=record.version or state.VersionName(''),
            prompt=request.prompt,
            excluded=excluded,
            avoided_domain=avoided_domain,
            continues=record.position > 0 or request.resume is not None,
        )
    )
