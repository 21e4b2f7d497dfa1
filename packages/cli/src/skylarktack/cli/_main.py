"""Entry point of ``skylarktack``."""

import fire

from skylarktack.cli import _commands


def main() -> None:
    """Run the command line of ``skylarktack``."""
    fire.Fire(_commands.Commands, name='skylarktack')
