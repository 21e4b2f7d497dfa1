"""Membership of the entry instances."""

import dataclasses
import enum
import hashlib
import threading

from skylarktack.state._addresses import Address
from skylarktack.state._names import FailureDomain
from skylarktack.state._names import InstanceName
from skylarktack.state._targets import ListedInstance


class MemberState(enum.Enum):
    """State of an instance in a member table."""

    ALIVE = 'alive'

    #: Answered no probe; dead after a timeout unless it refutes this.
    SUSPECT = 'suspect'

    #: Announced that it is stopping.
    LEAVING = 'leaving'

    DEAD = 'dead'


@dataclasses.dataclass(frozen=True)
class Member:
    """Entry of an instance in a member table."""

    name: InstanceName

    #: Where it accepts connections of peers.
    address: Address

    failure_domain: FailureDomain

    #: Region of the failure domain.
    region: str

    #: Raised only by the instance itself, to refute a suspicion.
    incarnation: int

    state: MemberState


#: Of two entries with the same incarnation, the one with the higher value
#: takes precedence.
_STATE_PRECEDENCE = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}

_LIVE_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


def supersedes(new: Member, old: Member) -> bool:
    """Return whether an entry takes precedence over another one.

    Both are entries of the same instance.
    """
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    return _STATE_PRECEDENCE[new.state] > _STATE_PRECEDENCE[old.state]


class MemberTable:
    """Member table: all instances known to one of them, itself included."""

    def __init__(self, own: Member) -> None:
        self._lock = threading.Lock()
        self._own = own
        self._members: dict[InstanceName, Member] = {own.name: own}
        self._listed: dict[InstanceName, Address] = {}
        # Derived values, cached until the next change.
        self._digest: int | None = None
        self._all: tuple[Member, ...] | None = None
        self._live: tuple[Member, ...] | None = None

    @property
    def own(self) -> Member:
        """Entry of this instance."""
        with self._lock:
            return self._own

    def get(self, name: InstanceName) -> Member | None:
        """Return the entry of an instance, also of a dead one."""
        with self._lock:
            return self._members.get(name)

    def all(self) -> tuple[Member, ...]:
        """Return all entries, dead ones included, ordered by name."""
        with self._lock:
            return self._sorted()

    def live(self) -> tuple[Member, ...]:
        """Return the alive and suspect instances, ordered by name.

        The same tuple object is returned until the table changes.
        """
        with self._lock:
            if self._live is None:
                self._live = tuple(
                    member
                    for member in self._sorted()
                    if member.state in _LIVE_STATES
                )
            return self._live

    def merge(self, new: Member) -> bool:
        """Merge an entry of another instance.

        Returns whether it superseded the entry in the table.
        """
        with self._lock:
            if new.name == self._own.name:
                return False
            old = self._members.get(new.name)
            if old is not None and not supersedes(new, old):
                return False
            self._members[new.name] = new
            self._invalidate_caches()
            return True

    def set_own(self, own: Member) -> None:
        """Replace the entry of this instance."""
        with self._lock:
            self._own = own
            self._members[own.name] = own
            self._invalidate_caches()

    def remove(self, name: InstanceName) -> None:
        """Remove the entry of another instance."""
        with self._lock:
            if name == self._own.name:
                return
            self._members.pop(name, None)
            self._invalidate_caches()

    def set_listed(self, listed: tuple[ListedInstance, ...]) -> None:
        """Replace the addresses taken from the platform's list."""
        with self._lock:
            self._listed = {
                instance.name: instance.peer_address for instance in listed
            }

    def listed(self) -> tuple[InstanceName, ...]:
        """Return the other instances in the platform's list."""
        with self._lock:
            return tuple(
                name for name in sorted(self._listed) if name != self._own.name
            )

    def addresses(self, name: InstanceName) -> tuple[Address, ...]:
        """Return candidate addresses of an instance, most likely first."""
        with self._lock:
            candidates: list[Address] = []
            member = self._members.get(name)
            if member is not None:
                candidates.append(member.address)
            listed = self._listed.get(name)
            if listed is not None and listed not in candidates:
                candidates.append(listed)
            return tuple(candidates)

    def digest(self) -> int:
        """Return a digest that is equal for tables with equal live entries."""
        with self._lock:
            if self._digest is None:
                self._digest = _digest_of(self._sorted())
            return self._digest

    def _sorted(self) -> tuple[Member, ...]:
        if self._all is None:
            self._all = tuple(
                self._members[name] for name in sorted(self._members)
            )
        return self._all

    def _invalidate_caches(self) -> None:
        self._digest = None
        self._all = None
        self._live = None


def _digest_of(members: tuple[Member, ...]) -> int:
    hasher = hashlib.blake2b(digest_size=8)
    for member in members:
        if member.state not in _LIVE_STATES:
            # Instances remove the entries of dead ones at different times.
            continue
        hasher.update(
            f'{member.name} {member.incarnation} '
            f'{member.state.value}\n'.encode()
        )
    return int.from_bytes(hasher.digest(), 'big')
