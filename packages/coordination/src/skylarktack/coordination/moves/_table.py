"""Move records cached on this instance, and the shares in effect."""

import dataclasses
import threading

import structlog

from skylarktack import state
from skylarktack.coordination import ports

_LOG = structlog.get_logger(part='moves')


@dataclasses.dataclass(frozen=True)
class CachedMove:
    """Latest record of a move with the state of this instance."""

    #: Latest record received.
    record: state.MoveRecord

    #: Version of the record in the object API.
    version: int

    #: Era of the store in which the record was read or written.
    era: int

    #: Share that this instance applies, at most that of the record.
    share: float

    #: Reason why this instance stopped sending requests to the new version;
    #: empty if it did not.
    stopped: str = ''


class MoveTable:
    """Cached records of all moves; determines the share in effect.

    The first rule that applies determines the share of the new version:

    1. All requests if the move has completed, none if it was rolled back.
    2. None if this instance stopped the version.
    3. None after the deadline, unless completion is recorded.
    4. The share of the latest record, except that a record older than the age
       limit does not raise the share.
    """

    def __init__(
        self, settings: state.MoveSettings, clock: ports.Clock
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._lock = threading.Lock()
        self._cached: dict[str, CachedMove] = {}

    def apply_record(
        self, record: state.MoveRecord, version: int, era: int = 0
    ) -> bool:
        """Store a record if it is newer; return whether it was."""
        with self._lock:
            cached = self._cached.get(record.name)
            if cached is not None and not _is_newer(
                cached, record, version, era
            ):
                return False
            if cached is not None and cached.record.ended:
                return False
            share = record.share
            previous_share = cached.share if cached else 0.0
            if share > previous_share and not self._is_fresh(record):
                share = previous_share
            self._cached[record.name] = CachedMove(
                record, version, era, share, cached.stopped if cached else ''
            )
        return True

    def stop(self, name: str, reason: str, fencing_number: int = 0) -> bool:
        """Stop sending requests to the new version.

        :param fencing_number: fencing number of the driver that stops it. The
            call is ignored if the number is older than that of the record.
            0 for a stop on this instance's own evidence.
        :returns: whether the version was stopped by this call.
        """
        with self._lock:
            cached = self._cached.get(name)
            if cached is None or cached.stopped or cached.record.ended:
                return False
            if 0 < fencing_number < cached.record.lease.fencing_number:
                return False
            self._cached[name] = dataclasses.replace(cached, stopped=reason)
        _LOG.warning('new version stopped', move=name, reason=reason)
        return True

    def confirm(self, name: str, version: int, era: int) -> None:
        """Record that the store has the end of a move in an era."""
        with self._lock:
            cached = self._cached.get(name)
            if cached is None or not cached.record.ended:
                return
            if era > cached.era:
                self._cached[name] = dataclasses.replace(
                    cached, version=version, era=era
                )

    def forget(self, name: str) -> None:
        """Drop an ended move that is no longer configured."""
        with self._lock:
            self._cached.pop(name, None)

    def cached(self, name: str) -> CachedMove | None:
        """Return the cached state of a move, None if unknown."""
        return self._cached.get(name)

    def all_cached(self) -> tuple[CachedMove, ...]:
        """Return all moves sorted by name, for the status page."""
        with self._lock:
            return tuple(self._cached[name] for name in sorted(self._cached))

    def share(self, name: str) -> float:
        """Return the share of requests that the new version gets now."""
        cached = self._cached.get(name)
        if cached is None:
            return 0.0
        if cached.record.phase is state.MovePhase.COMPLETED:
            return 1.0
        if cached.record.ended or cached.stopped:
            return 0.0
        if self._clock.wall_s() >= cached.record.deadline_s:
            return 0.0
        return cached.share

    def _is_fresh(self, record: state.MoveRecord) -> bool:
        age_s = self._clock.wall_s() - record.updated_s
        return age_s <= self._settings.record_age_limit_ms / 1000


def _is_newer(
    cached: CachedMove, record: state.MoveRecord, version: int, era: int
) -> bool:
    """Return whether a record is newer than the cached one.

    Versions of two eras cannot be compared: a restored store gives them out
    again, and its records may be older than what was read before.
    """
    if era == cached.era:
        return version > cached.version
    order = write_order(record)
    if order == write_order(cached.record):
        return era > cached.era
    return order > write_order(cached.record)


def write_order(record: state.MoveRecord) -> tuple[int, float]:
    """Return a key that orders the records of one move by their writing."""
    return record.lease.fencing_number, record.updated_s
