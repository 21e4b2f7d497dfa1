"""Probes other instances, directly and then through relay instances."""

import concurrent.futures
import random

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.membership import _health
from skylarktack.coordination.membership import _messages
from skylarktack.coordination.membership import _view

#: Elapsed time of a probe, in multiples of its timeout, beyond which this
#: instance must have been paused during the probe.
PAUSE_FACTOR = 2.0


class Prober:
    """Checks whether other instances respond.

    Used by one task at a time. A small thread pool sends the indirect probes
    in parallel, so that the delays of slow relay instances do not add up.
    """

    def __init__(
        self,
        settings: state.PeerSettings,
        network: ports.PeerNetwork,
        table: state.MemberTable,
        view: _view.MembershipView,
        health: _health.LocalHealth,
        clock: ports.Clock,
        generator: random.Random,
    ) -> None:
        self._settings = settings
        self._network = network
        self._table = table
        self._view = view
        self._health = health
        self._clock = clock
        self._random = generator
        self._probe_order: list[state.InstanceName] = []
        self._relay_pool = concurrent.futures.ThreadPoolExecutor(
            max(1, settings.helper_count), thread_name_prefix='probe-helper'
        )
        network.register_handler(_messages.Probe, self._handle_probe)
        network.register_handler(
            _messages.IndirectProbe, self._handle_indirect_probe
        )

    def next_target(self) -> state.InstanceName | None:
        """Return the next live instance of a shuffled round."""
        live = {member.name for member in self._table.live()}
        live.discard(self._table.own.name)
        while self._probe_order:
            name = self._probe_order.pop()
            if name in live:
                return name
        self._probe_order = sorted(live)
        self._random.shuffle(self._probe_order)
        return self._probe_order.pop() if self._probe_order else None

    def probe(self, name: state.InstanceName) -> bool:
        """Probe one instance; mark it as suspect if it cannot be reached."""
        timeout_s = self._settings.probe_timeout_ms / 1000
        timeout_s *= self._health.factor
        started_s = self._clock.monotonic_s()
        if self._probe_directly(name, timeout_s):
            self._health.improve()
            return True
        relay_results = self._probe_indirectly(name, timeout_s)
        if True in relay_results:
            return True
        elapsed_s = self._clock.monotonic_s() - started_s
        if self._settings.guards_pauses:
            if elapsed_s > timeout_s * 3 * PAUSE_FACTOR:
                # This instance was paused; responses may have come in time.
                self._health.worsen(2)
                return False
        if not relay_results and len(self._table.live()) > 2:
            # No relay instance answered either: the failure may be local.
            self._health.worsen()
        self._view.suspect(name)
        return False

    def stop(self) -> None:
        """Shut the thread pool down without waiting for its probes."""
        self._relay_pool.shutdown(wait=False, cancel_futures=True)

    def _probe_directly(
        self, name: state.InstanceName, timeout_s: float
    ) -> bool:
        known = self._table.get(name)
        updates = list(self._view.next_updates())
        if known is not None and known.state != state.MemberState.ALIVE:
            # Only the instance itself can refute the suspicion.
            updates.insert(0, known)
        result = self._network.request(
            name, _messages.Probe(self._table.own, tuple(updates)), timeout_s
        )
        if result.is_error():
            return False
        response = result.ok
        if not isinstance(response, _messages.ProbeResponse):
            return False
        self._view.apply((response.sender, *response.news), name)
        return response.sender.name == name

    def _probe_indirectly(
        self, name: state.InstanceName, timeout_s: float
    ) -> list[bool]:
        """Return whether the target was reached, for each relay response."""
        own_name = self._table.own.name
        candidates: list[state.InstanceName] = []
        for member in self._table.live():
            if member.name in (own_name, name):
                continue
            if member.state == state.MemberState.ALIVE:
                candidates.append(member.name)
        count = min(self._settings.helper_count, len(candidates))
        known = self._table.get(name)
        indirect_probe = _messages.IndirectProbe(
            name,
            int(timeout_s * 1000),
            0 if known is None else known.incarnation,
        )
        pending = [
            (
                relay,
                self._relay_pool.submit(
                    self._network.request, relay, indirect_probe, timeout_s * 2
                ),
            )
            for relay in self._random.sample(candidates, count)
        ]
        results: list[bool] = []
        for relay, future in pending:
            result = future.result()
            if result.is_error():
                continue
            if isinstance(result.ok, _messages.IndirectProbeResponse):
                self._view.apply(result.ok.news, relay)
                results.append(result.ok.reached)
        return results

    def _handle_probe(
        self, peer: state.InstanceName, message: _messages.Probe
    ) -> _messages.ProbeResponse:
        self._view.apply((message.sender, *message.news), peer)
        updates = list(self._view.next_updates())
        known = self._table.get(peer)
        if known is not None and known.state != state.MemberState.ALIVE:
            updates.insert(0, known)
        return _messages.ProbeResponse(self._table.own, tuple(updates))

    def _handle_indirect_probe(
        self, peer: state.InstanceName, message: _messages.IndirectProbe
    ) -> _messages.IndirectProbeResponse:
        reached = False
        # A process that is ending may accept a probe and never answer it, so
        # an instance that is known to have left is not probed.
        if not self._leave_update(message):
            reached = self._probe_directly(
                message.target, message.timeout_ms / 1000
            )
        # The leave announcement may arrive during the probe.
        return _messages.IndirectProbeResponse(
            reached, self._leave_update(message)
        )

    def _leave_update(
        self, message: _messages.IndirectProbe
    ) -> tuple[state.Member, ...]:
        """Return the target's entry if it left in the given incarnation.

        An earlier release sends incarnation 0 and may have an entry of a
        later start; the result is then empty.
        """
        known = self._table.get(message.target)
        if known is None or known.state != state.MemberState.LEAVING:
            return ()
        if 0 < message.incarnation <= known.incarnation:
            return (known,)
        return ()
