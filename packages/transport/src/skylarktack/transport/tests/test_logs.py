"""Log lines on standard error."""

from collections.abc import Iterator

import pytest
import structlog

from skylarktack import transport


@pytest.fixture(autouse=True)
def _restored_configuration() -> Iterator[None]:
    yield
    structlog.reset_defaults()


class TestConfigureLogs:
    """Lines with a prefix for each part."""

    def test_an_error_has_its_traceback(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against unexpected errors whose place no line tells."""
        transport.configure_logs()
        logger = structlog.get_logger(part='caller')
        try:
            raise ValueError('odd request')
        except ValueError:
            logger.exception('request failed', request='r-1')
        written = capsys.readouterr().err
        assert 'error caller: request failed request=r-1\n' in written
        assert 'in test_an_error_has_its_traceback' in written
        assert 'ValueError: odd request' in written

    def test_other_lines_have_none(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against lines that grow by empty fields."""
        transport.configure_logs()
        structlog.get_logger(part='caller').info('started', port=1)
        written = capsys.readouterr().err
        assert written.endswith('info caller: started port=1\n')
