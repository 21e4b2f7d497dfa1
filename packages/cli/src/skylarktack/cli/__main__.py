"""Entry point of ``python -m skylarktack.cli``."""

from skylarktack.cli import main

if __name__ == '__main__':
    main()
