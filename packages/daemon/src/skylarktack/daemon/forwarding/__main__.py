"""Entry point of ``python -m skylarktack.daemon.forwarding``."""

import signal

if __name__ == '__main__':
    # SIGHUP would end the process. The settings are read later, so there is
    # nothing to reload yet.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from skylarktack.daemon import _signals  # noqa: E402  SIGHUP is ignored first
from skylarktack.daemon.forwarding import _early_front  # noqa: E402

if __name__ == '__main__':
    signals = _signals.ProcessSignals()
    signals.install(_signals.INSTANCE_SIGNALS)
    front = _early_front.open_front()
    # Imported after the socket is open: the imports take most of the start.
    from skylarktack.daemon.forwarding import main

    main(front, signals)
