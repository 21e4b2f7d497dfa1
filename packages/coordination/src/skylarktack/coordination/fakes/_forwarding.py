"""Scripted targets and callers for tests of forwarding."""

import collections
import dataclasses
import math

from skylarktack.coordination import forwarding
from skylarktack.coordination.fakes._stepping_clock import SteppingClock
from skylarktack.state import forwarding as data


@dataclasses.dataclass(frozen=True)
class ScriptedEvent:
    """Something that arrives some time after a request was sent."""

    #: Time after the send.
    after_s: float

    #: What arrives.
    event: forwarding.ResponseEvent


@dataclasses.dataclass(frozen=True)
class SentRequest:
    """A request that the code under test sent."""

    #: The request.
    request: data.FrontRequest

    #: What the front end added.
    delivery: data.DispatchContext

    #: Time of the send.
    at_s: float


class ScriptedExchange:
    """An exchange whose answer follows a script."""

    def __init__(
        self, clock: SteppingClock, events: tuple[ScriptedEvent, ...]
    ) -> None:
        self._clock = clock
        self._pending = collections.deque(
            (clock.monotonic_s() + step.after_s, step.event) for step in events
        )
        self.is_closed = False

    def next_at_s(self) -> float:
        """Return when something arrives next."""
        return self._pending[0][0] if self._pending else math.inf

    def receive(self) -> tuple[forwarding.ResponseEvent, ...]:
        """Return what has arrived, without waiting; may be empty."""
        arrived = []
        now_s = self._clock.monotonic_s()
        while self._pending and self._pending[0][0] <= now_s:
            arrived.append(self._pending.popleft()[1])
        return tuple(arrived)

    def close(self) -> None:
        """Note that the connection was closed."""
        self.is_closed = True


class ScriptedCaller:
    """A caller that records what it receives and may leave."""

    def __init__(self, clock: SteppingClock) -> None:
        self._clock = clock
        self.leaves_at_s = math.inf
        self.head: data.ResponseHead | None = None
        self.received = b''
        self.received_at_s: list[float] = []

    def fileno(self) -> int:
        """Return no descriptor."""
        return -1

    def has_disconnected(self) -> bool:
        """Return whether the time of leaving has come."""
        return self._clock.monotonic_s() >= self.leaves_at_s

    def start_stream(self, head: data.ResponseHead) -> bool:
        """Record the head."""
        self.head = head
        return not self.has_disconnected()

    def send_events(self, events: bytes) -> bool:
        """Record events."""
        self.received += events
        self.received_at_s.append(self._clock.monotonic_s())
        return not self.has_disconnected()


class ScriptedTargetClient:
    """Sends to targets that answer by script; waits move the clock."""

    def __init__(self, clock: SteppingClock) -> None:
        self._clock = clock
        self._scripts: dict[
            str,
            collections.deque[
                tuple[ScriptedEvent, ...] | forwarding.ExchangeFault
            ],
        ] = {}
        self.sent: list[SentRequest] = []
        self.exchanges: list[ScriptedExchange] = []
        self.silent: set[str] = set()
        self.queued_count = 0
        self.reports: dict[str, data.TargetReport] = {}
        self.probed: list[str] = []

    def script(
        self,
        target: str,
        *answers: tuple[ScriptedEvent, ...] | forwarding.ExchangeFault,
    ) -> None:
        """Set what the target answers to its next requests, in order."""
        self._scripts[target] = collections.deque(answers)

    def sent_to(self) -> list[str]:
        """Return the names of the targets in the order of the sends."""
        return [sent.delivery.target.name for sent in self.sent]

    def send(
        self,
        request: data.FrontRequest,
        delivery: data.DispatchContext,
        connect_timeout_s: float,
    ) -> ScriptedExchange | forwarding.ExchangeFault:
        """Record the request and start the next script of the target."""
        now_s = self._clock.monotonic_s()
        self.sent.append(SentRequest(request, delivery, now_s))
        scripts = self._scripts.get(delivery.target.name)
        script = scripts.popleft() if scripts else ()
        if isinstance(script, forwarding.ExchangeFault):
            return script
        exchange = ScriptedExchange(self._clock, script)
        self.exchanges.append(exchange)
        return exchange

    def wait(
        self,
        exchanges: tuple[forwarding.Exchange, ...],
        caller: forwarding.Caller,
        timeout_s: float,
    ) -> forwarding.WaitResult:
        """Move the clock to what happens first."""
        now_s = self._clock.monotonic_s()
        moments = [now_s + max(0.0, timeout_s)]
        scripted = []
        for exchange in exchanges:
            if isinstance(exchange, ScriptedExchange):
                scripted.append(exchange)
                moments.append(exchange.next_at_s())
        if isinstance(caller, ScriptedCaller):
            moments.append(caller.leaves_at_s)
        # The small step keeps a rounded sum from falling short of a moment.
        self._clock.advance(max(0.0, min(moments) - now_s) + 1e-9)
        later_s = self._clock.monotonic_s()
        ready = []
        for exchange in scripted:
            if exchange.next_at_s() <= later_s:
                ready.append(exchange)
        return forwarding.WaitResult(tuple(ready), caller.has_disconnected())

    def probe(
        self, target: data.ListedTarget, timeout_s: float
    ) -> data.TargetReport | None:
        """Answer unless the target was made silent."""
        self.probed.append(target.name)
        if target.name in self.silent:
            self._clock.advance(timeout_s)
            return None
        report = data.TargetReport(self.queued_count)
        return self.reports.get(target.name, report)


class RecordingLog:
    """Keeps log events for tests."""

    def __init__(self) -> None:
        self.events: list[forwarding.LogEvent] = []

    def record(self, event: forwarding.LogEvent) -> None:
        """Keep one event."""
        self.events.append(event)

    def messages(self, part: str) -> list[str]:
        """Return the messages of one part."""
        return [event.message for event in self.events if event.part == part]
