"""The structured log: one JSON line per event, never blocking."""

import json
import os
import threading

from skylarktack.coordination import forwarding
from skylarktack.transport import forwarding as transport


class TestLineLog:
    """Lines are queued and written by a separate task."""

    def test_the_format_of_a_line(self) -> None:
        """Guards against lines without component, time or fields."""
        reading, writing = os.pipe()
        log = transport.LineLog('edge-a-1', writing)
        task = threading.Thread(target=log.run)
        task.start()
        log.record(forwarding.StoreUnavailable('targets', 'no answer'))
        log.close(20.0)
        task.join()
        line = json.loads(os.read(reading, 65536))
        assert line.pop('time_s') > 0
        assert line == {
            'instance': 'edge-a-1',
            'part': 'store',
            'event': 'store unavailable',
            'kind': 'targets',
            'cause': 'no answer',
        }
        os.close(reading)
        os.close(writing)

    def test_dropped_lines_are_counted(self) -> None:
        """Guards against a queue that grows without bound."""
        reading, writing = os.pipe()
        log = transport.LineLog('edge-a-1', writing)
        for _ in range(5000):
            log.record(forwarding.TargetRemoved('target'))
        task = threading.Thread(target=log.run)
        task.start()
        received = b''
        while received.count(b'\n') < 2001:
            received += os.read(reading, 65536)
        lines = [json.loads(line) for line in received.splitlines()]
        dropped = [line for line in lines if line['part'] == 'log']
        assert [line['count'] for line in dropped] == [3000]
        log.close(20.0)
        task.join()
        os.close(reading)
        os.close(writing)

    def test_a_closed_output_does_not_end_the_log_task(self) -> None:
        """Guards against an instance that fails when its log reader ends."""
        reading, writing = os.pipe()
        os.close(reading)
        log = transport.LineLog('edge-a-1', writing)
        task = threading.Thread(target=log.run)
        task.start()
        log.record(forwarding.TargetRemoved('target'))
        log.close(20.0)
        task.join(20.0)
        assert not task.is_alive()
        os.close(writing)
