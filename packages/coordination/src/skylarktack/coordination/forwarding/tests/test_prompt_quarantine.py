"""Prompt parts that are quarantined, and what instances share of them."""

import dataclasses

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding import _fleet_ports
from skylarktack.coordination.forwarding import _prompt_evidence_log
from skylarktack.coordination.forwarding import _quarantine_records
from skylarktack.coordination.forwarding import _quarantine_table
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data

COMMON = 'common'
CRASHING = ('common', 'crashing')
WORKING = ('common', 'sound')

SETTINGS = forwarding.QuarantineSettings()


class _Fleet:
    """Counts reports; the rank of the instance is set by the test."""

    def __init__(self) -> None:
        self.own_rank = 0
        self.report_count = 0

    def set_prompt_exchange(
        self, exchange: _fleet_ports.PromptEvidenceExchange
    ) -> None:
        """Do nothing: the test passes reports on by itself."""

    def report_prompt_evidence(self) -> None:
        """Count the report."""
        self.report_count += 1

    def rank(self) -> int:
        """Return the rank set by the test."""
        return self.own_rank


@dataclasses.dataclass
class _Env:
    clock: fakes.SteppingClock
    log: fakes.RecordingLog
    fleet: _Fleet
    quarantine: forwarding.PromptQuarantine

    def lose(
        self, count: int, part_ids: tuple[str, ...] = CRASHING, name: str = 'e'
    ) -> None:
        """Lose a run with each of several engines, a second apart."""
        for number in range(count):
            self.clock.advance(1.0)
            self.quarantine.record_loss(f'{name}-{number}', part_ids)

    def is_refused(self, part_ids: tuple[str, ...] = CRASHING) -> bool:
        """Return whether a new request is refused."""
        return self.quarantine.admit(part_ids).refusal is not None


def _make_env(clock: fakes.SteppingClock | None = None) -> _Env:
    clock = clock or fakes.SteppingClock()
    log = fakes.RecordingLog()
    fleet = _Fleet()
    return _Env(
        clock, log, fleet, forwarding.PromptQuarantine(clock, log, fleet)
    )


def _pass_on(sender: _Env, receiver: _Env, is_full: bool = False) -> None:
    receiver.quarantine.receive(sender.quarantine.evidence(is_full))


class TestQuarantine:
    """Requests with a part under which engines crashed are refused."""

    def test_part_is_refused_after_losses(self) -> None:
        """Guards against requests that end one engine after the other."""
        env = _make_env()
        env.lose(2)
        assert not env.is_refused()
        env.lose(1, name='other')
        refusal = env.quarantine.admit(CRASHING).refusal
        assert refusal is not None
        assert refusal.part_id == 'crashing'
        assert refusal.retry_after_s == SETTINGS.quarantine_s
        assert env.quarantine.check_send(CRASHING) is not None

    def test_other_parts_are_served(self) -> None:
        """Guards against refusing all requests that share a part."""
        env = _make_env()
        env.quarantine.record_output(WORKING)
        env.lose(3)
        assert env.is_refused()
        assert not env.is_refused(WORKING)
        assert not env.is_refused((COMMON,))

    def test_output_releases_a_part(self) -> None:
        """Guards against refusing a part with which engines get on."""
        env = _make_env()
        env.lose(3)
        env.quarantine.record_output(CRASHING)
        assert not env.is_refused()
        assert 'prompt part released' in env.log.messages('prompt')

    def test_stronger_cause_releases_a_part(self) -> None:
        """Guards against refusing what was lost beside a crashing part."""
        env = _make_env()
        env.lose(3, ('crashing', 'unrelated'))
        assert env.is_refused(('unrelated',))
        env.lose(3, ('crashing', 'another'), 'other')
        assert env.is_refused(('crashing',))
        assert not env.is_refused(('unrelated',))

    def test_part_of_nearly_all_requests_is_served(self) -> None:
        """Guards against an outage because all engines fail."""
        env = _make_env()
        for _ in range(20):
            assert not env.is_refused((COMMON,))
        env.lose(9, (COMMON,))
        assert not env.is_refused((COMMON,))

    def test_old_losses_do_not_count(self) -> None:
        """Guards against a part that adds up unrelated losses of a day."""
        env = _make_env()
        for number in range(9):
            env.clock.advance(SETTINGS.limits.window_s / 2)
            env.quarantine.record_loss(f'engine-{number}', CRASHING)
        assert not env.is_refused()

    def test_memory_is_bounded(self) -> None:
        """Guards against memory that grows with the prompts of a day."""
        env = _make_env()
        for number in range(9000):
            env.quarantine.record_output((f'part-{number}',))
        for number in range(300):
            env.lose(3, (f'crashing-{number}',), f'engine-{number}')
        evidence = env.quarantine.evidence(is_full=True)
        limit = _quarantine_table.MAX_QUARANTINE_COUNT
        assert len(evidence.quarantined) <= limit
        assert len(evidence.losses) <= _prompt_evidence_log.MAX_REPORTED_COUNT
        assert env.quarantine.quarantined_count() <= limit

    def test_last_part_is_not_observed(self) -> None:
        """Guards against evidence about parts that no request shares."""
        request = harness.request()
        assert _quarantine_records.observed_parts(request) == ('shared',)


class TestProbes:
    """At the end of a quarantine one run tries the part."""

    def test_one_probe_and_a_longer_quarantine(self) -> None:
        """Guards against many engines that end to test one part."""
        env = _make_env()
        env.lose(3)
        env.clock.advance(SETTINGS.quarantine_s)
        assert not env.is_refused()
        assert env.is_refused()
        env.clock.advance(1.5 * SETTINGS.quarantine_s)
        assert env.is_refused()

    def test_probe_is_not_sent_again(self) -> None:
        """Guards against a probe that ends a second engine."""
        env = _make_env()
        env.lose(3)
        env.clock.advance(SETTINGS.quarantine_s)
        assert not env.is_refused()
        assert env.quarantine.check_send(CRASHING) is not None

    def test_probes_are_bounded(self) -> None:
        """Guards against a part that is tried for ever."""
        env = _make_env()
        env.lose(3)
        sent_count = 0
        for _ in range(6 * 3600):
            env.clock.advance(1.0)
            sent_count += not env.is_refused()
        assert sent_count == SETTINGS.max_probe_count

    def test_idle_part_is_forgotten(self) -> None:
        """Guards against a quarantine that never ends."""
        env = _make_env()
        env.lose(3)
        for _ in range(SETTINGS.max_probe_count):
            env.clock.advance(1000.0)
            assert not env.is_refused()
        assert env.is_refused()
        env.clock.advance(SETTINGS.idle_s + 1.0)
        assert not env.is_refused()

    def test_request_at_one_instance_extends_the_quarantine_at_all(
        self,
    ) -> None:
        """Guards against a release while another instance refuses the part."""
        first = _make_env()
        second = _make_env(first.clock)
        first.lose(3)
        for _ in range(SETTINGS.max_probe_count):
            first.clock.advance(1000.0)
            assert not first.is_refused()
        _pass_on(first, second)
        for _ in range(30):
            first.clock.advance(SETTINGS.idle_s / 5)
            assert first.is_refused()
            _pass_on(first, second)
        assert second.is_refused()

    def test_reports_alone_do_not_extend_a_quarantine(self) -> None:
        """Guards against delayed reports that move the end on for ever."""
        first = _make_env()
        second = _make_env(first.clock)
        first.lose(3)
        for _ in range(SETTINGS.max_probe_count):
            first.clock.advance(1000.0)
            assert not first.is_refused()
        for _ in range(800):
            for sender, receiver in ((first, second), (second, first)):
                evidence = sender.quarantine.evidence(is_full=True)
                first.clock.advance(0.5)
                receiver.quarantine.receive(evidence)
        assert not first.is_refused()
        assert 'prompt part released' in first.log.messages('prompt')

    def test_extension_is_stored(self) -> None:
        """Guards against a part that is forgotten by a restart of all."""
        env = _make_env()
        env.lose(3)
        for _ in range(SETTINGS.max_probe_count):
            env.clock.advance(1000.0)
            assert not env.is_refused()
        env.quarantine.take_changes()
        env.clock.advance(SETTINGS.idle_s / 2)
        assert env.is_refused()
        assert env.is_refused()
        (change,) = env.quarantine.take_changes()
        assert change.stored is not None
        until_s = change.stored.until_ms / 1000
        assert until_s > env.clock.wall_s() + 0.9 * SETTINGS.idle_s

    def test_instances_probe_one_after_the_other(self) -> None:
        """Guards against a probe of each instance at the same moment."""
        env = _make_env()
        env.fleet.own_rank = 5
        env.lose(3)
        env.clock.advance(SETTINGS.quarantine_s)
        assert env.is_refused()
        env.clock.advance(5 * SETTINGS.probe_stagger_s)
        assert not env.is_refused()


class TestSharing:
    """Evidence of one instance counts at all."""

    def test_losses_at_several_instances(self) -> None:
        """Guards against a bound that each instance keeps by itself."""
        first = _make_env()
        second = _make_env(first.clock)
        first.lose(2)
        _pass_on(first, second)
        second.lose(1, name='other')
        assert second.is_refused()
        _pass_on(second, first)
        assert first.is_refused()

    def test_same_loss_counts_once(self) -> None:
        """Guards against full reports that multiply a loss."""
        first = _make_env()
        second = _make_env(first.clock)
        first.lose(2)
        for _ in range(5):
            first.clock.advance(1.0)
            _pass_on(first, second, is_full=True)
        assert not second.is_refused()

    def test_output_at_another_instance_clears_a_part(self) -> None:
        """Guards against refusing a part that works elsewhere."""
        first = _make_env()
        second = _make_env(first.clock)
        second.quarantine.record_output(WORKING)
        first.lose(1)
        _pass_on(first, second)
        _pass_on(second, first)
        first.lose(2, name='other')
        assert first.is_refused()
        assert not first.is_refused(WORKING)

    def test_output_releases_at_all_instances(self) -> None:
        """Guards against a part that stays refused at the others."""
        first = _make_env()
        second = _make_env(first.clock)
        first.lose(3)
        _pass_on(first, second)
        second.clock.advance(1.0)
        second.quarantine.record_output(CRASHING)
        _pass_on(second, first)
        assert not first.is_refused()
        _pass_on(first, second, is_full=True)
        assert not second.is_refused()

    def test_restarted_instance_learns_of_it(self) -> None:
        """Guards against an instance that forgets a part when it starts."""
        first = _make_env()
        first.lose(3)
        first.quarantine.evidence(is_full=False)
        first.clock.advance(40.0)
        started = _make_env(first.clock)
        _pass_on(first, started, is_full=True)
        assert started.is_refused()

    def test_probe_of_a_peer_extends_the_quarantine(self) -> None:
        """Guards against one probe for each instance."""
        first = _make_env()
        second = _make_env(first.clock)
        first.lose(3)
        _pass_on(first, second)
        first.clock.advance(SETTINGS.quarantine_s)
        assert not first.is_refused()
        _pass_on(first, second)
        assert second.is_refused()

    def test_reports_are_bounded(self) -> None:
        """Guards against datagrams that links cannot carry."""
        env = _make_env()
        for number in range(200):
            part_ids = tuple(f'{n}-{number}' for n in range(32))
            env.quarantine.record_loss(f'engine-{number}', part_ids)
            env.quarantine.record_output(part_ids)
        evidence = env.quarantine.evidence(is_full=True)
        limit = _prompt_evidence_log.MAX_REPORTED_COUNT
        assert 0 < len(evidence.losses) <= limit
        assert 0 < len(evidence.outputs) <= limit
        part_count = sum(len(loss.part_ids) for loss in evidence.losses)
        assert part_count <= _prompt_evidence_log.MAX_REPORTED_PART_COUNT

    def test_fleet_view_carries_the_evidence(self) -> None:
        """Guards against evidence that is left out of reports."""
        env = harness.make_harness()
        env.fleet.add_peers(harness.listed_peers(1))
        env.fleet.full_report()
        env.quarantine.record_loss('engine', CRASHING)
        change = env.fleet.change_report()
        assert change is not None
        assert change.prompt_evidence.losses[0].part_ids == CRASHING
        assert env.fleet.full_report().prompt_evidence.losses
        other = harness.make_harness()
        other.fleet.receive(dataclasses.replace(change, instance='peer'))
        assert other.fleet.change_report() is None
        other.clock.advance(1.0)
        other.quarantine.record_loss('second', CRASHING)
        other.clock.advance(1.0)
        other.quarantine.record_loss('third', CRASHING)
        assert other.quarantine.admit(CRASHING).refusal is not None

    def test_no_evidence_is_falsy(self) -> None:
        """Guards against taking the lock for reports without evidence."""
        assert not data.PromptEvidence()
