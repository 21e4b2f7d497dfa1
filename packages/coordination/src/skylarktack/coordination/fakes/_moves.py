"""Several instances that coordinate moves, in one thread on a manual clock.

A move is a planned rollout of a route from one version to another.
"""

import dataclasses
import threading
from typing import Any

from expression import Error
from expression import Ok
from expression import Result

from skylarktack import state
from skylarktack.coordination import moves
from skylarktack.coordination import ports
from skylarktack.coordination.fakes import _clock
from skylarktack.coordination.fakes import _metrics
from skylarktack.coordination.fakes import _peers
from skylarktack.coordination.fakes import _store
from skylarktack.coordination.fakes import _tasks


class MemoryMoveCodec:
    """Keeps records in memory and encodes each as its index."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._records: list[state.MoveRecord] = []

    def encode(self, record: state.MoveRecord) -> bytes:
        """Store the record and return its index."""
        with self._lock:
            self._records.append(record)
            return str(len(self._records) - 1).encode()

    def decode(self, value: bytes) -> Result[state.MoveRecord, str]:
        """Return the record with the encoded index."""
        return Ok(self._records[int(value)])


class StoreLink:
    """One instance's connection to the store, with its own faults."""

    def __init__(
        self, store: _store.MemoryObjectStore, clock: _clock.ManualClock
    ) -> None:
        self._store = store
        self._clock = clock
        self._era = _store.SeenEra(store)
        self.down = False
        self.delay_s = 0.0

    @property
    def era(self) -> int:
        """Newest era that a call of this instance was answered in."""
        return self._era.current

    def add_era_listener(self, event: threading.Event) -> None:
        """Set the event each time a call notices a restore."""
        self._era.add_listener(event)

    def get(self, key: str) -> Result[state.StoredObject, state.StoreFault]:
        """Read one object."""
        if not self._is_reachable():
            return Error(_UNAVAILABLE)
        result = self._store.get(key)
        self._era.update()
        return result

    def put(
        self, key: str, value: bytes, expected_version: int | None
    ) -> Result[state.StoredObject, state.StoreFault]:
        """Write one object if its version is the expected one."""
        if not self._is_reachable():
            return Error(_UNAVAILABLE)
        result = self._store.put(key, value, expected_version)
        self._era.update()
        return result

    def delete(
        self, key: str, expected_version: int
    ) -> Result[None, state.StoreFault]:
        """Remove one object if its version is the expected one."""
        if not self._is_reachable():
            return Error(_UNAVAILABLE)
        result = self._store.delete(key, expected_version)
        self._era.update()
        return result

    def list(
        self, prefix: str
    ) -> Result[tuple[state.StoredObject, ...], state.StoreFault]:
        """Read all objects whose key starts with the prefix."""
        if not self._is_reachable():
            return Error(_UNAVAILABLE)
        result = self._store.list(prefix)
        self._era.update()
        return result

    def watch(
        self, prefix: str, after_version: int, wait_s: float
    ) -> Result[state.WatchBatch, state.StoreFault]:
        """Return the changes so far, without waiting."""
        if not self._is_reachable():
            return Error(_UNAVAILABLE)
        result = self._store.watch(prefix, after_version, 0.0)
        self._era.update()
        return result

    def platform_list(self) -> Result[state.PlatformList, state.StoreFault]:
        """Read the list of live and leaving (draining) instances."""
        result = self._store.platform_list()
        self._era.update()
        return result

    def _is_reachable(self) -> bool:
        if self.delay_s:
            self._clock.advance(self.delay_s)
        return not self.down


class FixedConfiguration:
    """A configuration source that tests set directly."""

    def __init__(self, document: state.ConfigurationDocument) -> None:
        self._current = state.ActiveConfiguration(1, document, 0.0)

    def current(self) -> state.ActiveConfiguration:
        """Return the active configuration."""
        return self._current

    def replace(self, document: state.ConfigurationDocument) -> None:
        """Activate a document under the next revision."""
        self._current = state.ActiveConfiguration(
            self._current.revision + 1, document, 0.0
        )

    def set_position(self, position: state.ConfigurationPosition) -> None:
        """Activate the document as a revision of another era."""
        self._current = dataclasses.replace(
            self._current, revision=position.revision, era=position.era
        )

    def change_move(self, name: str, **fields: Any) -> None:
        """Activate a copy of the document with one move changed."""
        document = self._current.document
        changed: list[state.Move] = []
        for move in document.moves:
            if move.name == name:
                move = dataclasses.replace(move, **fields)
            changed.append(move)
        self.replace(dataclasses.replace(document, moves=tuple(changed)))


class MemoryEngines:
    """Engines that execute load commands immediately and record them."""

    def __init__(self) -> None:
        self.loaded: dict[state.TargetName, set[state.VersionName]] = {}
        self.commands: list[tuple[state.TargetName, ports.TargetCommand]] = []
        self.highest: dict[state.TargetName, int] = {}
        #: Targets that do not respond.
        self.dead: set[state.TargetName] = set()
        #: Targets that accept commands and never execute them.
        self.stuck: set[state.TargetName] = set()

    def send_command(
        self,
        target: state.Target,
        command: ports.TargetCommand,
        timeout_s: float,
    ) -> Result[None, ports.StreamFault]:
        """Load a version.

        A stale fencing number is refused if the target checks the numbers.
        """
        if target.name in self.dead:
            return Error(_UNREACHABLE)
        highest = self.highest.get(target.name, 0)
        if target.checks_fencing and command.fencing_number < highest:
            return Error(
                ports.StreamFault(
                    ports.StreamFaultKind.REFUSED, 'stale fencing number'
                )
            )
        self.highest[target.name] = max(highest, command.fencing_number)
        self.commands.append((target.name, command))
        versions = self.loaded.setdefault(target.name, set())
        if target.name not in self.stuck:
            versions.add(state.VersionName(command.subject))
        return Ok(None)

    def read_load(
        self, target: state.Target, timeout_s: float
    ) -> Result[ports.EngineLoad, ports.StreamFault]:
        """Return the loaded versions."""
        if target.name in self.dead:
            return Error(_UNREACHABLE)
        versions = self.loaded.get(target.name, set())
        return Ok(ports.EngineLoad('one', 0, 0, 1, tuple(sorted(versions)), 0))


@dataclasses.dataclass
class MoveInstance:
    """One instance of a ``MoveSimulation``."""

    #: Coordinates the moves of the instance.
    part: moves.MoveCoordinator

    store: StoreLink

    #: By move: drivers that hold its lease or try to acquire it.
    sessions: dict[str, moves.LeasedMoveDriver]

    #: Whether its process is paused.
    paused: bool = False

    #: Targets last passed to its directory.
    listed: tuple[state.Target, ...] = ()

    #: Whether it receives no move records, neither by watch nor by list.
    misses_records: bool = False


@dataclasses.dataclass(frozen=True)
class MoveSimulationShape:
    """Size and settings of a ``MoveSimulation``."""

    #: Number of entry instances.
    instance_count: int = 3

    #: Number of targets, all of which serve the old version at first.
    target_count: int = 20

    #: Number of failure domains of the targets.
    failure_domain_count: int = 2

    #: Whether the targets check fencing numbers.
    checks_fencing: bool = True

    #: Seconds from the start of each move to its deadline.
    window_s: float = 45.0

    #: Size of the new version's weights.
    weights_bytes: int = 400_000_000

    #: Routes; each has a move between the same two versions.
    routes: tuple[str, ...] = ('digest',)

    settings: state.MoveSettings = dataclasses.field(
        default_factory=state.MoveSettings
    )


class MoveSimulation:
    """Instances, peer network, store and targets on one manual clock."""

    def __init__(
        self,
        shape: MoveSimulationShape,
        judge: moves.Judge | None = None,
        store: _store.MemoryObjectStore | None = None,
    ) -> None:
        self.shape = shape
        self.clock = _clock.ManualClock()
        self.store = store or _store.MemoryObjectStore()
        self.hub = _peers.LocalPeerHub()
        self.codec = MemoryMoveCodec()
        self.engines = MemoryEngines()
        self.metrics = _metrics.MemoryMetrics()
        self.configuration = FixedConfiguration(self._document())
        self.targets = self._targets()
        self._listed_targets = self.targets
        self._listed_command_count = 0
        self._by_name = {target.name: target for target in self.targets}
        self.instances: dict[str, MoveInstance] = {}
        for index in range(shape.instance_count):
            self.start_instance(f'instance-{index}', judge)

    def start_instance(
        self, name: str, judge: moves.Judge | None = None
    ) -> MoveInstance:
        """Start one instance."""
        link = StoreLink(self.store, self.clock)
        coordinator = moves.MoveCoordinator(
            moves.MoveDependencies(
                settings=self.shape.settings,
                clock=self.clock,
                store=link,
                codec=self.codec,
                peers=self.hub.join(name),
                engines=self.engines,  # type: ignore[arg-type]
                configuration=self.configuration,
                selector=self,  # type: ignore[arg-type]
                metrics=self.metrics,
                supervisor=_tasks.DirectTaskRunner(),
            ),
            judge,
        )
        coordinator.directory.update(self.targets)
        self.instances[name] = MoveInstance(coordinator, link, {})
        return self.instances[name]

    def kill(self, name: str) -> None:
        """Kill an instance without a leave announcement."""
        self.hub.leave(name)
        del self.instances[name]

    def pause(self, name: str) -> None:
        """Pause an instance; its peers cannot reach it."""
        self.instances[name].paused = True
        for other in self.instances:
            if other != name:
                self.hub.cut(name, other)

    def resume(self, name: str) -> None:
        """Resume a paused instance and remove all cuts between peers."""
        self.instances[name].paused = False
        self.hub.heal()

    def target(self, name: state.TargetName) -> state.Target | None:
        """Return a target by name."""
        return self._by_name.get(name)

    def tick(self, duration_s: float = 0.5) -> None:
        """Advance the clock and run one round of each instance."""
        self.clock.advance(duration_s)
        for instance in list(self.instances.values()):
            if not instance.paused:
                self.round(instance)

    def round(self, instance: MoveInstance) -> None:
        """Run what the threads of one instance do in one interval."""
        coordinator = instance.part
        if self._current_targets() is not instance.listed:
            instance.listed = self._listed_targets
            coordinator.directory.update(instance.listed)
        if not instance.misses_records:
            coordinator.read_records()
        coordinator.send_reports()
        for name in coordinator.unleased_moves():
            if name not in instance.sessions:
                instance.sessions[name] = coordinator.new_driver(name)
        for name, driver in list(instance.sessions.items()):
            if driver.step() in (
                moves.DriverState.WAITING,
                moves.DriverState.LOST,
                moves.DriverState.ENDED,
            ):
                del instance.sessions[name]

    def record(self, name: str = 'digest') -> state.MoveRecord | None:
        """Return the stored record of a move, or None."""
        read = self.store.get(moves.record_key(name))
        if read.is_error():
            return None
        return self.codec.decode(read.ok.value).ok

    def driver(self, name: str = 'digest') -> str:
        """Return the holder of a move's lease, or an empty string."""
        record = self.record(name)
        return record.lease.holder if record else ''

    def _current_targets(self) -> tuple[state.Target, ...]:
        """Return the targets with the versions that they have loaded."""
        if self._listed_command_count != len(self.engines.commands):
            self._listed_command_count = len(self.engines.commands)
            found: list[state.Target] = []
            for target in self.targets:
                loaded = self.engines.loaded.get(target.name, set())
                versions = (*target.versions, *sorted(loaded))
                found.append(dataclasses.replace(target, versions=versions))
            self._listed_targets = tuple(found)
        return self._listed_targets

    def _document(self) -> state.ConfigurationDocument:
        now_s = self.clock.wall_s()
        old = state.VersionName('model-1')
        new = state.VersionName('model-2')
        return state.ConfigurationDocument(
            routes=tuple(
                state.Route(
                    state.RouteName(name), state.RouteKind.GENERATION, old
                )
                for name in self.shape.routes
            ),
            versions=(
                state.Version(old, state.RouteKind.GENERATION),
                state.Version(
                    new,
                    state.RouteKind.GENERATION,
                    weights_bytes=self.shape.weights_bytes,
                ),
            ),
            moves=tuple(
                state.Move(
                    name=name,
                    route=state.RouteName(name),
                    from_version=old,
                    to_version=new,
                    start_s=now_s,
                    deadline_s=now_s + self.shape.window_s,
                )
                for name in self.shape.routes
            ),
        )

    def _targets(self) -> tuple[state.Target, ...]:
        found: list[state.Target] = []
        for index in range(self.shape.target_count):
            domain = index % self.shape.failure_domain_count
            found.append(
                state.Target(
                    name=state.TargetName(f'engine-{index}'),
                    kind=state.TargetKind.ENGINE,
                    address=state.Address('127.0.0.1', 1),
                    failure_domain=state.FailureDomain(f'domain-{domain}'),
                    region='region-1',
                    versions=(state.VersionName('model-1'),),
                    checks_fencing=self.shape.checks_fencing,
                )
            )
        return tuple(found)


_UNREACHABLE = ports.StreamFault(
    ports.StreamFaultKind.UNREACHABLE, 'target dead'
)

_UNAVAILABLE = state.StoreFault(
    state.StoreFaultKind.UNAVAILABLE, 'store unavailable'
)
