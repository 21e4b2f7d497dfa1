"""Entry instances as their peers know them."""

import dataclasses
import enum
import hashlib
import threading

from skylarktack.state._addresses import Address
from skylarktack.state._names import FailureDomain
from skylarktack.state._names import InstanceName
from skylarktack.state._targets import ListedInstance


class MemberState(enum.Enum):
    """What an instance believes of a peer."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


@dataclasses.dataclass(frozen=True)
class Member:
    """One entry instance."""

    #: Unique name.
    name: InstanceName

    #: Where it accepts peers.
    address: Address

    #: Its failure domain.
    failure_domain: FailureDomain

    #: Region of the failure domain.
    region: str

    #: Number that the instance itself raises to refute a suspicion.
    incarnation: int

    #: What is believed of it.
    state: MemberState


#: Which belief wins between two of the same incarnation.
_RANKS = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}

_SERVING = (MemberState.ALIVE, MemberState.SUSPECT)


def supersedes(new: Member, old: Member) -> bool:
    """Return whether a belief replaces another one of the same instance."""
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    return _RANKS[new.state] > _RANKS[old.state]


class MemberTable:
    """What one instance believes of all instances, itself included."""

    def __init__(self, own: Member) -> None:
        self._lock = threading.Lock()
        self._own = own
        self._members: dict[InstanceName, Member] = {own.name: own}
        self._listed: dict[InstanceName, Address] = {}
        # Derived values, dropped at each change.
        self._digest: int | None = None
        self._all: tuple[Member, ...] | None = None
        self._live: tuple[Member, ...] | None = None

    @property
    def own(self) -> Member:
        """This instance."""
        with self._lock:
            return self._own

    def get(self, name: InstanceName) -> Member | None:
        """Return one instance, dead ones included."""
        with self._lock:
            return self._members.get(name)

    def all(self) -> tuple[Member, ...]:
        """Return all instances, dead ones included, in order of name."""
        with self._lock:
            return self._sorted()

    def live(self) -> tuple[Member, ...]:
        """Return the instances that serve, in order of name.

        A suspect instance still serves; a leaving one does not. The same
        tuple is returned until the table changes.
        """
        with self._lock:
            if self._live is None:
                self._live = tuple(
                    member
                    for member in self._sorted()
                    if member.state in _SERVING
                )
            return self._live

    def merge(self, new: Member) -> bool:
        """Take in a belief of another instance; return whether it is news."""
        with self._lock:
            if new.name == self._own.name:
                return False
            old = self._members.get(new.name)
            if old is not None and not supersedes(new, old):
                return False
            self._members[new.name] = new
            self._note_change()
            return True

    def set_own(self, own: Member) -> None:
        """Replace what this instance says of itself."""
        with self._lock:
            self._own = own
            self._members[own.name] = own
            self._note_change()

    def forget(self, name: InstanceName) -> None:
        """Remove an instance that is gone for good."""
        with self._lock:
            if name == self._own.name:
                return
            self._members.pop(name, None)
            self._note_change()

    def set_listed(self, listed: tuple[ListedInstance, ...]) -> None:
        """Replace the addresses that the platform's list names."""
        with self._lock:
            self._listed = {
                instance.name: instance.peer_address for instance in listed
            }

    def listed(self) -> tuple[InstanceName, ...]:
        """Return the other instances that the platform's list names."""
        with self._lock:
            return tuple(
                name for name in sorted(self._listed) if name != self._own.name
            )

    def addresses(self, name: InstanceName) -> tuple[Address, ...]:
        """Return where an instance may accept peers, most likely first."""
        with self._lock:
            found: list[Address] = []
            member = self._members.get(name)
            if member is not None:
                found.append(member.address)
            listed = self._listed.get(name)
            if listed is not None and listed not in found:
                found.append(listed)
            return tuple(found)

    def digest(self) -> int:
        """Return a number that is equal for equal tables."""
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

    def _note_change(self) -> None:
        self._digest = None
        self._all = None
        self._live = None


def _digest_of(members: tuple[Member, ...]) -> int:
    hashed = hashlib.blake2b(digest_size=8)
    for member in members:
        if member.state not in _SERVING:
            # Gone instances are forgotten at different times.
            continue
        hashed.update(
            f'{member.name} {member.incarnation} '
            f'{member.state.value}\n'.encode()
        )
    return int.from_bytes(hashed.digest(), 'big')
