"""Several instances with planned moves in one thread, on a manual clock."""

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


class MemoryMoveCodec:
    """Keeps records by number instead of encoding them."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._records: list[state.MoveRecord] = []

    def encode(self, record: state.MoveRecord) -> bytes:
        """Return the number of the record."""
        with self._lock:
            self._records.append(record)
            return str(len(self._records) - 1).encode()

    def decode(self, value: bytes) -> Result[state.MoveRecord, str]:
        """Return the record of a number."""
        return Ok(self._records[int(value)])


class StoreLink:
    """One instance's connection to the store, with faults of its own."""

    def __init__(
        self, store: _store.MemoryObjectStore, clock: _clock.ManualClock
    ) -> None:
        self._store = store
        self._clock = clock
        self.down = False
        self.delay_s = 0.0

    def get(self, key: str) -> Result[state.StoredObject, state.StoreFault]:
        """Read one object."""
        if not self._pass():
            return Error(_UNAVAILABLE)
        return self._store.get(key)

    def put(
        self, key: str, value: bytes, expected_version: int | None
    ) -> Result[state.StoredObject, state.StoreFault]:
        """Write one object if its version is the expected one."""
        if not self._pass():
            return Error(_UNAVAILABLE)
        return self._store.put(key, value, expected_version)

    def delete(
        self, key: str, expected_version: int
    ) -> Result[None, state.StoreFault]:
        """Remove one object if its version is the expected one."""
        if not self._pass():
            return Error(_UNAVAILABLE)
        return self._store.delete(key, expected_version)

    def list(
        self, prefix: str
    ) -> Result[tuple[state.StoredObject, ...], state.StoreFault]:
        """Read all objects whose key starts with the prefix."""
        if not self._pass():
            return Error(_UNAVAILABLE)
        return self._store.list(prefix)

    def watch(
        self, prefix: str, after_version: int, wait_s: float
    ) -> Result[state.WatchBatch, state.StoreFault]:
        """Return changes at once."""
        if not self._pass():
            return Error(_UNAVAILABLE)
        return self._store.watch(prefix, after_version, 0.0)

    def platform_list(self) -> Result[state.PlatformList, state.StoreFault]:
        """Read the list of live and leaving instances."""
        return self._store.platform_list()

    def _pass(self) -> bool:
        if self.delay_s:
            self._clock.advance(self.delay_s)
        return not self.down


class FixedConfiguration:
    """A configuration that tests replace."""

    def __init__(self, document: state.ConfigurationDocument) -> None:
        self._current = state.ActiveConfiguration(1, document, 0.0)

    def current(self) -> state.ActiveConfiguration:
        """Return the configuration."""
        return self._current

    def replace(self, document: state.ConfigurationDocument) -> None:
        """Put a document into effect under the next revision."""
        self._current = state.ActiveConfiguration(
            self._current.revision + 1, document, 0.0
        )

    def change_move(self, name: str, **fields: Any) -> None:
        """Change fields of one move."""
        document = self._current.document
        changed: list[state.Move] = []
        for move in document.moves:
            if move.name == name:
                move = dataclasses.replace(move, **fields)
            changed.append(move)
        self.replace(dataclasses.replace(document, moves=tuple(changed)))


class MemoryEngines:
    """Targets that obey load orders at once and record them."""

    def __init__(self) -> None:
        self.loaded: dict[state.TargetName, set[state.VersionName]] = {}
        self.orders: list[tuple[state.TargetName, ports.TargetCommand]] = []
        self.highest: dict[state.TargetName, int] = {}
        #: Targets that answer nothing.
        self.dead: set[state.TargetName] = set()
        #: Targets that take orders and never carry them out.
        self.stuck: set[state.TargetName] = set()

    def send_command(
        self,
        target: state.Target,
        order: ports.TargetCommand,
        timeout_s: float,
    ) -> Result[None, ports.StreamFault]:
        """Load a version; refuse an old number if the target checks it."""
        if target.name in self.dead:
            return Error(_UNREACHABLE)
        highest = self.highest.get(target.name, 0)
        if target.checks_fencing and order.fencing_number < highest:
            return Error(
                ports.StreamFault(ports.StreamFaultKind.REFUSED, 'old')
            )
        self.highest[target.name] = max(highest, order.fencing_number)
        self.orders.append((target.name, order))
        versions = self.loaded.setdefault(target.name, set())
        if target.name not in self.stuck:
            versions.add(state.VersionName(order.subject))
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
    """One instance of a world."""

    #: Its planned moves.
    part: moves.MoveCoordinator

    #: Its connection to the store.
    store: StoreLink

    #: Moves that it drives or tries to.
    sessions: dict[str, moves.LeasedMoveDriver]

    #: Whether its process is stopped for now.
    paused: bool = False

    #: Targets that it knows.
    listed: tuple[state.Target, ...] = ()

    #: Whether it learns of records by neither watch nor list.
    deaf: bool = False


@dataclasses.dataclass(frozen=True)
class MoveWorldShape:
    """Size of a world."""

    #: Entry instances.
    instance_count: int = 3

    #: Targets of the old version.
    target_count: int = 20

    #: Failure domains of the targets.
    failure_domain_count: int = 2

    #: Whether the targets check fencing numbers.
    checks_fencing: bool = True

    #: Time from the start of the move to its deadline.
    window_s: float = 45.0

    #: Size of the new version's weights.
    weights_bytes: int = 400_000_000

    #: Routes, each with a move of the same versions.
    routes: tuple[str, ...] = ('digest',)

    #: How moves are driven.
    settings: state.MoveSettings = dataclasses.field(
        default_factory=state.MoveSettings
    )


class MoveWorld:
    """Instances, store, targets and peers on one manual clock."""

    def __init__(
        self,
        shape: MoveWorldShape,
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
        self._listed_count = 0
        self._by_name = {target.name: target for target in self.targets}
        self.instances: dict[str, MoveInstance] = {}
        for index in range(shape.instance_count):
            self.start_instance(f'instance-{index}', judge)

    def start_instance(
        self, name: str, judge: moves.Judge | None = None
    ) -> MoveInstance:
        """Add one instance."""
        link = StoreLink(self.store, self.clock)
        part = moves.MoveCoordinator(
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
            ),
            judge,
        )
        part.directory.update(self.targets)
        self.instances[name] = MoveInstance(part, link, {})
        return self.instances[name]

    def kill(self, name: str) -> None:
        """End an instance without warning."""
        self.hub.leave(name)
        del self.instances[name]

    def pause(self, name: str) -> None:
        """Stop an instance for now; peers cannot reach it."""
        self.instances[name].paused = True
        for other in self.instances:
            if other != name:
                self.hub.cut(name, other)

    def resume(self, name: str) -> None:
        """Let a paused instance go on."""
        self.instances[name].paused = False
        self.hub.heal()

    def target(self, name: state.TargetName) -> state.Target | None:
        """Return a target by name."""
        return self._by_name.get(name)

    def tick(self, duration_s: float = 0.5) -> None:
        """Move the time on and let each instance make one round."""
        self.clock.advance(duration_s)
        for instance in list(self.instances.values()):
            if not instance.paused:
                self.round(instance)

    def round(self, instance: MoveInstance) -> None:
        """Do what the threads of one instance do in one interval."""
        part = instance.part
        if self._listed() is not instance.listed:
            instance.listed = self._listed_targets
            part.directory.update(instance.listed)
        if not instance.deaf:
            part.read_records()
        part.send_reports()
        for name in part.unleased_moves():
            if name not in instance.sessions:
                instance.sessions[name] = part.new_driver(name)
        for name, session in list(instance.sessions.items()):
            if session.step() in (
                moves.DriverState.WAITING,
                moves.DriverState.LOST,
                moves.DriverState.ENDED,
            ):
                del instance.sessions[name]

    def record(self, name: str = 'digest') -> state.MoveRecord | None:
        """Return the record of a move as the store holds it."""
        read = self.store.get(moves.record_key(name))
        if read.is_error():
            return None
        return self.codec.decode(read.ok.value).ok

    def driver(self, name: str = 'digest') -> str:
        """Return the holder of a move's lease."""
        record = self.record(name)
        return record.lease.holder if record else ''

    def _listed(self) -> tuple[state.Target, ...]:
        """Return the targets with the versions that they serve by now."""
        if self._listed_count != len(self.engines.orders):
            self._listed_count = len(self.engines.orders)
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


_UNREACHABLE = ports.StreamFault(ports.StreamFaultKind.UNREACHABLE, 'dead')

_UNAVAILABLE = state.StoreFault(state.StoreFaultKind.UNAVAILABLE, 'down')
