"""Test harness for routing: targets, instances and requests."""

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import ports
from skylarktack.coordination import routing

VERSION = state.VersionName('model-1')
ROUTE = state.Route(
    state.RouteName('digest'), state.RouteKind.GENERATION, VERSION
)


def make_target(index: int, domain_count: int = 2) -> state.Target:
    """Return an engine target; domains are assigned round-robin."""
    return state.Target(
        name=state.TargetName(f'engine-{index}'),
        kind=state.TargetKind.ENGINE,
        address=state.Address('127.0.0.1', 1 + index),
        failure_domain=state.FailureDomain(f'domain-{index % domain_count}'),
        region='region-1',
        versions=(VERSION,),
    )


def make_instance(index: int, domain_count: int) -> state.ListedInstance:
    """Return a listed instance; domains are assigned round-robin."""
    return state.ListedInstance(
        name=state.InstanceName(f'instance-{index}'),
        peer_address=state.Address('127.0.0.1', 1),
        failure_domain=state.FailureDomain(f'domain-{index % domain_count}'),
        region='region-1',
    )


class RoutingHarness:
    """Two instances that select among the same targets."""

    def __init__(
        self,
        settings: state.RoutingSettings | None = None,
        target_count: int = 6,
        connected: bool = True,
    ) -> None:
        self.settings = settings or state.RoutingSettings()
        self.clock = fakes.ManualClock()
        self.targets = tuple(make_target(n) for n in range(target_count))
        self.hub = fakes.LocalPeerHub()
        self.prefixes = routing.PrefixIndex(self.settings)
        self.table, self.selector, self.topic = self._make_instance(
            'instance-0', self.prefixes, connected
        )
        self.peer = self._make_instance(
            'instance-1', routing.PrefixIndex(self.settings), connected
        )

    def _make_instance(
        self, name: str, prefixes: routing.PrefixIndex, connected: bool
    ) -> tuple[
        routing.TargetTable, routing.TableSelector, routing.DigestTopic
    ]:
        table = routing.TargetTable(
            state.InstanceName(name),
            state.FailureDomain('domain-0'),
            'region-1',
            self.settings,
            self.clock,
        )
        table.update(self.targets)
        network = self.hub.join(name) if connected else None
        notices = routing.LeavingNotices(table, network)
        return (
            table,
            routing.TableSelector(
                self.settings, table, prefixes, notices, seed=1
            ),
            routing.DigestTopic(
                self.settings, table, fakes.PlainDigestCodec(), notices
            ),
        )

    def select_targets(self, count: int = 200, prompt: str = '') -> list[str]:
        """Return the target selected for each request, '' if refused."""
        names: list[str] = []
        for number in range(count):
            result = self.selector.assign(
                ports.SelectionRequest(
                    state.RequestId(f'request-{number}'),
                    ROUTE,
                    state.OrganisationName('small'),
                    VERSION,
                    prompt,
                )
            )
            if result.is_error():
                assert result.error.run is state.RunState.NOT_RUN
                names.append('')
                continue
            names.append(result.ok.name)
            self.selector.release(result.ok.name)
        return names

    def fail_requests(self, index: int, count: int = 3) -> None:
        """Record failed requests on a target."""
        for _ in range(count):
            self.observe(index, state.OutcomeKind.ERROR)

    def observe(self, index: int, kind: state.OutcomeKind) -> None:
        """Record an outcome on a target at the first instance."""
        self.selector.observe(
            state.TargetOutcome(
                target=self.targets[index].name,
                route=ROUTE.name,
                version=VERSION,
                organisation=state.OrganisationName('small'),
                kind=kind,
                first_token_ms=None,
                inter_token_ms=None,
                duration_ms=10.0,
            )
        )

    def report_load(
        self,
        index: int,
        running: int = 0,
        incarnation: str = 'one',
        leaving: bool = False,
        table: routing.TargetTable | None = None,
    ) -> tuple[bool, bool]:
        """Apply a load report; by default at the first instance."""
        load = ports.EngineLoad(
            incarnation, running, 0, 32, (VERSION,), 0, leaving
        )
        return (table or self.table).record_load_report(
            self.targets[index].name, load
        )
