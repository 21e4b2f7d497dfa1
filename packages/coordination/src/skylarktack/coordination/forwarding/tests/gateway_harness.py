"""Harness of a gateway with its configuration."""

import dataclasses

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data

#: Maximum time until a configuration is in force on all instances.
CONFIGURATION_LAG_S = 2.0

#: The instances of most tests have no peers.
PEER_WAIT_S = 0.0


@dataclasses.dataclass
class GatewayHarness:
    """A gateway over the test harness."""

    harness: harness.Harness
    holder: forwarding.ConfigurationHolder
    suspensions: fakes.ScriptedSuspensions
    gateway: forwarding.Gateway

    def send(self, of_request: data.FrontRequest) -> forwarding.StreamOutcome:
        """Send a request."""
        return self.gateway.handle(of_request, self.harness.caller)


def make_gateway(
    env: harness.Harness, observer: forwarding.RequestObserver
) -> GatewayHarness:
    """Return a gateway that has not received a configuration yet."""
    suspensions = fakes.ScriptedSuspensions()
    holder = forwarding.ConfigurationHolder(
        env.clock,
        env.log,
        suspensions,
        CONFIGURATION_LAG_S,
        PEER_WAIT_S,
    )
    errors = forwarding.ErrorRecorder(env.clock, env.log)
    gateway = forwarding.Gateway(
        forwarding.GatewayDependencies(
            clock=env.clock,
            configuration=holder,
            moves=env.moves,
            targets=env.targets,
            admission=forwarding.ServiceAdmission(
                env.clock, env.log, env.targets, env.fleet, errors
            ),
            calls=env.calls,
            streams=env.streams,
            observer=observer,
            errors=errors,
        )
    )
    return GatewayHarness(env, holder, suspensions, gateway)
