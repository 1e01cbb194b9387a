"""Merges the logs of several processes into the event history of one id."""

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
"""Events shown in every trace, because they can explain the events of any
id."""

_FIELD = re.compile(r'([^\s=]+)=(?:"((?:[^"\\]|\\.)*)"|(\S*))')
_ESCAPED = re.compile(r'\\(.)')


@dataclasses.dataclass(frozen=True, slots=True)
class TraceLine:
    """One event of one process.

    Attributes:
        at: time of the event, corrected so that it never decreases within
            a process.
        process: name of the log file, without its suffix.
        event: name of the event.
        fields: the event's other fields.
        stepped_back_s: how far the clock was set back since the line before.
    """

    at: datetime.datetime
    process: str
    event: str
    fields: dict[str, str]
    stepped_back_s: float = 0.0

    def mentions(self, name: str) -> bool:
        """Return whether a field holds an id, or the id of a part of it.

        Parts are the tasks of a job (job.task), the runs of a task (task#run)
        and the incarnations of a worker (worker@start).
        """
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
    """Parse the fields of a line; return none if it is not an event."""
    fields = {}
    for key, quoted, plain in _FIELD.findall(text):
        fields[key] = _ESCAPED.sub(r'\1', quoted) or plain
    return fields if 'event' in fields and 'at' in fields else {}


def read_log(process: str, lines: Iterable[str]) -> list[TraceLine]:
    """Parse the log of one process.

    Lines are in the order of their events, even if the time of day was set
    back. In that case the times of all later lines are shifted forward by the
    same amount.
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
    """Select the events that concern a job, task, worker or machine.

    Args:
        name: id of the job, task, worker or machine.
        logs: events of each process.

    Returns:
        In the order of time, every event with the id in a field, and between
        the first and the last of them the events of the workers of its runs
        and the context events.
    """
    events = [event for log in logs for event in log]
    own = [event for event in events if event.mentions(name)]
    if not own:
        return []
    first, last = min(e.at for e in own), max(e.at for e in own)
    incarnations = {e.fields['life'] for e in own if 'life' in e.fields}
    chosen = [
        event
        for event in events
        if event.mentions(name)
        or first <= event.at <= last
        and (
            event.event in CONTEXT_EVENTS
            or _is_about_incarnation(event)
            and event.fields['life'] in incarnations
        )
    ]
    return sorted(chosen, key=lambda event: event.at)


def _is_about_incarnation(event: TraceLine) -> bool:
    """Return whether an event concerns a worker rather than one of its runs.

    Logged as `life`: key of an incarnation of a worker.
    """
    return 'life' in event.fields and 'run' not in event.fields


def read_files(paths: Iterable[str]) -> list[list[TraceLine]]:
    """Read the log file of each process.

    Raises:
        OSError: a file can't be read.
    """
    logs = []
    for path in map(pathlib.Path, paths):
        with open(path, encoding='utf-8', errors='replace') as lines:
            logs.append(read_log(path.stem, lines))
    return logs


def trace_files(name: str, paths: Iterable[str]) -> list[TraceLine]:
    """Trace an id through log files.

    Raises:
        OSError: a file can't be read.
    """
    return trace(name, read_files(paths))
