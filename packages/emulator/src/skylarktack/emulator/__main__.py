"""Starts one stand-in: ``python -m skylarktack.emulator KIND``."""

import threading

import fire

from skylarktack import state
from skylarktack.emulator import _engine
from skylarktack.emulator import _engine_model
from skylarktack.emulator import _http_stand_in
from skylarktack.emulator import _object_api
from skylarktack.emulator import _peer_process
from skylarktack.emulator import _service


class StandIns:
    """Small replacements for the systems around skylarktack."""

    def engine(
        self,
        name: str = 'engine',
        host: str = '127.0.0.1',
        port: int = 0,
        step_ms: float = 20.0,
        slot_count: int = 32,
        versions: str = 'v1',
        checks_fencing: bool = False,
        report_lag_ms: int = 500,
        load_ms: int = 0,
    ) -> None:
        """Run a model engine."""
        shape = _engine_model.EngineShape(
            name=name,
            step_ms=step_ms,
            slot_count=slot_count,
            versions=tuple(versions.split('+')),
            checks_fencing=checks_fencing,
            report_lag_ms=report_lag_ms,
            load_ms=load_ms,
        )
        _run(_engine.EngineServer(state.Address(host, port), shape), name)

    def service(
        self, name: str = 'service', host: str = '127.0.0.1', port: int = 0
    ) -> None:
        """Run a plain service."""
        _run(_service.ServiceServer(state.Address(host, port)), name)

    def object_api(
        self, name: str = 'object-api', host: str = '127.0.0.1', port: int = 0
    ) -> None:
        """Run the platform's object API."""
        _run(_object_api.ObjectApiServer(state.Address(host, port)), name)

    def peer(self, name: str = 'entry-0', domain: str = 'domain-0') -> None:
        """Run the membership part of an entry instance alone."""
        _peer_process.run(name, domain)


def _run(server: _http_stand_in.StandInServer, name: str) -> None:
    _http_stand_in.serve_stand_in(server, name, announce=True)
    try:
        threading.Event().wait()
    except KeyboardInterrupt:
        server.shutdown()


if __name__ == '__main__':
    fire.Fire(StandIns)
