"""Structured logs: one line of key=value pairs for each event."""

import logging
import os
import sys
import time
from typing import Any

from absl import flags
from absl import logging as absl_logging
import logfmter

MAX_LINES_PER_EVENT_S = 200
"""Lines of one kind of event in a second; what is above is only counted, so
that a storm of one kind neither fills the disk nor hides the others."""

WINDOW_S = 1.0

_LEVELS = {
    'debug': absl_logging.DEBUG,
    'info': absl_logging.INFO,
    'warning': absl_logging.WARNING,
    'error': absl_logging.ERROR,
}


_handlers: list['BoundedHandler'] = []
"""The handler of this process, once logs are configured."""


class BoundedHandler(logging.Handler):
    """Writes lines to standard output, few enough and without waiting.

    Attributes:
        left_out: lines that were not written since this was last told, by
            event.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.left_out: dict[str, int] = {}
        self._descriptor = descriptor
        self._counts: dict[str, int] = {}
        self._window_s = float('-inf')
        self._told_s = float('-inf')

    def admits(self, event: str) -> bool:
        """Tell whether a line of an event may be written, or count it.

        Asked before the line is made, as making it is the dearest part.
        """
        now_s = time.monotonic()
        if now_s >= self._window_s + WINDOW_S:
            self._window_s = now_s
            self._counts.clear()
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        if count <= MAX_LINES_PER_EVENT_S:
            return True
        self.left_out[event] = self.left_out.get(event, 0) + 1
        return False

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it."""
        event = record.msg
        if isinstance(event, dict):
            event = event.get('event', '')
        elif not self.admits(str(event)):
            # Lines of libraries come here without having asked.
            return
        self._tell_left_out(record)
        if not self._write(self.format(record)):
            event = str(event)
            self.left_out[event] = self.left_out.get(event, 0) + 1

    def _tell_left_out(self, record: logging.LogRecord) -> None:
        now_s = time.monotonic()
        if not self.left_out or now_s < self._told_s + WINDOW_S:
            return
        self._told_s = now_s
        told = logging.makeLogRecord(record.__dict__)
        told.levelno, told.levelname = logging.WARNING, 'WARNING'
        told.msg = {'event': 'lines_left_out', **self.left_out}
        if self._write(self.format(told)):
            self.left_out.clear()

    def _write(self, line: str) -> bool:
        """Write a line, unless its reader is behind or its file is full."""
        try:
            os.write(self._descriptor, f'{line}\n'.encode())
        except OSError:
            # There is nowhere left to tell it; the line is counted.
            return False
        return True


def configure_logs(level: str) -> None:
    """Send events to standard output as key=value lines.

    Args:
        level: debug, info, warning or error.
    """
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = BoundedHandler(descriptor)
    handler.setFormatter(
        logfmter.Logfmter(
            keys=['at', 'level'],
            mapping={'at': 'asctime', 'level': 'levelname'},
        )
    )
    # Programs parse their own arguments, so absl's flags are given theirs
    # here; before that, absl would put a warning in front of the first line.
    flags.FLAGS(['greengagering'])
    logging.root.handlers = [handler]
    _handlers[:] = [handler]
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
    if not absl_logging.vlog_is_on(level):
        return
    if all(handler.admits(event) for handler in _handlers):
        absl_logging.log(level, {'event': event, **fields})
