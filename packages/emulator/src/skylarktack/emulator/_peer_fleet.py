"""Fleet of processes that run only the membership part."""

import concurrent.futures
import threading
from types import TracebackType
from typing import Any
from typing import Self

from skylarktack import protocol
from skylarktack import state
from skylarktack import transport
from skylarktack.emulator import _process

#: Failure domains over which the processes are spread.
DOMAIN_COUNT = 4

#: Reports read at once.
READER_COUNT = 8


class PeerFleet:
    """Membership processes on loopback; a context manager that ends them."""

    def __init__(self) -> None:
        self.processes: dict[str, _process.EmulatedProcess] = {}
        self._spawned: list[_process.EmulatedProcess] = []
        self._readers = concurrent.futures.ThreadPoolExecutor(READER_COUNT)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for process in self._spawned:
            process.stop()
        for process in self._spawned:
            process.wait_stopped()
        self._readers.shutdown()

    def grow(self, count: int) -> None:
        """Start processes up to a number of running ones and list them."""
        started: list[_process.EmulatedProcess] = []
        for index in range(len(self.processes), count):
            name = f'entry-{index:03}'
            started.append(self._spawn(name, index))
        for process in started:
            process.wait_announced()
            self.processes[process.name] = process
        self.publish_list()

    def restart(self, name: str) -> None:
        """Start a killed process again under its old name."""
        process = self._spawn(name, int(name[-3:]))
        process.wait_announced()
        self.processes[name] = process
        self.publish_list()

    def publish_list(self) -> None:
        """Hand all processes the platform's list."""
        listed = protocol.encode_platform_list(
            state.PlatformList((), tuple(self._listed()))
        )

        def _hand(process: _process.EmulatedProcess) -> None:
            transport.http_call(
                process.address, 'POST', '/list', listed, {}, 5.0
            )

        list(self._readers.map(_hand, self.processes.values()))

    def kill(self, name: str) -> None:
        """End a process without warning; the list still names it."""
        self.processes.pop(name).kill()

    def reports(self) -> dict[str, dict[str, Any]]:
        """Return the report of each running process."""

        def _read(process: _process.EmulatedProcess) -> dict[str, Any]:
            report: dict[str, Any] = process.read_json('/report')
            return report

        names = list(self.processes)
        found = self._readers.map(_read, self.processes.values())
        return dict(zip(names, found, strict=True))

    def agrees(self) -> bool:
        """Return whether all know exactly the running processes."""
        names = sorted(self.processes)
        return all(
            report['live'] == names for report in self.reports().values()
        )

    def wait_agreed(self, limit_s: float = 60.0) -> None:
        """Wait until all know exactly the running processes.

        :raises RuntimeError: if they do not agree in time.
        """
        waiting = threading.Event()
        for _ in range(int(limit_s / 0.2)):
            if self.agrees():
                return
            waiting.wait(0.2)
        raise RuntimeError('The processes do not agree.')

    def _spawn(self, name: str, index: int) -> _process.EmulatedProcess:
        process = _process.EmulatedProcess(
            name,
            [
                'skylarktack.emulator',
                'peer',
                f'--name={name}',
                f'--domain=domain-{index % DOMAIN_COUNT}',
            ],
        )
        self._spawned.append(process)
        return process

    def _listed(self) -> list[state.ListedInstance]:
        listed: list[state.ListedInstance] = []
        for index, process in enumerate(self.processes.values()):
            listed.append(
                state.ListedInstance(
                    name=state.InstanceName(process.name),
                    peer_address=state.Address(
                        process.announced['host'],
                        process.announced['peer_port'],
                    ),
                    failure_domain=state.FailureDomain(
                        f'domain-{index % DOMAIN_COUNT}'
                    ),
                    region='region-1',
                )
            )
        return listed
