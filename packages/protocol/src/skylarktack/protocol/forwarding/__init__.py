"""Message formats of the forwarding gateway.

Holds the splitter of event streams, the header fields of HTTP/1.1 connections,
the datagrams between instances and the readers of log lines.
"""

from typing import TYPE_CHECKING

from skylarktack.protocol.forwarding._event_stream import EventStreamSplitter
from skylarktack.protocol.forwarding._fleet_codec import decode_message
from skylarktack.protocol.forwarding._fleet_codec import encode_message
from skylarktack.protocol.forwarding._headers import connection_bound_names
from skylarktack.protocol.forwarding._headers import has_framing
from skylarktack.protocol.forwarding._headers import without_names
from skylarktack.state import lazy_exports

if TYPE_CHECKING:
    from skylarktack.protocol.forwarding._count_lines import COUNT_EVENT
    from skylarktack.protocol.forwarding._count_lines import DROPPED_EVENT
    from skylarktack.protocol.forwarding._count_lines import START_EVENT
    from skylarktack.protocol.forwarding._count_lines import STOP_EVENT
    from skylarktack.protocol.forwarding._count_lines import CountLine
    from skylarktack.protocol.forwarding._count_lines import CountRow
    from skylarktack.protocol.forwarding._count_lines import read_counts
    from skylarktack.protocol.forwarding._log_lines import LogLine
    from skylarktack.protocol.forwarding._log_lines import decode_log_line

__all__ = [
    'COUNT_EVENT',
    'CountLine',
    'CountRow',
    'DROPPED_EVENT',
    'EventStreamSplitter',
    'LogLine',
    'START_EVENT',
    'STOP_EVENT',
    'connection_bound_names',
    'decode_log_line',
    'decode_message',
    'encode_message',
    'has_framing',
    'read_counts',
    'without_names',
]

# Only the command line reads log lines; instances start faster without.
_MODULE_BY_NAME = {
    'COUNT_EVENT': '_count_lines',
    'CountLine': '_count_lines',
    'CountRow': '_count_lines',
    'DROPPED_EVENT': '_count_lines',
    'LogLine': '_log_lines',
    'START_EVENT': '_count_lines',
    'STOP_EVENT': '_count_lines',
    'decode_log_line': '_log_lines',
    'read_counts': '_count_lines',
}

__getattr__ = lazy_exports(__name__, _MODULE_BY_NAME)
