"""Settings of an instance, read at its start and again on request."""

import dataclasses

from skylarktack import platform
from skylarktack import state
from skylarktack.coordination import forwarding
from skylarktack.daemon import _settings_file
from skylarktack.state import forwarding as data

#: Maximum number of findings in one log line.
LOGGED_FINDING_COUNT = 20


class InvalidSettingsError(Exception):
    """The settings cannot be used; ``findings`` holds each place and cause."""

    def __init__(self, findings: tuple[state.Finding, ...]) -> None:
        super().__init__('; '.join(str(finding) for finding in findings))
        self.findings = findings


@dataclasses.dataclass(frozen=True)
class SettingsRejected(forwarding.LogEvent):
    """The settings that were read again cannot be used by a restart."""

    part = 'instance'
    message = 'settings rejected'

    #: Place and cause of the first findings.
    findings: tuple[str, ...]


def read_settings(
    path: str, metrics_port: int | None
) -> data.ForwardingSettings:
    """Return the settings in a file.

    :param metrics_port: port that serves metrics, or None for no metrics.
    :raises InvalidSettingsError: with all findings.
    """
    try:
        text = _settings_file.read_settings_file(path)
        return platform.decode_settings(path, text, metrics_port)
    except _settings_file.SettingsFileError as error:
        finding = state.Finding(error.place, error.cause)
        raise InvalidSettingsError((finding,)) from error
    except platform.MalformedError as error:
        raise InvalidSettingsError(error.findings) from error


class SettingsReloader:
    """Compares the settings file with the settings in use."""

    def __init__(
        self,
        path: str,
        metrics_port: int | None,
        settings: data.ForwardingSettings,
        log: forwarding.EventLog,
    ) -> None:
        self._path = path
        self._metrics_port = metrics_port
        self._settings = settings
        self._log = log

    def reload(self) -> None:
        """Log whether the settings differ, or why they are rejected.

        The findings go to the log, not to standard error, which would block
        the main thread once nobody reads it.
        """
        is_changed = False
        try:
            changed = read_settings(self._path, self._metrics_port)
            is_changed = changed != self._settings
        except InvalidSettingsError as error:
            findings = error.findings[:LOGGED_FINDING_COUNT]
            self._log.record(
                SettingsRejected(
                    tuple(
                        f'{finding.place}: {finding.message}'
                        for finding in findings
                    )
                )
            )
        self._log.record(forwarding.SettingsReloaded(is_changed))
