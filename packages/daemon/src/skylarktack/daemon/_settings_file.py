"""Reading of a settings file, whatever stands in its place."""

import errno
import os
import stat

#: Largest settings file that is read; usual ones hold a few kilobytes.
MAX_FILE_BYTES = 1024 * 1024


class SettingsFileError(Exception):
    """A settings file cannot be read; holds the place and the cause."""

    def __init__(self, place: str, cause: str) -> None:
        super().__init__(f'{place}: {cause}')
        self.place = place
        self.cause = cause


def read_settings_file(path: str) -> str:
    """Return the text of a settings file without blocking.

    :raises SettingsFileError: if it is no readable regular file of UTF-8.
    """
    try:
        content = _read(path)
    except OSError as error:
        cause = error.strerror or str(error)
        raise SettingsFileError(path, cause) from error
    if len(content) > MAX_FILE_BYTES:
        cause = f'is longer than {MAX_FILE_BYTES} bytes'
        raise SettingsFileError(path, cause)
    try:
        return content.decode('utf-8')
    except UnicodeDecodeError as error:
        line = content.count(b'\n', 0, error.start) + 1
        cause = f'byte 0x{content[error.start]:02x} is not valid UTF-8'
        raise SettingsFileError(f'{path}:{line}', cause) from error


def _read(path: str) -> bytes:
    """Return the content, with one byte more than the limit if it is longer.

    :raises OSError: if it is not a regular file, or reading fails.
    """
    # Without O_NONBLOCK, opening a pipe waits for another process.
    descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    with open(descriptor, 'rb') as file:
        if not stat.S_ISREG(os.fstat(descriptor).st_mode):
            raise OSError(errno.EINVAL, 'is not a regular file')
        return file.read(MAX_FILE_BYTES + 1)
