"""Entry point of ``python -m skylarktack.daemon.forwarding``."""

from skylarktack.daemon import _signals
from skylarktack.daemon.forwarding import _early_front

if __name__ == '__main__':
    signals = _signals.ProcessSignals()
    signals.install(_signals.INSTANCE_SIGNALS)
    front = _early_front.open_front()
    # Imported after the socket is open: the imports take most of the start.
    from skylarktack.daemon.forwarding import main

    main(front, signals)
