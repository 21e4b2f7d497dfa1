"""Probes of other instances, direct ones first, then by helpers."""

import concurrent.futures
import random

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.membership import _health
from skylarktack.coordination.membership import _messages
from skylarktack.coordination.membership import _view

#: Elapsed time, in multiples of the time limit, that shows that this
#: instance was paused during a probe.
PAUSE_FACTOR = 2.0


class Prober:
    """Finds out whether instances answer.

    One task uses it at a time; helpers are asked by a small pool, all at
    once, so that slow helpers do not add up.
    """

    def __init__(
        self,
        settings: state.PeerSettings,
        network: ports.PeerNetwork,
        table: state.MemberTable,
        beliefs: _view.Beliefs,
        health: _health.LocalHealth,
        clock: ports.Clock,
        generator: random.Random,
    ) -> None:
        self._settings = settings
        self._network = network
        self._table = table
        self._beliefs = beliefs
        self._health = health
        self._clock = clock
        self._random = generator
        self._order: list[state.InstanceName] = []
        self._helpers = concurrent.futures.ThreadPoolExecutor(
            max(1, settings.helper_count), thread_name_prefix='probe-helper'
        )
        network.register_handler(_messages.Probe, self._answer_probe)
        network.register_handler(_messages.IndirectProbe, self._answer_relay)

    def next_target(self) -> state.InstanceName | None:
        """Return the next instance of a shuffled round through all."""
        live = {member.name for member in self._table.live()}
        live.discard(self._table.own.name)
        while self._order:
            name = self._order.pop()
            if name in live:
                return name
        self._order = sorted(live)
        self._random.shuffle(self._order)
        return self._order.pop() if self._order else None

    def probe(self, name: state.InstanceName) -> bool:
        """Probe one instance; suspect it if nobody reaches it."""
        timeout_s = self._settings.probe_timeout_ms / 1000
        timeout_s *= self._health.factor
        started_s = self._clock.monotonic_s()
        if self._reach(name, timeout_s):
            self._health.improve()
            return True
        answers = self._ask_helpers(name, timeout_s)
        if True in answers:
            return True
        elapsed_s = self._clock.monotonic_s() - started_s
        if self._settings.guards_pauses:
            if elapsed_s > timeout_s * 3 * PAUSE_FACTOR:
                # This instance was paused: the answers may have come in time.
                self._health.worsen(2)
                return False
        if not answers and len(self._table.live()) > 2:
            # No helper answered either, so the fault may be here.
            self._health.worsen()
        self._beliefs.suspect(name)
        return False

    def stop(self) -> None:
        """End the pool."""
        self._helpers.shutdown(wait=False, cancel_futures=True)

    def _reach(self, name: state.InstanceName, timeout_s: float) -> bool:
        believed = self._table.get(name)
        news = list(self._beliefs.piggybacked())
        if believed is not None and believed.state != state.MemberState.ALIVE:
            # The instance itself is the one that can refute it.
            news.insert(0, believed)
        answered = self._network.request(
            name, _messages.Probe(self._table.own, tuple(news)), timeout_s
        )
        if answered.is_error():
            return False
        probed = answered.ok
        if not isinstance(probed, _messages.ProbeResponse):
            return False
        self._beliefs.take((probed.sender, *probed.news), name)
        return probed.sender.name == name

    def _ask_helpers(
        self, name: state.InstanceName, timeout_s: float
    ) -> list[bool]:
        """Return the findings of the helpers that answered."""
        own_name = self._table.own.name
        candidates: list[state.InstanceName] = []
        for member in self._table.live():
            if member.name in (own_name, name):
                continue
            if member.state == state.MemberState.ALIVE:
                candidates.append(member.name)
        count = min(self._settings.helper_count, len(candidates))
        believed = self._table.get(name)
        order = _messages.IndirectProbe(
            name,
            int(timeout_s * 1000),
            0 if believed is None else believed.incarnation,
        )
        asked = [
            (
                helper,
                self._helpers.submit(
                    self._network.request, helper, order, timeout_s * 2
                ),
            )
            for helper in self._random.sample(candidates, count)
        ]
        findings: list[bool] = []
        for helper, future in asked:
            answered = future.result()
            if answered.is_error():
                continue
            if isinstance(answered.ok, _messages.IndirectProbeResponse):
                self._beliefs.take(answered.ok.news, helper)
                findings.append(answered.ok.reached)
        return findings

    def _answer_probe(
        self, peer: state.InstanceName, message: _messages.Probe
    ) -> _messages.ProbeResponse:
        self._beliefs.take((message.sender, *message.news), peer)
        news = list(self._beliefs.piggybacked())
        believed = self._table.get(peer)
        if believed is not None and believed.state != state.MemberState.ALIVE:
            news.insert(0, believed)
        return _messages.ProbeResponse(self._table.own, tuple(news))

    def _answer_relay(
        self, peer: state.InstanceName, message: _messages.IndirectProbe
    ) -> _messages.IndirectProbeResponse:
        reached = False
        # A process that ends may accept a probe and not answer it, so one
        # that is known to have left is not probed.
        if not self._farewell(message):
            reached = self._reach(message.target, message.timeout_ms / 1000)
        # The stop may become known while the probe is under way.
        return _messages.IndirectProbeResponse(
            reached, self._farewell(message)
        )

    def _farewell(
        self, message: _messages.IndirectProbe
    ) -> tuple[state.Member, ...]:
        """Return the target if it left in the incarnation that is asked for.

        Askers of an earlier release send 0 and may know a later start.
        """
        believed = self._table.get(message.target)
        if believed is None or believed.state != state.MemberState.LEAVING:
            return ()
        if 0 < message.incarnation <= believed.incarnation:
            return (believed,)
        return ()
