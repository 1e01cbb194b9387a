"""Merges the logs of several processes into the account of one id."""

from collections.abc import Iterable
import dataclasses
import datetime
import pathlib
import re

TIME_FORMAT = '%Y-%m-%d %H:%M:%S,%f'
SHOWN_FORMAT = '%Y-%m-%d %H:%M:%S.%f'

CONTEXT_EVENTS = frozenset(
    (
        'control_started',
        'control_stopped',
        'entry_started',
        'entry_stopped',
        'leader_found',
        'leader_lost',
        'leader_lease_gained',
        'leader_lease_lost',
        'lines_left_out',
        'members_changed',
        'plan_accepted',
        'role_changed',
        'settings_reloaded',
        'step_failed',
        'storage_fault',
        'storage_recovered',
    )
)
"""Events that explain others, whatever id they are about."""

_FIELD = re.compile(r'([^\s=]+)=(?:"((?:[^"\\]|\\.)*)"|(\S*))')
_ESCAPED = re.compile(r'\\(.)')


@dataclasses.dataclass(frozen=True, slots=True)
class TraceLine:
    """One event of one process.

    Attributes:
        at: its time, never before that of an earlier line of the process.
        process: name of the log file.
        event: what happened.
        fields: the event's other fields.
        stepped_back_s: how far the clock had stepped back before it.
    """

    at: datetime.datetime
    process: str
    event: str
    fields: dict[str, str]
    stepped_back_s: float = 0.0

    def mentions(self, name: str) -> bool:
        """Tell whether a field names an object, or a part of it."""
        parts = (f'{name}.', f'{name}@', f'{name}#')
        return any(
            value == name or value.startswith(parts)
            for value in self.fields.values()
        )

    def format(self) -> str:
        """Return the line as it is printed."""
        shown = [f'{key}={value}' for key, value in self.fields.items()]
        if self.stepped_back_s:
            shown.append(f'(clock stepped back {self.stepped_back_s:.3f} s)')
        time = self.at.strftime(SHOWN_FORMAT)[:-3]
        return ' '.join([time, self.process, self.event, *shown])


def parse_line(text: str) -> dict[str, str]:
    """Return the fields of a line, or none where it is not an event."""
    fields = {}
    for key, quoted, plain in _FIELD.findall(text):
        fields[key] = _ESCAPED.sub(r'\1', quoted) or plain
    return fields if 'event' in fields and 'at' in fields else {}


def read_log(process: str, lines: Iterable[str]) -> list[TraceLine]:
    """Return the events of one process, in the order of its log.

    The order of a log is the order of its events. Where the time of day was
    set back, what follows is moved on by as much.
    """
    events: list[TraceLine] = []
    offset = datetime.timedelta()
    for text in lines:
        fields = parse_line(text)
        try:
            at = datetime.datetime.strptime(fields.pop('at', ''), TIME_FORMAT)
        except ValueError:
            continue
        fields.pop('level', None)
        at += offset
        stepped_back_s = 0.0
        if events and at < events[-1].at:
            step = events[-1].at - at
            stepped_back_s = step.total_seconds()
            offset += step
            at += step
        event = fields.pop('event')
        events.append(TraceLine(at, process, event, fields, stepped_back_s))
    return events


def trace(name: str, logs: Iterable[list[TraceLine]]) -> list[TraceLine]:
    """Return what happened to a job, task, worker or machine.

    Args:
        name: its id.
        logs: events of each process.

    Returns:
        Every event that names it, and between the first and the last of
        them what happened to the workers of its runs and to the processes,
        in the order of time.
    """
    events = [event for log in logs for event in log]
    own = [event for event in events if event.mentions(name)]
    if not own:
        return []
    first, last = min(e.at for e in own), max(e.at for e in own)
    lives = {e.fields['life'] for e in own if 'life' in e.fields}
    chosen = [
        event
        for event in events
        if event.mentions(name)
        or first <= event.at <= last
        and (
            event.event in CONTEXT_EVENTS
            or _is_about_life(event)
            and event.fields['life'] in lives
        )
    ]
    return sorted(chosen, key=lambda event: event.at)


def _is_about_life(event: TraceLine) -> bool:
    """Tell whether an event is about a worker, and not about a run there."""
    return 'life' in event.fields and 'run' not in event.fields


def trace_files(name: str, paths: Iterable[str]) -> list[TraceLine]:
    """Return the account of an id from log files.

    Raises:
        OSError: a file can't be read.
    """
    logs = []
    for path in map(pathlib.Path, paths):
        with open(path, encoding='utf-8', errors='replace') as lines:
            logs.append(read_log(path.stem, lines))
    return trace(name, logs)
