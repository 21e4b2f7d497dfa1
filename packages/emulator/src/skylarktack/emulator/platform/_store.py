"""Stand-in for the platform's store, with its faults."""

from collections.abc import Callable
import dataclasses
import enum
import json
import threading
import time
from typing import Any
import urllib.parse

from skylarktack import state
from skylarktack.emulator import _http_stand_in


class StoreMode(enum.Enum):
    """How the store answers."""

    GOOD = 'good'

    #: Each call gets 503.
    BUSY = 'busy'

    #: Connections end without an answer.
    RESET = 'reset'

    #: Calls get no answer.
    SILENT = 'silent'


#: Header of all responses; it rises by one with each restore.
OBJECT_API_ERA_HEADER = 'Store-Era'


@dataclasses.dataclass(frozen=True)
class StoreCopy:
    """State of the store at one moment; its objects are never changed."""

    #: Objects by kind and name.
    objects: dict[str, dict[str, dict[str, Any]]]

    #: Revision, kind, object, and whether it was removed.
    events: tuple[tuple[int, str, dict[str, Any], bool], ...]

    #: A watch from an earlier revision gets 410.
    oldest_revision: int

    #: Revision of the last change.
    revision: int


@dataclasses.dataclass(frozen=True)
class StoreAnswer:
    """Answer to a call, with the era in which it was made."""

    status: int
    content: Any

    #: Era of the store.
    era: int


class PlatformStore:
    """Objects by kind and name, one revision counter, watches.

    What is written by ``put`` and ``remove`` is written by the operator and
    the replicas; the system writes through the HTTP interface.
    """

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._oldest_revision = 0
        self._revision = 1
        self._era = 1
        # Newest specification that the operator or a replica wrote, or None
        # for an object that it removed, in the order of these writes.
        self._written: dict[tuple[str, str], Any] = {}
        self._mode = StoreMode.GOOD
        self._cut_count = 0
        self.delay_s = 0.0
        self.call_count = 0
        store = self

        class _Handler(_Requests):
            _store = store

        self._server = _http_stand_in.StandInServer(('127.0.0.1', 0), _Handler)
        _http_stand_in.serve_stand_in(self._server, 'store', announce=False)

    @property
    def address(self) -> state.Address:
        """Return where the store listens."""
        return _http_stand_in.address_of(self._server)

    @property
    def mode(self) -> StoreMode:
        """Return how the store answers."""
        return self._mode

    def set_mode(self, mode: StoreMode) -> None:
        """Answer all calls so from now on, also waiting watches."""
        with self._changed:
            self._mode = mode
            self._changed.notify_all()

    def cut_watches(self) -> None:
        """Cut off the watches that wait; other calls are served."""
        with self._changed:
            self._cut_count += 1
            self._changed.notify_all()

    def forget_history(self) -> None:
        """Drop the history; later watches get 410."""
        with self._changed:
            self._events.clear()
            self._oldest_revision = self._revision
            self._changed.notify_all()

    @property
    def revision(self) -> int:
        """Return the revision of the last change."""
        return self._revision

    @property
    def era(self) -> int:
        """Return the era, which starts at 1 and rises with each restore."""
        return self._era

    def set_era(self, era: int) -> None:
        """Name another era in all responses; nothing else changes."""
        with self._changed:
            self._era = era

    def snapshot(self) -> StoreCopy:
        """Return a copy of all objects, the history and the revision."""
        with self._changed:
            objects = {
                kind: dict(named) for kind, named in self._objects.items()
            }
            return StoreCopy(
                objects,
                tuple(self._events),
                self._oldest_revision,
                self._revision,
            )

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy; what was written since is lost.

        Waiting watches are cut, and the revisions since the copy are given
        out again.
        """
        with self._changed:
            self._objects = {
                kind: dict(named) for kind, named in copy.objects.items()
            }
            self._events = list(copy.events)
            self._oldest_revision = copy.oldest_revision
            self._revision = copy.revision
            self._era += 1
            self._changed.notify_all()

    def write_again(self) -> None:
        """Write what the operator and the replicas wrote and now is lost."""
        with self._changed:
            for (kind, name), specification in self._written.items():
                if specification is None:
                    self._remove(kind, name)
                else:
                    self._put(kind, name, specification)

    def put(self, kind: str, name: str, specification: Any) -> None:
        """Create or replace an object as the operator or a replica."""
        with self._changed:
            self._record_written(kind, name, specification)
            self._put(kind, name, specification)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object, if there is one, as the operator or a replica."""
        with self._changed:
            self._record_written(kind, name, None)
            self._remove(kind, name)

    def replace(
        self, kind: str, name: str, specification: Any
    ) -> dict[str, Any]:
        """Create or replace an object as the system; return the object."""
        with self._changed:
            self._put(kind, name, specification)
            return self._objects[kind][name]

    def delete(self, kind: str, name: str) -> None:
        """Remove an object, if there is one, as the system."""
        with self._changed:
            self._remove(kind, name)

    def _record_written(
        self, kind: str, name: str, specification: Any
    ) -> None:
        self._written.pop((kind, name), None)
        self._written[kind, name] = specification

    def _put(self, kind: str, name: str, specification: Any) -> None:
        with self._changed:
            held = self._objects.setdefault(kind, {}).get(name)
            if held is not None and held['specification'] == specification:
                return
            self._revision += 1
            status = None if held is None else held['status']
            item = {
                'metadata': {
                    'name': name,
                    'revision': self._revision,
                    'created_at': 1,
                    'finalizers': [],
                    'deletion_pending': False,
                },
                'specification': specification,
                'status': status,
            }
            self._objects[kind][name] = item
            self._events.append((self._revision, kind, item, False))
            self._changed.notify_all()

    def put_status(
        self, kind: str, name: str, revision: int | None, status: Any
    ) -> tuple[int, dict[str, Any]]:
        """Replace the status of an object if it has the revision.

        :return: status of the answer, and the object as it is afterwards.
        """
        with self._changed:
            held = self._objects.get(kind, {}).get(name)
            if held is None:
                return 404, {}
            if revision is not None:
                if held['metadata']['revision'] != revision:
                    return 409, held
            if held['status'] == status:
                return 200, held
            self._revision += 1
            item = dict(held)
            item['metadata'] = held['metadata'] | {'revision': self._revision}
            item['status'] = status
            self._objects[kind][name] = item
            self._events.append((self._revision, kind, item, False))
            self._changed.notify_all()
            return 200, item

    def specification_of(self, kind: str, name: str) -> Any:
        """Return the specification of an object, or None."""
        with self._changed:
            held = self._objects.get(kind, {}).get(name, {})
            return held.get('specification')

    def status_of(self, kind: str, name: str) -> Any:
        """Return the status of an object, or None."""
        with self._changed:
            return self._objects.get(kind, {}).get(name, {}).get('status')

    def _remove(self, kind: str, name: str) -> None:
        with self._changed:
            item = self._objects.get(kind, {}).pop(name, None)
            if item is None:
                return
            self._revision += 1
            self._events.append((self._revision, kind, item, True))
            self._changed.notify_all()

    def names(self, kind: str) -> tuple[str, ...]:
        """Return the names of all objects of a kind."""
        with self._changed:
            return tuple(self._objects.get(kind, {}))

    def close(self) -> None:
        """Stop listening."""
        self.set_mode(StoreMode.RESET)
        self._server.shutdown()
        self._server.server_close()

    def listing(self, kind: str) -> dict[str, Any]:
        """Return the answer to a list."""
        with self._changed:
            items = list(self._objects.get(kind, {}).values())
            return {'items': items, 'has_more': False, 'at': self._revision}

    def read(self, kind: str, name: str) -> tuple[int, dict[str, Any]]:
        """Return status and answer of the read of one object."""
        with self._changed:
            item = self._objects.get(kind, {}).get(name)
            return (404, {}) if item is None else (200, item)

    def create(self, kind: str, item: dict[str, Any]) -> int:
        """Create an object; return the status of the answer."""
        name = item['metadata']['name']
        with self._changed:
            if name in self._objects.get(kind, {}):
                return 409
            self._put(kind, name, item.get('specification'))
            return 201

    def watch(
        self, kind: str, revision: int, wait_s: float
    ) -> tuple[int, dict[str, Any]] | None:
        """Return status and answer of a watch, or None if it is cut."""
        end_s = time.monotonic() + wait_s
        with self._changed:
            era = self._era
            cut_count = self._cut_count
            while True:
                if self._mode is not StoreMode.GOOD or era != self._era:
                    return None
                if cut_count != self._cut_count:
                    return None
                if not self._oldest_revision <= revision <= self._revision:
                    return 410, {}
                events = []
                for number, of_kind, item, is_gone in self._events:
                    if of_kind == kind and number > revision:
                        events.append({'object': item, 'deleted': is_gone})
                left_s = end_s - time.monotonic()
                if events or left_s <= 0:
                    return 200, {'events': events, 'at': self._revision}
                self._changed.wait(left_s)

    def answer(
        self, act: Callable[[], tuple[int, Any] | None]
    ) -> StoreAnswer | None:
        """Return the answer to one call, or None if it is cut.

        No restore comes between the answer and the era that it names.
        """
        with self._changed:
            answer = act()
            if answer is None:
                return None
            return StoreAnswer(*answer, self._era)

    def wait_good(self) -> None:
        """Wait until the store answers again."""
        with self._changed:
            while self._mode is StoreMode.SILENT:
                self._changed.wait()


class _Requests(_http_stand_in.StandInHandler):
    """Calls to the store."""

    _store: PlatformStore

    def do_GET(self) -> None:
        """Read one object, or list or watch a kind."""
        if self._is_refused():
            return
        kind = self._kind()
        if self.route.count('/') > 2:
            self._respond(lambda: self._store.read(kind, self._name()))
            return
        revision = self.query('watch_stream')
        if not revision:
            self._respond(lambda: (200, self._store.listing(kind)))
            return
        wait_s = int(self.query('wait_timeout_ms', '0')) / 1000
        self._respond(lambda: self._store.watch(kind, int(revision), wait_s))

    def do_POST(self) -> None:
        """Create an object."""
        item = json.loads(self.body())
        if not self._is_refused():
            self._respond(
                lambda: (self._store.create(self._kind(), item), item)
            )

    def do_PUT(self) -> None:
        """Replace the specification or the status of an object."""
        item = json.loads(self.body())
        if self._is_refused():
            return
        kind = self._kind()
        if self.route.endswith('/status'):
            name = urllib.parse.unquote(self.route.split('/')[3])
            revision = item.get('metadata', {}).get('revision')
            self._respond(
                lambda: self._store.put_status(
                    kind, name, revision, item.get('status')
                )
            )
            return
        name = self._name()
        specification = item.get('specification')
        self._respond(
            lambda: (200, self._store.replace(kind, name, specification))
        )

    def do_DELETE(self) -> None:
        """Remove an object."""
        if self._is_refused():
            return
        kind, name = self._kind(), self._name()

        def _delete() -> tuple[int, Any]:
            self._store.delete(kind, name)
            return 200, {}

        self._respond(_delete)

    def _kind(self) -> str:
        return urllib.parse.unquote(self.route.split('/')[2])

    def _name(self) -> str:
        return urllib.parse.unquote(self.route.rpartition('/')[2])

    def _respond(self, act: Callable[[], tuple[int, Any] | None]) -> None:
        """Send the answer to a call; a call that is cut gets none."""
        answer = self._store.answer(act)
        if answer is None:
            self._cut()
            return
        self._send(answer)

    def _send(self, answer: StoreAnswer) -> None:
        self.answer(
            answer.status,
            json.dumps(answer.content).encode(),
            (
                ('Content-Type', 'application/json'),
                (OBJECT_API_ERA_HEADER, str(answer.era)),
            ),
        )

    def _cut(self) -> None:
        """End a watch as the mode says, or without an answer."""
        if not self._is_refused():
            self.drop_connection()

    def _is_refused(self) -> bool:
        """Refuse the call as the mode says; return whether so."""
        self._store.call_count += 1
        if self._store.delay_s:
            time.sleep(self._store.delay_s)
        if self._store.mode is StoreMode.BUSY:
            self._send(StoreAnswer(503, {}, self._store.era))
            return True
        if self._store.mode is StoreMode.GOOD:
            return False
        self._store.wait_good()
        self.drop_connection()
        return True
