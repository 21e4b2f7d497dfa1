"""Entry point of ``python -m skylarktack.daemon``."""

from skylarktack.daemon import main

if __name__ == '__main__':
    main()
