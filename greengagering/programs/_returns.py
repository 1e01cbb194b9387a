"""Tells from logs how each leader came to serve: a timeline of each return."""

from collections.abc import Iterable
import contextlib
import dataclasses
import datetime
import math

from greengagering.programs import _trace

READ_SHARES = (0.5, 0.9, 1.0)
"""Shares of the workers for which the timeline shows when they were read."""

SETTLED_S = 5.0
"""Time after a leader's start within which it reads the workers that it knows
from the log. Later ones are new."""

START_EVENTS = ('control_started', 'entry_started')


@dataclasses.dataclass(frozen=True, slots=True)
class Milestone:
    """One step of a return.

    Attributes:
        at: its time.
        name: what happened.
        detail: process, or a count.
    """

    at: datetime.datetime
    name: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Return:
    """The way to one leader that serves.

    Attributes:
        term: the leader's term.
        leader: name of its process.
        milestones: its steps, in the order of time.
    """

    term: str
    leader: str
    milestones: list[Milestone]

    def format(self) -> list[str]:
        """Return the lines that are printed."""
        first = self.milestones[0].at
        lines = [f'term {self.term}, led by {self.leader}']
        for step in self.milestones:
            time = step.at.strftime(_trace.SHOWN_FORMAT)[:-3]
            since_s = (step.at - first).total_seconds()
            lines.append(
                f'  {time} {since_s:+8.3f} s  {step.name}  {step.detail}'
            )
        return lines


def find_returns(logs: Iterable[list[_trace.TraceLine]]) -> list[Return]:
    """Find the leaders of each log, and how each came to serve.

    Args:
        logs: events of each process.
    """
    events = sorted(
        (event for log in logs for event in log), key=lambda event: event.at
    )
    gained = [e for e in events if e.event == 'leader_lease_gained']
    terms: dict[str, _trace.TraceLine] = {}
    for event in gained:
        terms.setdefault(event.fields.get('term', ''), event)
    returns = []
    firsts = list(terms.items())
    for number, (term, lease) in enumerate(firsts):
        since = firsts[number - 1][1].at if number else None
        until = firsts[number + 1][1].at if number + 1 < len(firsts) else None
        before = [
            e
            for e in events
            if (since is None or e.at > since) and e.at <= lease.at
        ]
        after = [
            e
            for e in events
            if e.at >= lease.at
            and e.process == lease.process
            and (until is None or e.at < until)
        ]
        steps = _find_starts(before) + _find_lead(before, lease)
        steps += _find_service(after, lease)
        steps.sort(key=lambda step: step.at)
        returns.append(Return(term, lease.process, steps))
    return returns


def _find_starts(before: list[_trace.TraceLine]) -> list[Milestone]:
    """Return when processes were started, and when they served."""
    steps = []
    for event_name in START_EVENTS:
        started = [e for e in before if e.event == event_name]
        if not started:
            continue
        begun = [e.at - _starting_time(e) for e in started]
        kind = event_name.removesuffix('_started')
        detail = f'{len(started)} processes'
        steps += [
            Milestone(min(begun), f'first {kind} process begun', ''),
            Milestone(started[0].at, f'first {kind} process serves', ''),
            Milestone(started[-1].at, f'last {kind} process serves', detail),
        ]
    return steps


def _starting_time(event: _trace.TraceLine) -> datetime.timedelta:
    try:
        return datetime.timedelta(seconds=float(event.fields['starting_s']))
    except (KeyError, ValueError):
        return datetime.timedelta()


def _find_lead(
    before: list[_trace.TraceLine], lease: _trace.TraceLine
) -> list[Milestone]:
    """Return when the former leader's lease ended, and the new one's began."""
    steps = [
        Milestone(event.at, 'lease lost', event.process)
        for event in before
        if event.event == 'leader_lease_lost'
    ][-1:]
    steps += [
        Milestone(event.at, 'elected', event.process)
        for event in before
        if event.event == 'role_changed'
        and event.process == lease.process
        and event.fields.get('role') == 'leader'
    ][-1:]
    steps.append(Milestone(lease.at, 'lease gained', lease.process))
    return steps


def _known_workers(after: list[_trace.TraceLine]) -> int | None:
    """Return how many workers the leader knew at first, or None."""
    for event in after:
        if event.event == 'lead_begun':
            with contextlib.suppress(KeyError, ValueError):
                return int(event.fields['workers'])
    return None


def _find_service(
    after: list[_trace.TraceLine], lease: _trace.TraceLine
) -> list[Milestone]:
    """Return when the leader did each thing for the first time."""
    steps = []
    settled_at = lease.at + datetime.timedelta(seconds=SETTLED_S)
    read = [
        e for e in after if e.event == 'worker_read' and e.at <= settled_at
    ][: _known_workers(after)]
    for share in READ_SHARES if read else ():
        count = math.ceil(share * len(read))
        steps.append(
            Milestone(
                read[count - 1].at,
                f'{share:.0%} of the workers read',
                f'{count} of {len(read)}',
            )
        )
    for event_name, name in (
        ('job_accepted', 'first job accepted'),
        ('first_run_started', 'first run started'),
        ('backlog_cleared', 'no work in time waits'),
    ):
        steps += [
            Milestone(event.at, name, '')
            for event in after
            if event.event == event_name
        ][:1]
    return steps
