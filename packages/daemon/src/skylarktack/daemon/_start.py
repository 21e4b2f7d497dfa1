"""End of a process whose start fails."""

from collections.abc import Iterator
import contextlib
import os
import traceback

#: Exit code of a process that could not start.
EXIT_NOT_STARTED = 1


@contextlib.contextmanager
def exit_on_error() -> Iterator[None]:
    """End the process if the block fails; the error goes to standard error.

    Threads that the block has started would keep the process alive, with a
    listener that takes connections and answers none.
    """
    try:
        yield
    except Exception:
        try:
            traceback.print_exc()
        finally:
            os._exit(EXIT_NOT_STARTED)
