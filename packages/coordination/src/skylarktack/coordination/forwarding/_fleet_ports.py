"""What the view of the fleet gives to and takes from other parts."""

from typing import Protocol

from skylarktack.state import forwarding as data


class TargetFailureListener(Protocol):
    """Receives what peers report about failed targets."""

    def report_suspicion(self, name: str) -> None:
        """Handle the report that a target failed."""
        ...

    def report_replaced(self, name: str) -> None:
        """Handle the report that another target has a target's address."""
        ...

    def report_leaving(self, leaving: data.LeavingTarget) -> None:
        """Handle the report that a target is about to stop."""
        ...

    def report_output(self, name: str) -> None:
        """Handle the report that a target just sent the events of a run."""
        ...


class PromptEvidenceExchange(Protocol):
    """Gives and receives evidence about prompt parts."""

    def evidence(self, is_full: bool) -> data.PromptEvidence:
        """Return the evidence for a report.

        :param is_full: whether recent evidence is repeated.
        """
        ...

    def receive(self, evidence: data.PromptEvidence) -> None:
        """Apply the evidence of another instance."""
        ...


class ConfigurationVersions(Protocol):
    """Gives the active version of this instance, receives those of peers."""

    @property
    def version(self) -> int:
        """Return the active version; 0 before the first."""
        ...

    def record_peer_version(self, version: int) -> None:
        """Record the active version of a peer."""
        ...


class RetryCounter(Protocol):
    """Counts requests and retries of this instance."""

    def counts(self) -> tuple[data.RetryCounts, ...]:
        """Return the counts to report to the peers."""
        ...


class ObservationExchange(Protocol):
    """Gives and receives what instances have seen of targets."""

    def take(self) -> tuple[data.TargetObservation, ...]:
        """Return the observations for the next report, a bounded number."""
        ...

    def receive(
        self, observations: tuple[data.TargetObservation, ...]
    ) -> None:
        """Apply the observations of another instance."""
        ...


class DemandExchange(Protocol):
    """Gives and receives the demand of organisations for services."""

    def demands(self) -> tuple[data.ServiceDemand, ...]:
        """Return the demands for the next report, a bounded number."""
        ...

    def receive(
        self, instance: str, demands: tuple[data.ServiceDemand, ...]
    ) -> None:
        """Apply the demands at another instance, which replace its last."""
        ...
