"""Lazy re-exports of a package.

A forwarding instance needs only a few modules of each package; importing all
of them takes more than a second on half a core.
"""

from collections.abc import Callable
from collections.abc import Mapping
import importlib
import sys


def lazy_exports(
    package: str, module_by_name: Mapping[str, str]
) -> Callable[[str], object]:
    """Return a module ``__getattr__`` that imports names on first access.

    :param package: name of the package that re-exports the names.
    :param module_by_name: submodule of the package that defines each name.
    :raises AttributeError: when called with a name that is not in the map.
    """

    def load_name(name: str) -> object:
        submodule = module_by_name.get(name)
        if submodule is None:
            raise AttributeError(
                f'module {package!r} has no attribute {name!r}'
            )
        module = importlib.import_module(f'{package}.{submodule}')
        value: object = getattr(module, name)
        setattr(sys.modules[package], name, value)
        return value

    return load_name
