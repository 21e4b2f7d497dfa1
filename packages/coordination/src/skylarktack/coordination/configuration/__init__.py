"""The configuration in effect."""

from skylarktack.coordination.configuration._holder import ConfigurationHolder

__all__ = [
    'ConfigurationHolder',
]
