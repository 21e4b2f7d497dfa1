"""Logs the counts of finished requests at intervals."""

import threading

from skylarktack.coordination import forwarding
from skylarktack.coordination.ports import Clock

#: Interval of the log lines. What was counted since the last line is lost
#: with a killed instance.
COUNT_INTERVAL_S = 1.0


class RequestCountLog:
    """Writes one line of counts in each interval with a change."""

    def __init__(
        self,
        clock: Clock,
        log: forwarding.EventLog,
        accounts: forwarding.RequestAccounts,
        gateway: forwarding.Gateway,
        failure_domain: str,
    ) -> None:
        self._clock = clock
        self._log = log
        self._accounts = accounts
        self._gateway = gateway
        self._failure_domain = failure_domain
        self._was_active = False
        self._never_set = threading.Event()

    def run(self) -> None:
        """Log the counts until the process ends."""
        while True:
            self._clock.wait(self._never_set, COUNT_INTERVAL_S)
            self.flush()

    def flush(self) -> None:
        """Log the counts since the last line.

        A line without counts is written only to tell that no request is in
        progress any more.
        """
        rows = self._accounts.take()
        stream_count = self._gateway.stream_count()
        active_count = self._gateway.active_count()
        if not rows and not active_count and not self._was_active:
            return
        self._was_active = active_count > 0
        self._log.record(
            forwarding.RequestsCounted(
                domain=self._failure_domain,
                active_streams=stream_count,
                active_calls=max(0, active_count - stream_count),
                rows=tuple(_row(count) for count in rows),
            )
        )


def _row(count: forwarding.RequestCount) -> tuple[object, ...]:
    sums = count.sums
    return (
        count.key.route,
        count.key.organisation,
        count.key.result.value,
        count.key.cause,
        sums.request_count,
        sums.extra_send_count,
        sums.reread_tokens,
        round(sums.queued_ms),
        round(sums.waited_ms),
        round(sums.streamed_ms),
        sums.event_count,
    )
