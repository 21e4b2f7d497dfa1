"""Structured logs on standard error, with a prefix for each part."""

import logging
import sys

import structlog


def configure_logs(level: str = 'info') -> None:
    """Write log lines as ``<time> <level> <part>: <message> <fields>``.

    The traceback of an error follows on lines of its own.

    :param level: lowest level that is written, such as ``info``.
    """
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            _render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def _render(
    logger: object, method: str, fields: structlog.typing.EventDict
) -> str:
    moment = fields.pop('timestamp')
    level = fields.pop('level')
    part = fields.pop('part', 'skylarktack')
    message = fields.pop('event')
    traceback = fields.pop('exception', None)
    shown = ''.join(f' {name}={value}' for name, value in fields.items())
    line = f'{moment} {level} {part}: {message}{shown}'
    return line if traceback is None else f'{line}\n{traceback}'
