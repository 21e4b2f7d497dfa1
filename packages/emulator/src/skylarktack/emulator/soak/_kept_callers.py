"""Callers that keep their connections while the configuration changes."""

import dataclasses
import random
import signal
import subprocess
import threading
import time

import h11

from skylarktack.emulator import platform
from skylarktack.emulator.soak import _callers
from skylarktack.emulator.soak import _configuration
from skylarktack.emulator.soak import _kept_records

RequestForm = _kept_records.RequestForm
KeptEnding = _kept_records.KeptEnding

#: Share of the idle timeout after which callers still use a connection, and
#: the shares of that time for which they leave it idle.
REUSE_SHARE = 0.8
IDLE_SHARES = (0.02, 0.1, 0.3, 0.7, 0.9, 0.97)

#: Time limit that callers name for a call.
TIME_LIMIT_MS = 3000

#: Most events of a stream.
EVENT_LIMIT_COUNT = 60

#: Longest pause between two parts of a long body.
MAX_PART_PAUSE_S = 0.1

#: Pause after a connection that could not be opened.
RETRY_S = 0.1

#: Time in which the end of a killed process is known.
KILL_CHECK_S = 1.0

#: Interval at which an idle caller looks whether its connection has ended,
#: or it has to end itself.
IDLE_CHECK_S = 0.25

_OK_STATUS = 200

#: Forms with their weights.
_FORM_WEIGHTS = {
    RequestForm.CALL: 8,
    RequestForm.CHUNKED: 4,
    RequestForm.STREAM: 3,
    RequestForm.PIPELINED: 4,
    RequestForm.LONG_BODY: 1,
    RequestForm.HALF_CLOSED: 1,
}


class _Use:
    """A caller's use of one connection to one process."""

    def __init__(
        self,
        instance: platform.PlatformInstance,
        process: subprocess.Popen[bytes],
        connection: platform.KeptConnection,
    ) -> None:
        self.instance = instance
        self.process = process
        self.connection = connection
        self.idle_since_s = time.monotonic()
        self.is_usable = True

        #: Whether a response has announced the end of the connection.
        self.is_announced = False


@dataclasses.dataclass(frozen=True)
class _Result:
    """How a call ended."""

    ending: KeptEnding

    #: None without a whole answer; then what has ended the call.
    answer: platform.Answer | None = None
    error: str = ''


class KeptCallers:
    """Threads that keep a connection each and use it again and again."""

    def __init__(
        self,
        deployment: platform.PlatformDeployment,
        editor: _configuration.ConfigurationEditor,
        callers: _callers.Callers,
        seed: int,
    ) -> None:
        self._deployment = deployment
        self._editor = editor
        self._callers = callers
        self._seed = seed
        self._started_s = time.monotonic()
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._threads: list[threading.Thread] = []
        self.records: list[_kept_records.KeptRecord] = []
        self.early_ends: list[_kept_records.EarlyEnd] = []

    def start(self, count: int) -> None:
        """Start callers."""
        for number in range(count):
            draw = random.Random(f'{self._seed}/kept/{number}')
            thread = threading.Thread(target=self._run, args=(draw,))
            thread.start()
            self._threads.append(thread)

    def stop(self) -> None:
        """Let each caller finish the request that it has sent."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, draw: random.Random) -> None:
        while not self._stopped.is_set():
            instance = draw.choice(self._deployment.instances)
            process = instance.process
            try:
                connection = platform.KeptConnection(instance.address)
            except OSError:
                time.sleep(RETRY_S)
                continue
            with connection:
                if process is None or process is not instance.process:
                    continue
                self._use(draw, _Use(instance, process, connection))

    def _use(self, draw: random.Random, use: _Use) -> None:
        """Send requests on one connection until it ends."""
        forms = tuple(_FORM_WEIGHTS)
        weights = tuple(_FORM_WEIGHTS.values())
        while use.is_usable and not self._stopped.is_set():
            if use.connection.has_ended():
                self._record_early_end(use)
                return
            form = draw.choices(forms, weights)[0]
            if form is RequestForm.STREAM:
                self._stream(draw, use)
            else:
                self._call(draw, use, form)
            use.idle_since_s = time.monotonic()
            if use.is_usable:
                self._stay_idle(draw, use)

    def _stay_idle(self, draw: random.Random, use: _Use) -> None:
        """Leave a connection idle for a share of the time it may be used."""
        share = draw.choice(IDLE_SHARES)
        while not self._stopped.is_set():
            options = self._editor.options
            reuse_s = REUSE_SHARE * options.idle_timeout_ms / 1000
            idle_s = time.monotonic() - use.idle_since_s
            if idle_s > reuse_s:
                use.is_usable = False
                return
            if idle_s >= share * reuse_s or use.connection.has_ended():
                return
            wait_s = min(IDLE_CHECK_S, share * reuse_s - idle_s)
            self._editor.wait_changed(options, wait_s)

    def _call(self, draw: random.Random, use: _Use, form: RequestForm) -> None:
        count = 2 if form is RequestForm.PIPELINED else 1
        attempts = tuple(self._attempt(draw, form) for _ in range(count))
        pause_s = 0.0
        if form is RequestForm.LONG_BODY:
            pause_s = draw.uniform(0.0, MAX_PART_PAUSE_S)
        sent_at_s = time.monotonic()
        exchanges = use.connection.send(attempts, pause_s)
        if form is RequestForm.HALF_CLOSED:
            use.connection.end_sending()
            use.is_usable = False
        following_bytes = b''
        for attempt, exchange in zip(attempts, exchanges, strict=True):
            exchange.receive_first(following_bytes)
            result = _read(use, exchange)
            following_bytes = exchange.following_bytes
            self._record(
                use, attempt, form, result.ending, sent_at_s, result.error
            )
            self._record_call(use, attempt, sent_at_s, result.answer)

    def _attempt(
        self, draw: random.Random, form: RequestForm
    ) -> platform.Attempt:
        body = b'body'
        if form is RequestForm.LONG_BODY:
            limit_bytes = self._editor.options.max_body_bytes
            body = bytes(limit_bytes + draw.choice((-1, 0, 0, 1)))
        return platform.Attempt(
            draw.choice(('book', 'peek')),
            platform.new_attempt_id(),
            time_limit_ms=TIME_LIMIT_MS,
            body=body,
            is_chunked=form is RequestForm.CHUNKED or draw.random() < 0.1,
        )

    def _stream(self, draw: random.Random, use: _Use) -> None:
        attempt = platform.Attempt(
            'digest',
            platform.new_attempt_id(),
            subject=f'{draw.getrandbits(48):012x}',
            event_count=draw.randrange(5, EVENT_LIMIT_COUNT),
        )
        sent_at_s = time.monotonic()
        (exchange,) = use.connection.send((attempt,))
        events: list[str] = []
        refusals: list[platform.Answer] = []
        ending = KeptEnding.ANSWERED
        error = ''
        try:
            head = exchange.read_head()
            if head.status_code != _OK_STATUS:
                refusals.append(exchange.read_answer())
                use.is_usable = not _announces_end(refusals[0])
            else:
                events.extend(exchange.events())
                use.is_usable = (b'connection', b'close') not in head.headers
        except (OSError, h11.RemoteProtocolError) as broken:
            error = repr(broken)
            ending = _ending(use, exchange)
            use.is_usable = False
        is_complete = not refusals and not error
        self._record(
            use, attempt, RequestForm.STREAM, ending, sent_at_s, error
        )
        self._callers.record_stream(
            _callers.StreamRecord(
                (attempt,), tuple(events), is_complete, tuple(refusals)
            )
        )

    def _record(
        self,
        use: _Use,
        attempt: platform.Attempt,
        form: RequestForm,
        ending: KeptEnding,
        sent_at_s: float,
        error: str,
    ) -> None:
        record = _kept_records.KeptRecord(
            attempt.attempt_id,
            use.instance.name,
            form,
            ending,
            idle_s=sent_at_s - use.idle_since_s,
            sent_at_s=sent_at_s - self._started_s,
            duration_s=time.monotonic() - sent_at_s,
            error=error,
            look_ms=use.connection.look_ms,
        )
        with self._lock:
            self.records.append(record)

    def _record_call(
        self,
        use: _Use,
        attempt: platform.Attempt,
        sent_at_s: float,
        answer: platform.Answer | None,
    ) -> None:
        size_bytes = len(attempt.body)
        record = _callers.CallRecord(
            attempt,
            use.instance.name,
            use.process.pid,
            sent_at_s,
            time.monotonic(),
            answer,
            may_be_denied=size_bytes > _configuration.MIN_BODY_LIMIT_BYTES,
        )
        self._callers.record_call(record)

    def _record_early_end(self, use: _Use) -> None:
        idle_s = time.monotonic() - use.idle_since_s
        timeout_ms = self._editor.options.idle_timeout_ms
        end = _kept_records.EarlyEnd(
            use.instance.name, idle_s, timeout_ms, use.process
        )
        with self._lock:
            self.early_ends.append(end)


def _read(use: _Use, exchange: platform.Exchange) -> _Result:
    """Read the answer to a call."""
    if use.is_announced:
        return _Result(KeptEnding.ANNOUNCED)
    try:
        answer = exchange.read_answer()
    except (OSError, h11.RemoteProtocolError) as error:
        use.is_usable = False
        return _Result(_ending(use, exchange), error=repr(error))
    if _announces_end(answer):
        use.is_announced = True
        use.is_usable = False
    return _Result(KeptEnding.ANSWERED, answer)


def _ending(use: _Use, exchange: platform.Exchange) -> KeptEnding:
    """Return why a request has no whole answer."""
    if _was_killed(use.process):
        return KeptEnding.KILLED
    if exchange.has_head:
        return KeptEnding.TRUNCATED
    if use.connection.has_crossed:
        return KeptEnding.CROSSED
    if not use.connection.has_sent_all:
        return KeptEnding.NOT_WHOLE
    return KeptEnding.UNANSWERED


def _was_killed(process: subprocess.Popen[bytes]) -> bool:
    end_s = time.monotonic() + KILL_CHECK_S
    while process.poll() is None and time.monotonic() < end_s:
        time.sleep(0.01)
    return process.returncode == -signal.SIGKILL


def _announces_end(answer: platform.Answer) -> bool:
    headers = {name.lower(): value for name, value in answer.headers.items()}
    return headers.get('connection', '').lower() == 'close'
