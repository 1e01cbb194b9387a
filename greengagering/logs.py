"""Structured logging: one line of key=value pairs per event."""

import logging
import os
import sys
import time
from typing import Any

from absl import flags
from absl import logging as absl_logging
import logfmter

MAX_LINES_PER_EVENT_S = 200
"""Most lines of one event name per second. Further lines are only counted,
so that a burst of one event neither fills the disk nor hides other events."""

WINDOW_S = 1.0

_LEVELS = {
    'debug': absl_logging.DEBUG,
    'info': absl_logging.INFO,
    'warning': absl_logging.WARNING,
    'error': absl_logging.ERROR,
}


_handlers: list['BoundedHandler'] = []
"""The handler of this process; empty until configure_logs is called."""


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor with a rate limit, without blocking.

    Attributes:
        dropped: by event name, the lines dropped since the last report of
            dropped lines.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.dropped: dict[str, int] = {}
        self._descriptor = descriptor
        self._counts: dict[str, int] = {}
        self._window_s = float('-inf')
        self._reported_s = float('-inf')

    def admits(self, event: str) -> bool:
        """Return whether a line may be written; count it as dropped if not.

        Called before the line is formatted, because formatting is the most
        expensive part of logging.
        """
        now_s = time.monotonic()
        if now_s >= self._window_s + WINDOW_S:
            self._window_s = now_s
            self._counts.clear()
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        if count <= MAX_LINES_PER_EVENT_S:
            return True
        self.dropped[event] = self.dropped.get(event, 0) + 1
        return False

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        event = record.msg
        if isinstance(event, dict):
            event = event.get('event', '')
        elif not self.admits(str(event)):
            # Records of libraries have not been checked by _log.
            return
        self._report_dropped(record)
        if not self._write(self.format(record)):
            event = str(event)
            self.dropped[event] = self.dropped.get(event, 0) + 1

    def _report_dropped(self, record: logging.LogRecord) -> None:
        now_s = time.monotonic()
        if not self.dropped or now_s < self._reported_s + WINDOW_S:
            return
        self._reported_s = now_s
        report = logging.makeLogRecord(record.__dict__)
        report.levelno, report.levelname = logging.WARNING, 'WARNING'
        report.msg = {'event': 'lines_left_out', **self.dropped}
        if self._write(self.format(report)):
            self.dropped.clear()

    def _write(self, line: str) -> bool:
        """Write a line; return False if the pipe or the disk is full."""
        try:
            os.write(self._descriptor, f'{line}\n'.encode())
        except OSError:
            # The error cannot be logged; the caller counts the line.
            return False
        return True


def configure_logs(level: str) -> None:
    """Configure logging to standard output as key=value lines.

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
    # Programs parse their own arguments, so absl's flags are parsed here with
    # none; otherwise absl prints a warning before the first line.
    flags.FLAGS(['greengagering'])
    logging.root.handlers = [handler]
    _handlers[:] = [handler]
    absl_logging.set_verbosity(_LEVELS[level])
    # Of the libraries' own records, only warnings are useful to operators.
    for name in ('asyncio', 'aiohttp', 'aiomisc', 'grpclib', 'hpack'):
        logging.getLogger(name).setLevel(logging.WARNING)


def debug(event: str, /, **fields: Any) -> None:
    """Log a detail for developers."""
    _log(absl_logging.DEBUG, event, fields)


def info(event: str, /, **fields: Any) -> None:
    """Log an event of normal operation."""
    _log(absl_logging.INFO, event, fields)


def warning(event: str, /, **fields: Any) -> None:
    """Log an event that an operator may have to examine."""
    _log(absl_logging.WARNING, event, fields)


def error(event: str, /, **fields: Any) -> None:
    """Log an event that an operator has to act on."""
    _log(absl_logging.ERROR, event, fields)


def _log(level: int, event: str, fields: dict[str, Any]) -> None:
    if not absl_logging.vlog_is_on(level):
        return
    if all(handler.admits(event) for handler in _handlers):
        absl_logging.log(level, {'event': event, **fields})
