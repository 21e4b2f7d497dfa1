"""Replacements of the ports in memory, for tests and examples."""

from skylarktack.coordination.fakes._clock import ManualClock
from skylarktack.coordination.fakes._codecs import PlainDigestCodec
from skylarktack.coordination.fakes._codecs import PlainLoanCodec
from skylarktack.coordination.fakes._metrics import MemoryMetrics
from skylarktack.coordination.fakes._peers import LocalPeerHub
from skylarktack.coordination.fakes._peers import LocalPeerNetwork
from skylarktack.coordination.fakes._store import MemoryObjectStore
from skylarktack.coordination.fakes._store import StoreFaults

__all__ = [
    'LocalPeerHub',
    'LocalPeerNetwork',
    'ManualClock',
    'MemoryMetrics',
    'MemoryObjectStore',
    'PlainDigestCodec',
    'PlainLoanCodec',
    'StoreFaults',
]
