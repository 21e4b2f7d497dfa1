"""Says how a request of a route would be sent, for operators."""

import dataclasses

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.routing import _selector
from skylarktack.coordination.routing import _table


@dataclasses.dataclass(frozen=True)
class TargetExplanation:
    """One target of the version and what speaks for or against it."""

    #: Its name.
    name: state.TargetName

    #: Its failure domain.
    failure_domain: state.FailureDomain

    #: One line about its state.
    reason: str


@dataclasses.dataclass(frozen=True)
class RouteExplanation:
    """How one request would be sent."""

    #: The route.
    route: state.RouteName

    #: Version that would serve it.
    version: state.VersionName

    #: Name of the policy.
    policy: str

    #: Target that would be chosen, or empty.
    chosen: str

    #: All live targets of the version.
    targets: tuple[TargetExplanation, ...]


class RouteExplainer:
    """Explains choices without changing any count for good."""

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
        """Explain a request of a route, or return None for no such route."""
        for route in self._source.current().document.routes:
            if route.name == name:
                return self._explain(route, prompt)
        return None

    def _explain(self, route: state.Route, prompt: str) -> RouteExplanation:
        request_id = state.RequestId('explain')
        version = self._versions.version_for(route, request_id)
        assigned = self._selector.assign(
            ports.SelectionRequest(
                request_id=request_id,
                route=route,
                organisation=state.OrganisationName(''),
                version=version,
                prompt=prompt,
            )
        )
        chosen = ''
        if assigned.is_ok():
            chosen = assigned.ok.name
            self._selector.release(assigned.ok.name)
        found: list[TargetExplanation] = []
        used = set(self._table.used(version).names)
        for target in self._table.targets():
            if version not in target.versions:
                continue
            found.append(
                TargetExplanation(
                    target.name,
                    target.failure_domain,
                    self._reason(target, target.name in used),
                )
            )
        return RouteExplanation(
            route.name, version, self._settings.policy, chosen, tuple(found)
        )

    def _reason(self, target: state.Target, used: bool) -> str:
        if target.leaving:
            return 'leaving; gets no new work'
        if not used:
            return "not in this instance's subset"
        candidate = self._table.candidate(target.name, None)
        if candidate is None:
            return 'ejected after failures'
        return (
            f'load {candidate.load:.1f} of {candidate.slot_count} slots, '
            f'{candidate.in_flight_count} of them from here, weight '
            f'{candidate.weight:.2f}'
        )
