"""Imports what an instance can need, before it serves callers.

An import in the middle of a request would delay it, and one that fails would
cost its answer.
"""

from types import ModuleType

from skylarktack import platform
from skylarktack import protocol
from skylarktack.coordination import moves
from skylarktack.transport import forwarding as transport

#: Lazily exported names that an instance uses while it runs. The rest of
#: ``protocol`` and ``moves`` serves the product's own front end, and needs
#: libraries that are not installed with an instance.
_NAMES_BY_PACKAGE: tuple[tuple[ModuleType, tuple[str, ...]], ...] = (
    (platform, tuple(platform.__all__)),
    (transport, tuple(transport.__all__)),
    (protocol, ('decode_json',)),
    (moves, ('Judge', 'Judgement', 'SequentialJudge', 'latency_sums')),
)


def load_modules() -> None:
    """Import each module that serving a caller can reach.

    The metrics library is left out: it is imported on the first scrape.

    :raises ImportError: if a module or a library is missing.
    """
    for package, names in _NAMES_BY_PACKAGE:
        for name in names:
            getattr(package, name)
