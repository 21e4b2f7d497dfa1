"""A deployment of real instances over the stand-ins."""

import json
import os
import pathlib
import queue
import signal
import subprocess
import sys
import tempfile
import threading
import time
from types import TracebackType
from typing import Any

from skylarktack import state
from skylarktack.emulator.platform import _manifest
from skylarktack.emulator.platform import _proxy
from skylarktack.emulator.platform import _reserved_ports
from skylarktack.emulator.platform import _store
from skylarktack.emulator.platform import _target
from skylarktack.platform import PATH_VARIABLE

#: Module that runs an instance.
INSTANCE_MODULE = 'skylarktack.daemon.forwarding'

#: Flags with which Python finds no installed packages but those in
#: PYTHONPATH.
ISOLATING_FLAGS = ('-S', '-s')

#: Longest wait for a process to start, to be ready or to end.
PATIENCE_S = 60.0

#: Newest lines of the log that a failed wait shows.
SHOWN_LINE_COUNT = 30

#: Retries for a service in a window, beyond the ratio to its requests.
RETRY_ALLOWANCE_COUNT = 150

DOMAINS = ('domain-a', 'domain-b', 'domain-c')


class PlatformInstance:
    """One instance in a process of its own."""

    def __init__(
        self,
        name: str,
        domain: str,
        folder: pathlib.Path,
        store: str,
        tree: pathlib.Path | None = None,
        retry_allowance_count: int = RETRY_ALLOWANCE_COUNT,
    ) -> None:
        """Prepare an instance; it is not started.

        :param tree: folder from which the instance imports everything but
            the standard library, or None for the environment of the tests.
        :param retry_allowance_count: retries in a window beyond the ratio.
        """
        self._retry_allowance_count = retry_allowance_count
        self.name = name
        self._tree = tree
        self._domain = domain
        self._path = folder / f'{name}.conf'
        self._store = store
        self._ports = {
            listener: _reserved_ports.ReservedPort()
            for listener in ('front', 'ready', 'peer')
        }
        self.lines: list[dict[str, Any]] = []
        self._started: queue.Queue[dict[str, Any]] = queue.Queue()
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def address(self) -> state.Address:
        """Return where callers connect."""
        return state.Address('127.0.0.1', self._ports['front'].number)

    @property
    def ready_address(self) -> state.Address:
        """Return where the balancer asks."""
        return state.Address('127.0.0.1', self._ports['ready'].number)

    @property
    def settings_path(self) -> str:
        """Return the path of the settings file."""
        return str(self._path)

    def peak_memory_kb(self) -> int:
        """Return the largest resident memory that the process has had."""
        assert self.process is not None
        status = pathlib.Path(f'/proc/{self.process.pid}/status')
        for line in status.read_text(encoding='ascii').splitlines():
            if line.startswith('VmHWM:'):
                return int(line.split()[1])
        raise OSError('the kernel tells no peak of the memory')

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Start the process and wait until it listens."""
        self._path.write_text(self._settings(), encoding='utf-8')
        self.process = subprocess.Popen(
            self._command(),
            stdout=subprocess.PIPE,
            env=self._environment(),
        )
        threading.Thread(
            target=self._read_log, args=(self.process,), daemon=True
        ).start()
        self._started.get(timeout=PATIENCE_S)

    def _command(self) -> list[str]:
        if self._tree is None:
            return [sys.executable, '-m', INSTANCE_MODULE]
        return [sys.executable, *ISOLATING_FLAGS, '-m', INSTANCE_MODULE]

    def _environment(self) -> dict[str, str]:
        environment = dict(os.environ)
        environment[PATH_VARIABLE] = str(self._path)
        if self._tree is not None:
            environment['PYTHONPATH'] = str(self._tree)
        return environment

    def signal(self, number: int) -> None:
        """Send a signal if the process runs."""
        if self.process is not None and self.is_running:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)
        self.wait_ended()

    def close(self) -> None:
        """End the process and let others have its ports."""
        self.kill()
        for port in self._ports.values():
            port.release()

    def wait_ended(self) -> None:
        """Wait for the end of the process."""
        if self.process is not None:
            self.process.wait(PATIENCE_S)

    def wait_for_line(self, part: str, event: str, **fields: Any) -> None:
        """Wait until the instance has written a line with the fields."""
        end_s = time.monotonic() + PATIENCE_S
        while time.monotonic() < end_s:
            for line in list(self.lines):
                if line['part'] != part or line['event'] != event:
                    continue
                if fields.items() <= line.items():
                    return
            time.sleep(0.02)
        newest = '\n'.join(
            str(line) for line in self.lines[-SHOWN_LINE_COUNT:]
        )
        raise TimeoutError(
            f'{self.name} wrote no line {part}: {event}; newest:\n{newest}'
        )

    def _read_log(self, process: subprocess.Popen[bytes]) -> None:
        if process.stdout is None:
            raise AssertionError('the log is read through a pipe')
        for text in process.stdout:
            line = json.loads(text)
            self.lines.append(line)
            if line['part'] == 'instance' and line['event'] == 'started':
                self._started.put(line)

    def _settings(self) -> str:
        ports = {name: port.number for name, port in self._ports.items()}
        return '\n'.join(
            (
                f'node_name={self.name}',
                'ip_address=127.0.0.1',
                f'availability_zone={self._domain}',
                f'listen_addresses.frontend=127.0.0.1:{ports["front"]}',
                f'listen_addresses.ready=127.0.0.1:{ports["ready"]}',
                f'internal_port_range={ports["peer"]},0',
                'limits.file_descriptors=4100',
                'limits.memory_limit_mb=300',
                'bounds.grace_period_s=8',
                'bounds.config_apply_ms=2000',
                'bounds.retry_budget_ratio=0.8',
                'bounds.budget_window_s=10',
                f'bounds.retry_budget_extra={self._retry_allowance_count}',
                'contracts=base,rollout,platform',
                'bounds.exposure_fraction=0.1',
                'bounds.exposure_tolerance=50',
                f'platform.address={self._store}',
                '',
            )
        )


def address_in_line(text: bytes) -> state.Address:
    """Return where callers connect, from the last line of a log."""
    started = json.loads(text.splitlines()[-1])
    return state.Address('127.0.0.1', _port_of(started, 'front'))


def _port_of(started: dict[str, Any], name: str) -> int:
    return int(str(started[name]).rpartition(':')[2])


class PlatformDeployment:
    """Store, targets and instances, all on the loopback address."""

    def __init__(
        self,
        instance_count: int = 2,
        engine_count: int = 3,
        service_count: int = 2,
        has_proxies: bool = False,
        tree: pathlib.Path | None = None,
        retry_allowance_count: int = RETRY_ALLOWANCE_COUNT,
    ) -> None:
        """Create store, targets and instances.

        :param tree: folder from which the instances import everything but
            the standard library, or None for the environment of the tests.
        :param retry_allowance_count: retries in a window beyond the ratio.
        """
        self._folder = tempfile.TemporaryDirectory()
        self.store = _store.PlatformStore()
        self.copies: dict[str, set[str]] = {}
        self.proxies: dict[str, _proxy.FaultProxy] = {}
        self.engines = self._targets('pool', engine_count, has_proxies)
        self.services = self._targets('desk', service_count, has_proxies)
        self.version = 1
        self.store_proxies: list[_proxy.FaultProxy] = []
        self.instances = []
        for number in range(instance_count):
            address = self.store.address
            if has_proxies:
                proxy = _proxy.FaultProxy(address)
                self.store_proxies.append(proxy)
                address = proxy.address
            self.instances.append(
                PlatformInstance(
                    f'instance-{number}',
                    DOMAINS[number % len(DOMAINS)],
                    pathlib.Path(self._folder.name),
                    str(address),
                    tree,
                    retry_allowance_count,
                )
            )

    def __enter__(self) -> 'PlatformDeployment':
        self.apply(_manifest.manifest(self.version))
        for target in self.engines + self.services:
            self.enter(target)
        try:
            for instance in self.instances:
                instance.start()
            for instance in self.instances:
                self.wait_serving(instance)
        except BaseException:
            # A process that is left would call ports that others use next.
            self.close()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """End all processes and stand-ins."""
        for instance in self.instances:
            instance.close()
        for target in self.engines + self.services:
            target.crash()
        for proxy in (*self.proxies.values(), *self.store_proxies):
            proxy.close()
        self.store.close()
        self._folder.cleanup()

    def apply(self, manifest: dict[str, Any]) -> None:
        """Write a manifest to the store."""
        self.version = manifest['version']
        self.store.put('config', 'main', manifest)

    def enter(self, target: _target.PlatformTarget) -> None:
        """Write the entry of a target to the store."""
        proxy = self.proxies.get(str(target.address))
        address = None if proxy is None else proxy.address
        self.store.put('servers', target.name, target.entry(address))

    def crash(self, target: _target.PlatformTarget) -> None:
        """Crash a target and remove its entry."""
        name = target.name
        target.crash()
        self.store.remove('servers', name)

    def restart(self, target: _target.PlatformTarget) -> None:
        """Start a crashed target under a new name."""
        target.start()
        self.enter(target)

    def order_move(
        self, service: str, version: str, duration_s: float
    ) -> None:
        """Order that a service's traffic moves to a version."""
        self.store.put(
            'rollouts',
            service,
            {'service': service, 'target': version, 'duration_s': duration_s},
        )

    def has_move_ended(self, service: str) -> bool:
        """Return whether the newest order for a service has its verdict.

        A new order keeps the status of the one before it.
        """
        order = self.store.specification_of('rollouts', service)
        status = self.store.status_of('rollouts', service)
        if order is None or status is None:
            return False
        if status['target'] != order['target']:
            return False
        return bool(status['state'] != 'in_progress')

    def add_service_target(
        self, version: str, is_bad: bool = False
    ) -> _target.PlatformTarget:
        """Start a target of another version beside the others.

        :param is_bad: whether each of its runs fails.
        """
        target = self._add_target('desk', self.services, version)
        target.has_bad_version = is_bad
        return target

    def add_engine(self, version: str) -> _target.PlatformTarget:
        """Start an engine of another version beside the others."""
        return self._add_target('pool', self.engines, version)

    def wait_serving(self, instance: PlatformInstance) -> None:
        """Wait until an instance knows configuration and targets."""
        instance.wait_for_line('configuration', 'configuration applied')
        for target in self.engines + self.services:
            if target.is_running:
                instance.wait_for_line(
                    'target', 'target added', target=target.name
                )

    def runs(self) -> list[_target.Run]:
        """Return all runs at all targets."""
        runs = []
        for target in self.engines + self.services:
            with target.lock:
                runs.extend(target.runs)
        return runs

    def _add_target(
        self,
        service: str,
        others: list[_target.PlatformTarget],
        version: str,
    ) -> _target.PlatformTarget:
        domain = DOMAINS[len(others) % len(DOMAINS)]
        target = _target.PlatformTarget(service, domain, self.copies, version)
        others.append(target)
        self.enter(target)
        return target

    def _targets(
        self, service: str, count: int, has_proxies: bool
    ) -> list[_target.PlatformTarget]:
        targets = []
        for number in range(count):
            domain = DOMAINS[number % len(DOMAINS)]
            target = _target.PlatformTarget(service, domain, self.copies)
            targets.append(target)
            if has_proxies:
                proxy = _proxy.FaultProxy(target.address)
                self.proxies[str(target.address)] = proxy
                # Copies are found under the address that callers use.
                self.copies[str(proxy.address)] = self.copies[
                    str(target.address)
                ]
        return targets
