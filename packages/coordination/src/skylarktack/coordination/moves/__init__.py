"""Planned moves between versions."""

from skylarktack.coordination.moves._chooser import RouteVersionChooser

__all__ = [
    'RouteVersionChooser',
]
