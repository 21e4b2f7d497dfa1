"""Scripted targets and callers for forwarding tests."""

import collections
import dataclasses
import math

from skylarktack.coordination import forwarding
from skylarktack.coordination.fakes._stepping_clock import SteppingClock
from skylarktack.state import forwarding as data


@dataclasses.dataclass(frozen=True)
class ScriptedEvent:
    """A response event that arrives some time after the request was sent."""

    #: Seconds after the request was sent.
    after_s: float

    event: forwarding.ResponseEvent


@dataclasses.dataclass(frozen=True)
class SentRequest:
    """A request that the code under test sent."""

    request: data.FrontRequest

    #: Target and other context that the instance added.
    delivery: data.DispatchContext

    #: Monotonic time at which it was sent.
    at_s: float


class ScriptedExchange:
    """An exchange whose response follows a script."""

    def __init__(
        self, clock: SteppingClock, events: tuple[ScriptedEvent, ...]
    ) -> None:
        self._clock = clock
        self._pending = collections.deque(
            (clock.monotonic_s() + scripted.after_s, scripted.event)
            for scripted in events
        )
        self.is_closed = False

    def next_at_s(self) -> float:
        """Return when the next event arrives; infinite if none is left."""
        return self._pending[0][0] if self._pending else math.inf

    def receive(self) -> tuple[forwarding.ResponseEvent, ...]:
        """Return the events that have arrived, without waiting."""
        arrived = []
        now_s = self._clock.monotonic_s()
        while self._pending and self._pending[0][0] <= now_s:
            arrived.append(self._pending.popleft()[1])
        return tuple(arrived)

    def close(self) -> None:
        """Record that the connection was closed."""
        self.is_closed = True


class ScriptedCaller:
    """A caller that records what it receives and may disconnect."""

    def __init__(self, clock: SteppingClock) -> None:
        self._clock = clock
        self.disconnects_at_s = math.inf
        self.head: data.ResponseHead | None = None
        self.received = b''
        self.received_at_s: list[float] = []
        self.held_bytes = 0

    def fileno(self) -> int:
        """Return -1: there is no file descriptor."""
        return -1

    def has_disconnected(self) -> bool:
        """Return whether the scripted disconnect time has passed."""
        return self._clock.monotonic_s() >= self.disconnects_at_s

    def hold_response(self, size_bytes: int) -> None:
        """Record the size of a response before it is returned."""
        self.held_bytes += size_bytes

    def start_stream(self, head: data.ResponseHead) -> bool:
        """Record the response head."""
        self.head = head
        return not self.has_disconnected()

    def send_events(self, events: bytes) -> bool:
        """Record received events and their time."""
        self.received += events
        self.received_at_s.append(self._clock.monotonic_s())
        return not self.has_disconnected()


class ScriptedTargetClient:
    """Client of targets that respond by script; waits advance the clock."""

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
        self.unresponsive: set[str] = set()
        #: Targets whose addresses refuse connections.
        self.crashed: set[str] = set()
        self.queued_count = 0
        self.reports: dict[str, data.TargetReport] = {}
        self.probed: list[str] = []
        self.asked_for_parts: list[str] = []
        self.parts: dict[str, frozenset[str]] = {}
        self.copy_orders: list[tuple[float, data.CopyOrder]] = []
        self.copy_script: (
            tuple[ScriptedEvent, ...] | forwarding.ExchangeFault
        ) = ()
        self.released_copies: list[data.RunCopy] = []

    def script(
        self,
        target: str,
        *responses: tuple[ScriptedEvent, ...] | forwarding.ExchangeFault,
    ) -> None:
        """Set the responses of a target to its next requests, in order."""
        self._scripts[target] = collections.deque(responses)

    def sent_to(self) -> list[str]:
        """Return the target name of each sent request, in order."""
        return [sent.delivery.target.name for sent in self.sent]

    def send(
        self,
        request: data.FrontRequest,
        delivery: data.DispatchContext,
        connect_timeout_s: float,
    ) -> ScriptedExchange | forwarding.ExchangeFault:
        """Record the request and start the target's next scripted response."""
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
        """Advance the clock to the next event, disconnect or timeout."""
        now_s = self._clock.monotonic_s()
        event_times_s = [now_s + max(0.0, timeout_s)]
        scripted = []
        for exchange in exchanges:
            if isinstance(exchange, ScriptedExchange):
                scripted.append(exchange)
                event_times_s.append(exchange.next_at_s())
        if isinstance(caller, ScriptedCaller):
            event_times_s.append(caller.disconnects_at_s)
        # The extra nanosecond keeps a rounded sum from falling short of
        # the event time.
        self._clock.advance(max(0.0, min(event_times_s) - now_s) + 1e-9)
        later_s = self._clock.monotonic_s()
        ready = []
        for exchange in scripted:
            if exchange.next_at_s() <= later_s:
                ready.append(exchange)
        return forwarding.WaitResult(tuple(ready), caller.has_disconnected())

    def start_copy(
        self, order: data.CopyOrder, connect_timeout_s: float
    ) -> ScriptedExchange | forwarding.ExchangeFault:
        """Record the order and start its scripted response."""
        self.copy_orders.append((self._clock.monotonic_s(), order))
        script = self.copy_script
        if isinstance(script, forwarding.ExchangeFault):
            return script
        return ScriptedExchange(self._clock, script)

    def decode_copy(self, body: bytes) -> str | None:
        """Return the body as the handle; None if it is empty."""
        return body.decode() or None

    def release_copy(
        self, engine: data.ListedTarget, copy: data.RunCopy
    ) -> None:
        """Record the copy that is freed."""
        self.released_copies.append(copy)

    def cached_parts(
        self, target: data.ListedTarget, timeout_s: float
    ) -> frozenset[str]:
        """Record the question and return the parts set by the test."""
        self.asked_for_parts.append(target.name)
        return self.parts.get(target.name, frozenset())

    def probe(
        self, target: data.ListedTarget, timeout_s: float
    ) -> data.TargetReport | None:
        """Return a report, or None if the target is unresponsive."""
        self.probed.append(target.name)
        if target.name in self.unresponsive:
            self._clock.advance(timeout_s)
            return None
        report = data.TargetReport(self.queued_count)
        return self.reports.get(target.name, report)

    def refuses_connections(
        self, target: data.ListedTarget, timeout_s: float
    ) -> bool:
        """Return whether the test has crashed the target."""
        return target.name in self.crashed


class RecordingLog:
    """Records log events for assertions in tests."""

    def __init__(self) -> None:
        self.events: list[forwarding.LogEvent] = []

    def record(self, event: forwarding.LogEvent) -> None:
        """Append one event."""
        self.events.append(event)

    def messages(self, part: str) -> list[str]:
        """Return the messages of one component."""
        return [event.message for event in self.events if event.part == part]
