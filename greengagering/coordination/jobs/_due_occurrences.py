"""Chooses the due occurrences of jobs whose steps may be looked at."""

from collections.abc import Iterator
import dataclasses
import heapq

from greengagering import state

MAX_OPEN_STEPS = 64
"""Unfinished steps of one job from which its next occurrence waits. Each plan
looks at all of them."""

MAX_OPEN_STEPS_OF_ALL = 1_000
"""Unfinished steps of all jobs with due times from which a job gets its next
occurrence only if it has no unfinished step."""

MAX_OCCURRENCES_PER_CALL = 200
"""Occurrences that one call looks at. Thousands may be due when a term begins,
and the leader must go on to renew its lease meanwhile."""


@dataclasses.dataclass(slots=True)
class _DueJob:
    """A job with due times.

    Attributes:
        job: the job.
        next_occurrence: number of its first occurrence that isn't open yet.
        open_steps: its ready and unfinished steps. Lasting ones, which never
            finish, don't count.
    """

    job: state.Job
    next_occurrence: int = 0
    open_steps: int = 0

    @property
    def has_next(self) -> bool:
        """Whether there is an occurrence that isn't open yet."""
        return self.next_occurrence < self.job.spec.occurrence_count

    @property
    def due_ms(self) -> int:
        """Unix time at which the next occurrence is due."""
        spec = self.job.spec
        if not spec.first_due_ms:
            return self.job.accepted_at_ms
        return spec.first_due_ms + self.next_occurrence * spec.interval_ms


class DueOccurrences:
    """Jobs with due times, and their occurrences that aren't open yet.

    A job may have thousands of occurrences, all of them due at once. They are
    opened one after the other, the longest due first, as earlier ones finish.
    """

    def __init__(self) -> None:
        self._jobs: dict[str, _DueJob] = {}
        self._open_steps = 0
        # Jobs whose next occurrence isn't due yet, the soonest first.
        self._coming: list[tuple[int, str]] = []
        # Ids of the jobs whose next occurrence is due.
        self._overdue: set[str] = set()
        # Whether one of the overdue jobs may be allowed an occurrence.
        self._may_open_more = False

    def add(self, job: state.Job) -> None:
        """Add a job, of which no occurrence is open."""
        due = _DueJob(job, next_occurrence=job.done_first)
        self._jobs[job.spec.job_id] = due
        if due.has_next:
            heapq.heappush(self._coming, (due.due_ms, job.spec.job_id))

    def remove(self, job_id: str) -> None:
        """Remove a job, if it is known."""
        due = self._jobs.pop(job_id, None)
        if due is not None:
            self._overdue.discard(job_id)
            self._open_steps -= due.open_steps
            self._may_open_more = True

    def note_open(self, job_id: str) -> None:
        """Count a ready step that isn't lasting, if the job is known."""
        due = self._jobs.get(job_id)
        if due is not None:
            due.open_steps += 1
            self._open_steps += 1

    def note_finished(self, job_id: str) -> None:
        """Count such a step no longer, as it is done."""
        due = self._jobs.get(job_id)
        if due is not None:
            due.open_steps -= 1
            self._open_steps -= 1
            self._may_open_more = True

    def take_due(self, now_ms: int) -> Iterator[tuple[state.Job, int, int]]:
        """Yield the occurrences to open now, with the times they were due at.

        The caller counts the ready steps of each by note_open before it goes
        on. A job without an open step always gets its next occurrence, so
        that the backlog of other jobs doesn't keep it waiting.
        """
        while self._coming and self._coming[0][0] <= now_ms:
            _, job_id = heapq.heappop(self._coming)
            if job_id in self._jobs:
                self._overdue.add(job_id)
                self._may_open_more = True
        if not self._may_open_more:
            return
        heap = [(self._jobs[key].due_ms, key) for key in self._overdue]
        heapq.heapify(heap)
        left = MAX_OCCURRENCES_PER_CALL
        while heap and left:
            due_ms, job_id = heapq.heappop(heap)
            due = self._jobs[job_id]
            occurrence = due.next_occurrence
            is_done = due.job.is_occurrence_done(occurrence)
            if not (is_done or self._may_open(due)):
                # It stays overdue until a step finishes.
                continue
            left -= 1
            due.next_occurrence += 1
            if not is_done:
                yield due.job, occurrence, due_ms
            if due.has_next and due.due_ms <= now_ms:
                heapq.heappush(heap, (due.due_ms, job_id))
                continue
            self._overdue.discard(job_id)
            if due.has_next:
                heapq.heappush(self._coming, (due.due_ms, job_id))
        self._may_open_more = bool(heap)

    def _may_open(self, due: _DueJob) -> bool:
        if not due.open_steps:
            return True
        return (
            due.open_steps < MAX_OPEN_STEPS
            and self._open_steps < MAX_OPEN_STEPS_OF_ALL
        )
