"""Structured logs: one line of key=value pairs for each event."""

import logging
from typing import Any

from absl import flags
from absl import logging as absl_logging
import logfmter

_LEVELS = {
    'debug': absl_logging.DEBUG,
    'info': absl_logging.INFO,
    'warning': absl_logging.WARNING,
    'error': absl_logging.ERROR,
}


def configure_logs(level: str) -> None:
    """Send events to standard error as key=value lines.

    Args:
        level: debug, info, warning or error.
    """
    handler = absl_logging.get_absl_handler()
    handler.setFormatter(
        logfmter.Logfmter(
            keys=['at', 'level'],
            mapping={'at': 'asctime', 'level': 'levelname'},
        )
    )
    # Programs parse their own arguments, so absl's flags are given theirs
    # here; before that, absl would put a warning in front of the first line.
    flags.FLAGS(['greengagering', '--logtostderr'])
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(_LEVELS[level])
    # Libraries log their own lines, of which only warnings help operators.
    for name in ('asyncio', 'aiohttp', 'aiomisc', 'grpclib', 'hpack'):
        logging.getLogger(name).setLevel(logging.WARNING)


def debug(event: str, **fields: Any) -> None:
    """Log a detail for developers."""
    _log(absl_logging.DEBUG, event, fields)


def info(event: str, **fields: Any) -> None:
    """Log an event of normal operation."""
    _log(absl_logging.INFO, event, fields)


def warning(event: str, **fields: Any) -> None:
    """Log an event that an operator may have to look at."""
    _log(absl_logging.WARNING, event, fields)


def error(event: str, **fields: Any) -> None:
    """Log an event that an operator has to act on."""
    _log(absl_logging.ERROR, event, fields)


def _log(level: int, event: str, fields: dict[str, Any]) -> None:
    if absl_logging.vlog_is_on(level):
        absl_logging.log(level, {'event': event, **fields})
