"""What this instance knows of moves, and the share it applies."""

import dataclasses
import threading

import structlog

from skylarktack import state
from skylarktack.coordination import ports

_LOG = structlog.get_logger(part='moves')


@dataclasses.dataclass(frozen=True)
class KnownMove:
    """A record and what this instance makes of it."""

    #: The newest record seen.
    record: state.MoveRecord

    #: Its version in the object API.
    version: int

    #: Share that this instance applies; never above the record's.
    share: float

    #: Why this instance sends nothing to the new version; empty if it does.
    stopped: str = ''


class MoveTable:
    """Records of all moves; the share in effect rises only on fresh ones.

    Rules, in this order: a completed move serves the new version and a
    rolled back one the old version; an instance that stopped on evidence
    serves the old version; so does any instance past the deadline that has
    no proof of completion; otherwise the share of the newest record holds,
    and a record older than the age limit does not raise it.
    """

    def __init__(
        self, settings: state.MoveSettings, clock: ports.Clock
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._lock = threading.Lock()
        self._known: dict[str, KnownMove] = {}

    def offer(self, record: state.MoveRecord, version: int) -> bool:
        """Take a record in if its version is newer; return whether."""
        with self._lock:
            known = self._known.get(record.name)
            if known is not None and version <= known.version:
                return False
            if known is not None and known.record.ended:
                return False
            share = record.share
            before = known.share if known else 0.0
            if share > before and not self._is_fresh(record):
                share = before
            self._known[record.name] = KnownMove(
                record, version, share, known.stopped if known else ''
            )
        return True

    def stop(self, name: str, reason: str, fencing_number: int = 0) -> bool:
        """Send nothing more to the new version; True if that is new.

        :param fencing_number: of the driver that says so; an older one than
            the record's is ignored. 0 for this instance's own evidence.
        """
        with self._lock:
            known = self._known.get(name)
            if known is None or known.stopped or known.record.ended:
                return False
            if 0 < fencing_number < known.record.lease.fencing_number:
                return False
            self._known[name] = dataclasses.replace(known, stopped=reason)
        _LOG.warning('stopped sending to a version', move=name, reason=reason)
        return True

    def forget(self, name: str) -> None:
        """Drop an ended move that the configuration no longer holds."""
        with self._lock:
            self._known.pop(name, None)

    def known(self, name: str) -> KnownMove | None:
        """Return what is known of a move."""
        return self._known.get(name)

    def all_known(self) -> tuple[KnownMove, ...]:
        """Return all moves in order of name, for the status page."""
        with self._lock:
            return tuple(self._known[name] for name in sorted(self._known))

    def share(self, name: str) -> float:
        """Return the share of requests for the new version at present."""
        known = self._known.get(name)
        if known is None:
            return 0.0
        if known.record.phase is state.MovePhase.COMPLETED:
            return 1.0
        if known.record.ended or known.stopped:
            return 0.0
        if self._clock.wall_s() >= known.record.deadline_s:
            return 0.0
        return known.share

    def _is_fresh(self, record: state.MoveRecord) -> bool:
        age_s = self._clock.wall_s() - record.updated_s
        return age_s <= self._settings.record_age_limit_ms / 1000
