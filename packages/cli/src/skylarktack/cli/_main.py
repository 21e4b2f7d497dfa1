"""Entry point of ``skylarktack``."""

import pathlib
import sys

import fire

from skylarktack import protocol

#: Exit code for a document that was rejected.
EXIT_INVALID = 2


class Commands:
    """Operators' commands."""

    def check(self, file: str) -> None:
        """Check a configuration document and print all findings.

        :param file: path of the document, JSON with comments.
        """
        text = pathlib.Path(file).read_text(encoding='utf-8')
        decoded = protocol.decode_document(text)
        if decoded.is_ok():
            print(f'{file}: valid')
            return
        for finding in decoded.error:
            print(f'{file}: {finding.place}: {finding.message}')
        sys.exit(EXIT_INVALID)


def main() -> None:
    """Run the command line of ``skylarktack``."""
    fire.Fire(Commands, name='skylarktack')
