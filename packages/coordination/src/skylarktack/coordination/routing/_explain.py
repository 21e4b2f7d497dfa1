"""Explanation of routing decisions for operators."""

import dataclasses

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.routing import _selector
from skylarktack.coordination.routing import _table


@dataclasses.dataclass(frozen=True)
class TargetExplanation:
    """One target of the version and why it is or is not eligible."""

    name: state.TargetName

    failure_domain: state.FailureDomain

    #: One line: its load, or why it is not eligible.
    reason: str


@dataclasses.dataclass(frozen=True)
class RouteExplanation:
    """Routing decision for a sample request."""

    route: state.RouteName

    #: Version that would serve the request.
    version: state.VersionName

    #: Name of the selection policy.
    policy: str

    #: Name of the target that would be selected, empty if there is none.
    chosen: str

    #: All listed targets of the version.
    targets: tuple[TargetExplanation, ...]


class RouteExplainer:
    """Explains routing decisions by a trial assignment.

    The trial request is released at once, so in-flight counts do not change.
    """

    def __init__(
        self,
        settings: state.RoutingSettings,
        source: ports.ConfigurationSource,
        versions: ports.VersionSelector,
        table: _table.TargetTable,
        selector: _selector.TableSelector,
    ) -> None:
        self._settings = settings
        self._source = source
        self._versions = versions
        self._table = table
        self._selector = selector

    def explain(self, name: str, prompt: str) -> RouteExplanation | None:
        """Explain a request of a route; return None for an unknown route."""
        for route in self._source.current().document.routes:
            if route.name == name:
                return self._explain(route, prompt)
        return None

    def _explain(self, route: state.Route, prompt: str) -> RouteExplanation:
        request_id = state.RequestId('explain')
        version = self._versions.version_for(route, request_id)
        assignment = self._selector.assign(
            ports.SelectionRequest(
                request_id=request_id,
                route=route,
                organisation=state.OrganisationName(''),
                version=version,
                prompt=prompt,
            )
        )
        chosen = ''
        if assignment.is_ok():
            chosen = assignment.ok.name
            self._selector.release(assignment.ok.name)
        explanations: list[TargetExplanation] = []
        used = set(self._table.used(version).names)
        for target in self._table.targets():
            if version not in target.versions:
                continue
            explanations.append(
                TargetExplanation(
                    target.name,
                    target.failure_domain,
                    self._reason(target, target.name in used),
                )
            )
        return RouteExplanation(
            route.name,
            version,
            self._settings.policy,
            chosen,
            tuple(explanations),
        )

    def _reason(self, target: state.Target, used: bool) -> str:
        if target.leaving:
            return 'leaving; receives no new requests'
        if not used:
            return "not in this instance's subset"
        candidate = self._table.candidate(target.name, None)
        if candidate is None:
            return 'ejected after failures'
        return (
            f'load {candidate.load:.1f} of {candidate.slot_count} slots, '
            f'{candidate.in_flight_count} of them from this instance, weight '
            f'{candidate.weight:.2f}'
        )
