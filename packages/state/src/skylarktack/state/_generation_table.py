"""Table of the running and retained generations of an instance."""

import threading
from typing import Generic
from typing import Protocol
from typing import TypeVar

from skylarktack.state._names import OrganisationName
from skylarktack.state._names import RequestId


class HeldGeneration(Protocol):
    """A generation as the table requires it."""

    @property
    def is_idle(self) -> bool:
        """Whether it has no reader and no running attempt."""
        ...

    @property
    def size_bytes(self) -> int:
        """Memory usage."""
        ...

    @property
    def retention_s(self) -> float:
        """Time for which it is kept while idle."""
        ...


GenerationT = TypeVar('GenerationT', bound=HeldGeneration)


class GenerationTable(Generic[GenerationT]):
    """Generations by organisation and request identifier.

    An organisation can access only its own generations. Idle ones are kept
    for the retention time of their route and within a memory limit, beyond
    which those idle for the longest time are evicted first.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._lock = threading.Lock()
        self._generations: dict[
            tuple[OrganisationName, RequestId], GenerationT
        ] = {}
        self._idle_until_s: dict[
            tuple[OrganisationName, RequestId], float
        ] = {}
        self._idle_bytes = 0

    def find(
        self, organisation: OrganisationName, request_id: RequestId
    ) -> GenerationT | None:
        """Return the organisation's generation with the identifier."""
        with self._lock:
            return self._generations.get((organisation, request_id))

    def add(
        self,
        organisation: OrganisationName,
        request_id: RequestId,
        generation: GenerationT,
    ) -> GenerationT:
        """Add a generation unless one exists; return the one in the table."""
        with self._lock:
            return self._generations.setdefault(
                (organisation, request_id), generation
            )

    def remove(
        self, organisation: OrganisationName, request_id: RequestId
    ) -> None:
        """Remove a generation; does nothing if it is not in the table."""
        with self._lock:
            self._remove((organisation, request_id))

    def mark_in_use(
        self, organisation: OrganisationName, request_id: RequestId
    ) -> None:
        """Exempt a generation from eviction while it is in use."""
        with self._lock:
            key = (organisation, request_id)
            if self._idle_until_s.pop(key, None) is not None:
                self._idle_bytes -= self._generations[key].size_bytes

    def mark_idle(
        self,
        organisation: OrganisationName,
        request_id: RequestId,
        now_s: float,
    ) -> None:
        """Start the retention time of a generation if it is idle."""
        with self._lock:
            key = (organisation, request_id)
            generation = self._generations.get(key)
            if (
                generation is None
                or not generation.is_idle
                or key in self._idle_until_s
            ):
                return
            self._idle_until_s[key] = now_s + generation.retention_s
            self._idle_bytes += generation.size_bytes
            self._evict(now_s)

    def running(self) -> tuple[GenerationT, ...]:
        """Return the generations that are not idle."""
        with self._lock:
            return tuple(
                generation
                for generation in self._generations.values()
                if not generation.is_idle
            )

    def idle_bytes(self) -> int:
        """Return the memory usage of the idle generations."""
        with self._lock:
            return self._idle_bytes

    def evict_expired(self, now_s: float) -> None:
        """Remove the generations whose retention time has expired."""
        with self._lock:
            self._evict(now_s)

    def _evict(self, now_s: float) -> None:
        for key, expires_s in list(self._idle_until_s.items()):
            if expires_s > now_s and self._idle_bytes <= self._limit_bytes:
                continue
            self._remove(key)

    def _remove(self, key: tuple[OrganisationName, RequestId]) -> None:
        generation = self._generations.pop(key, None)
        if generation is None:
            return
        if self._idle_until_s.pop(key, None) is not None:
            self._idle_bytes -= generation.size_bytes
