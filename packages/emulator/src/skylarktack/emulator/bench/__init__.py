"""Benchmarks; each figure is one JSON line on standard output."""

from skylarktack.emulator.bench._figures import Figure
from skylarktack.emulator.bench._figures import percentile

__all__ = ['Figure', 'percentile']
