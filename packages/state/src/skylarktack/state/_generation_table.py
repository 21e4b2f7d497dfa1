"""Generations that an instance holds, running and retained."""

import threading
from typing import Generic
from typing import Protocol
from typing import TypeVar

from skylarktack.state._names import OrganisationName
from skylarktack.state._names import RequestId


class HeldGeneration(Protocol):
    """What the table needs to know of a generation."""

    @property
    def is_idle(self) -> bool:
        """Whether nobody reads it and nothing advances it."""
        ...

    @property
    def size_bytes(self) -> int:
        """Memory that it takes."""
        ...

    @property
    def retention_s(self) -> float:
        """How long it is kept once idle."""
        ...


H = TypeVar('H', bound=HeldGeneration)


class GenerationTable(Generic[H]):
    """Generations by organisation and request identifier.

    An organisation finds only its own generations. Idle ones are kept for
    their route's retention and within a memory limit, the oldest going first.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._lock = threading.Lock()
        self._held: dict[tuple[OrganisationName, RequestId], H] = {}
        self._idle: dict[tuple[OrganisationName, RequestId], float] = {}
        self._idle_bytes = 0

    def find(
        self, organisation: OrganisationName, request_id: RequestId
    ) -> H | None:
        """Return the organisation's generation of that identifier."""
        with self._lock:
            return self._held.get((organisation, request_id))

    def add(
        self, organisation: OrganisationName, request_id: RequestId, held: H
    ) -> H:
        """Enter a generation; return the one that was there first."""
        with self._lock:
            return self._held.setdefault((organisation, request_id), held)

    def remove(
        self, organisation: OrganisationName, request_id: RequestId
    ) -> None:
        """Forget a generation."""
        with self._lock:
            self._drop((organisation, request_id))

    def mark_in_use(
        self, organisation: OrganisationName, request_id: RequestId
    ) -> None:
        """Keep a generation while it is read."""
        with self._lock:
            key = (organisation, request_id)
            if self._idle.pop(key, None) is not None:
                self._idle_bytes -= self._held[key].size_bytes

    def mark_idle(
        self,
        organisation: OrganisationName,
        request_id: RequestId,
        now_s: float,
    ) -> None:
        """Keep a generation for its retention from now."""
        with self._lock:
            key = (organisation, request_id)
            held = self._held.get(key)
            if held is None or not held.is_idle or key in self._idle:
                return
            self._idle[key] = now_s + held.retention_s
            self._idle_bytes += held.size_bytes
            self._sweep(now_s)

    def running(self) -> tuple[H, ...]:
        """Return the generations that are not idle."""
        with self._lock:
            return tuple(
                held for held in self._held.values() if not held.is_idle
            )

    def idle_bytes(self) -> int:
        """Return the memory of idle generations."""
        with self._lock:
            return self._idle_bytes

    def sweep(self, now_s: float) -> None:
        """Drop generations whose retention is over."""
        with self._lock:
            self._sweep(now_s)

    def _sweep(self, now_s: float) -> None:
        for key, end_s in list(self._idle.items()):
            if end_s > now_s and self._idle_bytes <= self._limit_bytes:
                continue
            self._drop(key)

    def _drop(self, key: tuple[OrganisationName, RequestId]) -> None:
        held = self._held.pop(key, None)
        if held is None:
            return
        if self._idle.pop(key, None) is not None:
            self._idle_bytes -= held.size_bytes
