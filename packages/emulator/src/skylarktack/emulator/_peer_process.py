"""Process that runs only the membership part of an entry instance."""

import json
import sys
import threading
import time

from skylarktack import daemon
from skylarktack import protocol
from skylarktack import state
from skylarktack import transport
from skylarktack.coordination import fakes
from skylarktack.coordination import ports
from skylarktack.emulator import _deployment
from skylarktack.emulator import _http_stand_in

#: Longest wait for a signal; the main thread waits again after it.
SIGNAL_CHECK_S = 60.0


class _TimedMetrics(fakes.MemoryMetrics):
    """Counters with the time at which each was raised last."""

    def __init__(self) -> None:
        super().__init__()
        self.last_s: dict[str, float] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Raise a counter."""
        super().count(name, amount)
        self.last_s[name] = time.monotonic()


class PeerControlServer(_http_stand_in.StandInServer):
    """Takes the platform's list and reports on the membership."""

    def __init__(self, peers: daemon.Peers, metrics: _TimedMetrics) -> None:
        self.peers = peers
        self.metrics = metrics
        super().__init__(('127.0.0.1', 0), _Handler)


class _Handler(_http_stand_in.StandInHandler):
    server: PeerControlServer

    def do_GET(self) -> None:
        metrics = self.server.metrics
        self.answer_json(
            200,
            {
                'live': [
                    member.name
                    for member in self.server.peers.network.members()
                ],
                'neighbours': self.server.peers.network.neighbours(),
                'counts': dict(metrics.counts),
                'last_s': dict(metrics.last_s),
                'thread_count': threading.active_count(),
            },
        )

    def do_POST(self) -> None:
        listed = protocol.decode_platform_list(self.body())
        self.server.peers.membership.apply_platform_list(listed.instances)
        self.answer()


def run(name: str, domain: str) -> None:
    """Run until the process is told to stop."""
    transport.configure_logs()
    anywhere = state.Address('127.0.0.1', 0)
    settings = state.InstanceSettings(
        name=state.InstanceName(name),
        failure_domain=state.FailureDomain(domain),
        region='region-1',
        listen=anywhere,
        operator_listen=anywhere,
        secret=_deployment.SECRET,
        operator_token_sha256='',
        store=state.StoreSettings(anywhere),
        peer=state.PeerSettings(anywhere),
    )
    metrics = _TimedMetrics()
    peers = daemon.Peers(
        settings,
        ports.SystemClock(),
        metrics,
        fakes.DirectTaskRunner(),
    )
    control = PeerControlServer(peers, metrics)
    signals = daemon.ProcessSignals()
    signals.install(daemon.STOP_SIGNALS)
    peers.start()
    _http_stand_in.serve_stand_in(control, name, announce=False)
    host, port = control.server_address[:2]
    print(
        json.dumps(
            {
                'name': name,
                'host': host,
                'port': port,
                'peer_port': peers.address.port,
            }
        ),
        flush=True,
    )
    while not signals.wait(SIGNAL_CHECK_S):
        continue
    peers.leave()
    peers.stop()
    sys.exit(0)
