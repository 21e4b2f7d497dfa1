"""Entry point of ``python -m skylarktack.daemon.forwarding``."""

from skylarktack.daemon.forwarding import main

if __name__ == '__main__':
    main()
