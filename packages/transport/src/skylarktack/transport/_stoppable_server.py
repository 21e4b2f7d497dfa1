"""A waitress server that can answer what it has received before it ends.

Its methods run in the server's own thread, but for those marked otherwise.
"""

from collections.abc import Callable
import select
import time
from typing import Any

import waitress.channel
import waitress.server
import waitress.task
import waitress.wasyncore

from skylarktack.transport import _error_channel

#: While the server stops, connections without a request in progress are
#: closed after this time without traffic. A caller that has just connected
#: needs some of it to send its request.
QUIET_S = 1.0


class AnnouncingTask(waitress.task.WSGITask):
    """Serves a request and announces the close if the server is stopping."""

    def build_response_header(self) -> bytes:
        """Return the encoded head of the response."""
        channel: Any = self.channel
        # The close would drop a request that is pipelined behind this one.
        is_last = len(channel.requests) <= 1 and channel.request is None
        if channel.server.is_stopping and is_last:
            self.set_close_on_finish()
        head: bytes = super().build_response_header()
        return head


class StoppableChannel(_error_channel.TypedErrorChannel):
    """A connection of a server that can stop."""

    task_class = AnnouncingTask

    def is_idle(self, now_s: float) -> bool:
        """Return whether a close would cut neither a request nor an answer.

        :param now_s: wall clock time, as waitress measures activity.
        """
        # Requests go first: a response is in the output before its request
        # leaves the queue.
        if self.requests or self.total_outbufs_len or self.has_refused:
            return False
        if now_s < self.last_activity + QUIET_S:
            return False
        connected: Any = self.socket
        return not _has_received(connected)


class StoppableServer(waitress.server.TcpWSGIServer):
    """A server that stops to accept before it ends."""

    channel_class = StoppableChannel

    # The type stubs are wrong about both: open connections by descriptor, and
    # the pipe that wakes the server's thread.
    active_channels: Any
    trigger: Any

    #: Whether responses announce the close of their connection.
    is_stopping = False

    def call_in_thread(self, step: Callable[[], None]) -> None:
        """Run a step in the server's thread soon; for other threads."""
        self.trigger.pull_trigger(step)

    def stop_accepting(self) -> None:
        """Accept the connections that wait, then close the listener.

        Closing it first would reset them, with their requests.
        """
        self.is_stopping = True
        for _ in range(self.adj.backlog):
            if not _has_received(self.socket):
                break
            self.handle_accept()
        # Keeps the trigger open, by which threads report their answers.
        waitress.wasyncore.dispatcher.close(self)

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        now_s = time.time()
        for channel in self.active_channels.values():
            if channel.is_idle(now_s):
                channel.will_close = True

    def close_all(self) -> None:
        """Close all connections, whatever is in progress on them."""
        for channel in tuple(self.active_channels.values()):
            waitress.channel.HTTPChannel.handle_close(channel)

    def end(self) -> None:
        """End the server's thread; no worker may be left."""
        self.trigger.close()


def _has_received(readable: Any) -> bool:
    """Return whether bytes or connections wait in a socket."""
    poll = select.poll()
    poll.register(readable, select.POLLIN)
    return bool(poll.poll(0))
