"""Starts a small deployment of real processes on loopback addresses."""

import dataclasses
import hashlib
import json
import pathlib
import tempfile
import time
from types import TracebackType
from typing import Any
from typing import Self

from skylarktack import protocol
from skylarktack import state
from skylarktack import transport
from skylarktack.emulator import _process

#: Shared secret of deployments that this module starts.
SECRET = 'secret of the emulated deployment'

#: Operators' token of deployments that this module starts.
OPERATOR_TOKEN = 'operator token of the emulated deployment'


def organisation_key(name: str) -> str:
    """Return the key that callers of an emulated organisation use."""
    return f'key of {name}'


def key_hash(key: str) -> str:
    """Return the form in which a document holds a key."""
    return hashlib.sha256(key.encode()).hexdigest()


@dataclasses.dataclass(frozen=True)
class DeploymentShape:
    """Size of an emulated deployment."""

    #: Entry instances.
    instance_count: int = 3

    #: Model engines.
    engine_count: int = 4

    #: Plain service replicas.
    service_count: int = 1

    #: Failure domains over which targets and instances are spread.
    failure_domain_count: int = 2

    #: Time of one step of an engine.
    step_ms: float = 20.0

    #: Slots of an engine.
    slot_count: int = 32

    #: Versions that engines serve at the start, joined by ``+``.
    engine_versions: str = 'model-1'

    #: Time that an engine takes to load a version.
    engine_load_ms: int = 0

    #: Settings that replace the defaults of instances, as plain JSON.
    overrides: dict[str, Any] = dataclasses.field(default_factory=dict)


def default_document() -> state.ConfigurationDocument:
    """Return a document with two organisations and three routes."""
    organisations: list[state.Organisation] = []
    for name in ('large', 'small'):
        organisations.append(
            state.Organisation(
                name=state.OrganisationName(name),
                key_sha256=(key_hash(organisation_key(name)),),
            )
        )
    return state.ConfigurationDocument(
        organisations=tuple(organisations),
        routes=(
            state.Route(
                name=state.RouteName('digest'),
                kind=state.RouteKind.GENERATION,
                version=state.VersionName('model-1'),
            ),
            state.Route(
                name=state.RouteName('stock'),
                kind=state.RouteKind.SERVICE,
                version=state.VersionName('desk-1'),
            ),
            state.Route(
                name=state.RouteName('shipment'),
                kind=state.RouteKind.SERVICE,
                version=state.VersionName('desk-1'),
                repeatable=False,
            ),
        ),
        versions=(
            state.Version(
                name=state.VersionName('model-1'),
                kind=state.RouteKind.GENERATION,
                weights='model-1',
            ),
            state.Version(
                name=state.VersionName('desk-1'),
                kind=state.RouteKind.SERVICE,
            ),
        ),
    )


class Deployment:
    """Stand-ins and entry instances; a context manager that ends them."""

    def __init__(
        self,
        shape: DeploymentShape,
        document: state.ConfigurationDocument | None = None,
    ) -> None:
        self.shape = shape
        self.document = document or default_document()
        self.engines: list[_process.EmulatedProcess] = []
        self.services: list[_process.EmulatedProcess] = []
        self.instances: list[_process.EmulatedProcess] = []
        self.leaving: set[str] = set()
        self.lists_loads = False
        #: Addresses listed instead of those of processes, for cut links.
        self.links: dict[str, state.Address] = {}
        self._folder = tempfile.TemporaryDirectory(prefix='skylarktack-')

    def __enter__(self) -> Self:
        try:
            self._start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.stop()

    def stop(self) -> None:
        """End all processes."""
        groups = [self.instances, self.engines, self.services]
        if hasattr(self, 'object_api'):
            groups.append([self.object_api])
        for group in groups:
            for process in group:
                process.stop()
            for process in group:
                process.wait_stopped()
        self._folder.cleanup()

    def start_instance(self, index: int) -> _process.EmulatedProcess:
        """Start one more entry instance and enter it in the list."""
        process = self._spawn_instance(index)
        process.wait_announced()
        self.instances.append(process)
        self.publish_list()
        return process

    def start_engine(self, index: int) -> _process.EmulatedProcess:
        """Start one more engine; the list must be published after it."""
        process = self._spawn_engine(index, 0)
        self.engines.append(process)
        return process

    def restart_engine(self, index: int) -> None:
        """Kill an engine and start it again under the same address."""
        before = self.engines[index]
        before.kill()
        process = self._spawn_engine(index, before.announced['port'])
        process.wait_announced()
        self.engines[index] = process

    def _spawn_engine(self, index: int, port: int) -> _process.EmulatedProcess:
        return _process.EmulatedProcess(
            f'engine-{index}',
            [
                'skylarktack.emulator',
                'engine',
                f'--name=engine-{index}',
                f'--port={port}',
                f'--step_ms={self.shape.step_ms}',
                f'--slot_count={self.shape.slot_count}',
                f'--versions={self.shape.engine_versions}',
                f'--load_ms={self.shape.engine_load_ms}',
            ],
        )

    def publish_list(self) -> None:
        """Enter all running processes in the platform's list."""
        targets: list[state.Target] = []
        for index, process in enumerate(self.engines):
            targets.append(
                self._target(
                    process,
                    index,
                    state.TargetKind.ENGINE,
                    self._engine_versions(process),
                )
            )
        for index, process in enumerate(self.services):
            targets.append(
                self._target(
                    process,
                    index,
                    state.TargetKind.SERVICE,
                    (state.VersionName('desk-1'),),
                )
            )
        instances: list[state.ListedInstance] = []
        for index, process in enumerate(self.instances):
            instances.append(
                state.ListedInstance(
                    name=state.InstanceName(process.name),
                    peer_address=state.Address(
                        process.announced['host'],
                        process.announced['peer_port'],
                    ),
                    failure_domain=self._domain(index),
                    region='region-1',
                )
            )
        listed = state.PlatformList(tuple(targets), tuple(instances))
        transport.http_call(
            self.object_api.address,
            'POST',
            '/control/instances',
            protocol.encode_platform_list(listed),
            {},
            5.0,
        )

    def _start(self) -> None:
        self.object_api = _process.EmulatedProcess(
            'object-api', ['skylarktack.emulator', 'object_api']
        )
        for index in range(self.shape.engine_count):
            self.start_engine(index)
        for index in range(self.shape.service_count):
            name = f'service-{index}'
            self.services.append(
                _process.EmulatedProcess(
                    name, ['skylarktack.emulator', 'service', f'--name={name}']
                )
            )
        for process in [self.object_api, *self.engines, *self.services]:
            process.wait_announced()
        self._store_document()
        for index in range(self.shape.instance_count):
            self.instances.append(self._spawn_instance(index))
        for process in self.instances:
            process.wait_announced()
        self.publish_list()
        for process in self.instances:
            _process.wait_ready(process)

    def _store_document(self) -> None:
        record = state.ConfigurationRecord(
            revision=1,
            document=self.document,
            author='emulator',
            accepted_s=time.time(),
            change_id='emulator',
        )
        transport.http_call(
            self.object_api.address,
            'PUT',
            '/objects/configuration/current',
            protocol.JsonConfigurationCodec().encode(record),
            {},
            5.0,
        )

    def _spawn_instance(self, index: int) -> _process.EmulatedProcess:
        name = f'instance-{index}'
        path = pathlib.Path(self._folder.name) / f'{name}.json'
        path.write_text(json.dumps(self._settings(name, index)))
        return _process.EmulatedProcess(
            name, ['skylarktack.daemon', f'--settings={path}']
        )

    def _settings(self, name: str, index: int) -> dict[str, Any]:
        anywhere = {'host': '127.0.0.1', 'port': 0}
        store = self.object_api.address
        settings: dict[str, Any] = {
            'name': name,
            'failure_domain': self._domain(index),
            'region': 'region-1',
            'listen': anywhere,
            'operator_listen': anywhere,
            'secret': SECRET,
            'operator_token_sha256': key_hash(OPERATOR_TOKEN),
            'store': {'address': {'host': store.host, 'port': store.port}},
            'peer': {'listen': anywhere},
            # No load balancer checks these instances.
            'stop': {'accept_ms': 0},
        }
        for field, value in self.shape.overrides.items():
            if isinstance(value, dict):
                settings[field] = {**settings.get(field, {}), **value}
                continue
            settings[field] = value
        return settings

    def _engine_versions(
        self, process: _process.EmulatedProcess
    ) -> tuple[state.VersionName, ...]:
        """Return what an engine serves, loads ordered since included."""
        if self.lists_loads and process.is_running:
            return tuple(process.read_json('/v1/load')['versions'])
        return tuple(
            state.VersionName(name)
            for name in self.shape.engine_versions.split('+')
        )

    def _domain(self, index: int) -> state.FailureDomain:
        return state.FailureDomain(
            f'domain-{index % self.shape.failure_domain_count}'
        )

    def _target(
        self,
        process: _process.EmulatedProcess,
        index: int,
        kind: state.TargetKind,
        versions: tuple[state.VersionName, ...],
    ) -> state.Target:
        return state.Target(
            name=state.TargetName(process.name),
            kind=kind,
            address=self.links.get(process.name, process.address),
            failure_domain=self._domain(index),
            region='region-1',
            versions=versions,
            leaving=process.name in self.leaving,
        )
