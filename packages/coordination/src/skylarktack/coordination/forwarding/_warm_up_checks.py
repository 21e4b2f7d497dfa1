"""Questions to engines while an instance does not know their loads yet."""

import dataclasses
import enum

from skylarktack.coordination.forwarding import _admitted_request
from skylarktack.coordination.forwarding import _engine_watch
from skylarktack.coordination.forwarding import _placement
from skylarktack.coordination.forwarding import _stream_attempts
from skylarktack.state import forwarding as data

#: Maximum number of engines that one stream asks for room.
MAX_CHECK_COUNT = 3

#: Maximum number of engines that are asked for the prompt of one stream.
MAX_PROMPT_SEARCH_COUNT = 4


class RoomCheck(enum.Enum):
    """Whether an engine may take a run."""

    #: It has room, or was not asked.
    AVAILABLE = 'available'

    #: It has no room or did not answer, and is not tried for now.
    PASSED_OVER = 'passed_over'

    #: Its answer says that it takes no work.
    UNAVAILABLE = 'unavailable'


class WarmUpChecks:
    """Asks engines for room and prompts on behalf of one stream."""

    def __init__(
        self,
        dependencies: _stream_attempts.StreamDependencies,
        admitted: _admitted_request.AdmittedRequest,
    ) -> None:
        self._dependencies = dependencies
        self._targets = dependencies.targets
        self._admitted = admitted
        self._check_count = 0
        #: Whether an engine that was asked had no room.
        self.has_found_full = False

    def find_prompt(
        self, demand: _placement.RunDemand
    ) -> _placement.RunDemand:
        """Ask engines for the prompt of a stream that comes back.

        After a loss of all instances none of them remembers which engine has
        read it, and all callers return at once. Reading their prompts again
        would delay every stream.

        :return: the demand, with the engine that has the prompt.
        """
        fleet = self._dependencies.fleet
        if not demand.is_resumed or not fleet.is_warming_up():
            return demand
        if fleet.find_placement(demand.affinity_key) is not None:
            return demand
        likely_engines = self._targets.placement.likely_engines(
            self._admitted.service,
            self._admitted.request.model,
            demand,
            MAX_PROMPT_SEARCH_COUNT,
            self._admitted.version_rule,
        )
        for engine in likely_engines:
            part_ids = self._dependencies.client.cached_parts(
                engine, _engine_watch.PROBE_TIMEOUT_S
            )
            if demand.affinity_key not in part_ids:
                continue
            self._record('prompt_found', target=engine.name)
            return dataclasses.replace(demand, known_engine=engine.name)
        return demand

    def check_room(
        self, engine: data.ListedTarget, demand: _placement.RunDemand
    ) -> RoomCheck:
        """Ask an engine for room while its load may not be known."""
        if self._check_count >= MAX_CHECK_COUNT:
            return RoomCheck.AVAILABLE
        if engine.name == demand.known_engine:
            return RoomCheck.AVAILABLE
        if not self._dependencies.fleet.is_warming_up():
            return RoomCheck.AVAILABLE
        self._check_count += 1
        report = self._dependencies.client.probe(
            engine, _engine_watch.PROBE_TIMEOUT_S
        )
        if report is None:
            self._targets.report_failure(
                engine,
                self._admitted.route.name,
                'the engine did not answer a probe',
                is_loss=True,
            )
            return RoomCheck.PASSED_OVER
        self._targets.report_probe(engine, report)
        if not _placement.is_report_of_full_engine(report, demand):
            if self._targets.is_unavailable(engine):
                return RoomCheck.UNAVAILABLE
            return RoomCheck.AVAILABLE
        self._record(
            'engine_full',
            target=engine.name,
            queued=report.queued_count,
            used_tokens=report.used_tokens,
        )
        self.has_found_full = True
        return RoomCheck.PASSED_OVER

    def _record(self, step: str, **inputs: object) -> None:
        self._admitted.trace.record(
            self._dependencies.clock.monotonic_s(), step, **inputs
        )
