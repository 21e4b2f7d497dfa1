"""Stand-in for the platform's object API."""

import collections
import dataclasses
import json
import threading
import time
import urllib.parse

from skylarktack import protocol
from skylarktack import state
from skylarktack.emulator import _http_stand_in


@dataclasses.dataclass(frozen=True)
class ObjectApiFaults:
    """Faults of the object API, switched by its control endpoint."""

    #: Whether every call is refused.
    down: bool = False

    #: Whether every call hangs until its connection is closed.
    hang: bool = False

    #: Delay of every call.
    delay_ms: int = 0

    #: Number of writes, counted down, that take effect without an answer.
    lose_write_answers_count: int = 0

    #: Whether watches end without changes although there are some.
    watch_silent: bool = False

    #: Most writes a second; 0 means no limit.
    write_limit_per_s: int = 0

    #: Most reads a second, watches included; 0 means no limit.
    read_limit_per_s: int = 0

    #: Age of the list of instances.
    list_lag_ms: int = 0


class ObjectApi:
    """Objects, versions, watches and the lagging list of instances."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._objects: dict[str, state.StoredObject] = {}
        self._version = 0
        self._copy: tuple[int, dict[str, state.StoredObject]] = (0, {})
        self.era = 0
        self._lists: list[tuple[float, state.PlatformList]] = [
            (time.monotonic(), state.PlatformList((), ()))
        ]
        self._recent: dict[str, collections.deque[float]] = {
            'read': collections.deque(),
            'write': collections.deque(),
        }
        self.counts: collections.Counter[str] = collections.Counter()
        self.faults = ObjectApiFaults()

    def within_rate(self, kind: str) -> bool:
        """Count one call; return whether the rate limit admits it."""
        with self._changed:
            self.counts[kind] += 1
            limit = self.faults.read_limit_per_s
            if kind == 'write':
                limit = self.faults.write_limit_per_s
            recent = self._recent[kind]
            now_s = time.monotonic()
            while recent and recent[0] < now_s - 1:
                recent.popleft()
            if limit and len(recent) >= limit:
                return False
            recent.append(now_s)
            return True

    def take_copy(self) -> None:
        """Take the copy that the next restore brings back."""
        with self._changed:
            self._copy = (self._version, dict(self._objects))

    def restore(self) -> None:
        """Come back from the copy and begin a new era."""
        with self._changed:
            self._version, objects = self._copy
            self._objects = dict(objects)
            self.era += 1
            self._changed.notify_all()

    def get(self, key: str) -> state.StoredObject | None:
        """Read one object."""
        with self._changed:
            return self._objects.get(key)

    def put(
        self, key: str, value: bytes, expected_version: int | None
    ) -> state.StoredObject | None:
        """Write one object; None if its version is another one."""
        with self._changed:
            current = self._objects.get(key)
            found = None if current is None else current.version
            if found != expected_version:
                return None
            self._version += 1
            stored = state.StoredObject(key, value, self._version)
            self._objects[key] = stored
            self._changed.notify_all()
            return stored

    def delete(self, key: str, expected_version: int) -> bool:
        """Remove one object if its version is the expected one."""
        with self._changed:
            current = self._objects.get(key)
            if current is None or current.version != expected_version:
                return False
            self._version += 1
            del self._objects[key]
            return True

    def list(self, prefix: str) -> tuple[state.StoredObject, ...]:
        """Read all objects with a prefix, in order of version."""
        with self._changed:
            return self._matching(prefix, 0)

    def watch(
        self, prefix: str, after_version: int, wait_s: float
    ) -> state.WatchBatch:
        """Wait for changes after a version."""
        end_s = time.monotonic() + wait_s
        with self._changed:
            era = self.era
            while True:
                if self.era != era:
                    return state.WatchBatch(after_version, ())
                changed = self._matching(prefix, after_version)
                if changed and not self.faults.watch_silent:
                    return state.WatchBatch(self._version, changed)
                left_s = end_s - time.monotonic()
                if left_s <= 0:
                    return state.WatchBatch(after_version, ())
                self._changed.wait(left_s)

    def set_instances(self, listed: state.PlatformList) -> None:
        """Replace the list of instances; readers see it after the lag."""
        with self._changed:
            self._lists.append((time.monotonic(), listed))
            del self._lists[:-50]

    def instances(self) -> state.PlatformList:
        """Return the list of instances as it was before the lag."""
        with self._changed:
            visible_s = time.monotonic() - self.faults.list_lag_ms / 1000
            shown = self._lists[0][1]
            for since_s, listed in self._lists:
                if since_s > visible_s:
                    break
                shown = listed
            return shown

    def lose_next_write_answer(self) -> bool:
        """Return whether the answer to the present write is lost."""
        with self._changed:
            left = self.faults.lose_write_answers_count
            if not left:
                return False
            self.faults = dataclasses.replace(
                self.faults, lose_write_answers_count=left - 1
            )
            return True

    def _matching(
        self, prefix: str, after_version: int
    ) -> tuple[state.StoredObject, ...]:
        found: list[state.StoredObject] = []
        for stored in self._objects.values():
            if not stored.key.startswith(prefix):
                continue
            if stored.version <= after_version:
                continue
            found.append(stored)
        return tuple(sorted(found, key=lambda stored: stored.version))


class ObjectApiServer(_http_stand_in.StandInServer):
    """The object API over HTTP."""

    def __init__(self, listen: state.Address) -> None:
        self.api = ObjectApi()
        super().__init__((listen.host, listen.port), _Handler)


class _Handler(_http_stand_in.StandInHandler):
    server: ObjectApiServer

    #: Era in which the present call takes effect.
    _era = 0

    def answer(
        self,
        status: int = 200,
        body: bytes = b'{}',
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Send a whole answer with the era of the store."""
        era = (protocol.OBJECT_API_ERA_HEADER, str(self._era))
        super().answer(status, body, (*headers, era))

    def do_POST(self) -> None:
        body = self.body()
        if self.route == '/control':
            fields = json.loads(body or b'{}')
            self.server.api.faults = dataclasses.replace(
                self.server.api.faults, **fields
            )
            self.answer()
            return
        if self.route == '/control/copy':
            self.server.api.take_copy()
            self.answer()
            return
        if self.route == '/control/restore':
            self.server.api.restore()
            self.answer()
            return
        if self.route == '/control/instances':
            self.server.api.set_instances(protocol.decode_platform_list(body))
            self.answer()
            return
        self.answer_json(404, {})

    def do_GET(self) -> None:
        api = self.server.api
        if self.route == '/control/counts':
            self.answer_json(200, dict(api.counts))
            return
        if not self._admit('read'):
            return
        if self.route == '/instances':
            self.answer(200, protocol.encode_platform_list(api.instances()))
            return
        if self.route == '/objects':
            found = api.list(self.query('prefix'))
            self.answer(200, protocol.encode_objects(found))
            return
        if self.route == '/watch':
            batch = api.watch(
                self.query('prefix'),
                int(self.query('after', '0')),
                int(self.query('wait_ms', '0')) / 1000,
            )
            # The wait may have ended because the store was restored.
            self._era = api.era
            self.answer(200, protocol.encode_watch_batch(batch))
            return
        stored = api.get(self._key())
        if stored is None:
            self.answer_json(404, {})
            return
        self.answer(200, stored.value, (('ETag', f'"{stored.version}"'),))

    def do_PUT(self) -> None:
        body = self.body()
        if not self._admit('write'):
            return
        expected = self.headers.get('If-Match')
        stored = self.server.api.put(
            self._key(),
            body,
            int(expected.strip('"')) if expected is not None else None,
        )
        if stored is None:
            self.answer_json(412, {})
            return
        if self.server.api.lose_next_write_answer():
            self.drop_connection()
            return
        self.answer(200, b'{}', (('ETag', f'"{stored.version}"'),))

    def do_DELETE(self) -> None:
        if not self._admit('write'):
            return
        expected = self.headers.get('If-Match', '"0"')
        if not self.server.api.delete(self._key(), int(expected.strip('"'))):
            self.answer_json(412, {})
            return
        self.answer()

    def _key(self) -> str:
        return urllib.parse.unquote(self.route.removeprefix('/objects/'))

    def _admit(self, kind: str) -> bool:
        api = self.server.api
        # Read before the call takes effect: a write that is lost with the
        # restore must not be reported as one of the new era.
        self._era = api.era
        faults = api.faults
        if faults.hang:
            # The caller's own time limit ends the call.
            while api.faults.hang:
                time.sleep(0.05)
            self.drop_connection()
            return False
        if faults.down:
            self.answer_json(503, {})
            return False
        if faults.delay_ms:
            time.sleep(faults.delay_ms / 1000)
        if not api.within_rate(kind):
            self.answer_json(429, {})
            return False
        return True
