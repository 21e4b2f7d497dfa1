"""Process of a forwarding instance: wiring, readiness, metrics, shutdown."""

from typing import TYPE_CHECKING

from skylarktack.state import lazy_exports

if TYPE_CHECKING:
    from skylarktack.daemon.forwarding._instance import ForwardingInstance
    from skylarktack.daemon.forwarding._main import main
    from skylarktack.daemon.forwarding._modules import load_modules

__all__ = [
    'ForwardingInstance',
    'load_modules',
    'main',
]

# The front socket is opened before the other modules are imported.
_MODULE_BY_NAME = {
    'ForwardingInstance': '_instance',
    'main': '_main',
    'load_modules': '_modules',
}

__getattr__ = lazy_exports(__name__, _MODULE_BY_NAME)
