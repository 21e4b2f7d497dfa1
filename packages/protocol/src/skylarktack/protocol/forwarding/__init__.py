"""Message formats of the forwarding gateway.

Holds the splitter of event streams, the hop-by-hop header fields of HTTP/1.1,
the datagrams between instances and the reader of log lines.
"""

from skylarktack.protocol.forwarding._count_lines import COUNT_EVENT
from skylarktack.protocol.forwarding._count_lines import DROPPED_EVENT
from skylarktack.protocol.forwarding._count_lines import START_EVENT
from skylarktack.protocol.forwarding._count_lines import STOP_EVENT
from skylarktack.protocol.forwarding._count_lines import CountLine
from skylarktack.protocol.forwarding._count_lines import CountRow
from skylarktack.protocol.forwarding._count_lines import read_counts
from skylarktack.protocol.forwarding._event_stream import EventStreamSplitter
from skylarktack.protocol.forwarding._fleet_codec import decode_message
from skylarktack.protocol.forwarding._fleet_codec import encode_message
from skylarktack.protocol.forwarding._headers import connection_bound_names
from skylarktack.protocol.forwarding._headers import without_names
from skylarktack.protocol.forwarding._log_lines import LogLine
from skylarktack.protocol.forwarding._log_lines import decode_log_line

__all__ = [
    'COUNT_EVENT',
    'DROPPED_EVENT',
    'CountLine',
    'CountRow',
    'START_EVENT',
    'STOP_EVENT',
    'read_counts',
    'EventStreamSplitter',
    'LogLine',
    'connection_bound_names',
    'decode_log_line',
    'decode_message',
    'encode_message',
    'without_names',
]
