"""Composition of planned moves.

A move is a planned rollout of a route or service from one version to
another.
"""

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import moves
from skylarktack.coordination import ports


def build_moves(
    settings: state.InstanceSettings,
    clock: ports.Clock,
    store: ports.ObjectStore,
    peers: ports.PeerNetwork,
    engines: ports.EngineClient,
    configuration: ports.ConfigurationSource,
    selector: ports.TargetSelector,
    metrics: ports.Metrics,
    supervisor: ports.TaskSupervisor,
) -> moves.MoveCoordinator:
    """Return the move coordinator of one instance, not yet started."""
    return moves.MoveCoordinator(
        moves.MoveDependencies(
            settings=settings.move,
            clock=clock,
            store=store,
            codec=protocol.JsonMoveCodec(),
            peers=peers,
            engines=engines,
            configuration=configuration,
            selector=selector,
            metrics=metrics,
            supervisor=supervisor,
        )
    )
