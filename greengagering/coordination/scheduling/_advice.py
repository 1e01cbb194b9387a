"""Permits for steps that may run only on workers that an adviser allows."""

import dataclasses

from greengagering.coordination.jobs import StepWork
from greengagering.coordination.scheduling import _placement
from greengagering.coordination.workers import WorkerView

MAX_REQUEST_WORKERS = 30
"""Maximum number of workers in one request; each one lengthens the time until
its answer."""

VALIDITY_MARGIN_S = 0.3
"""Time before its end at which a permit is renewed instead of used: enough
to commit a run and call the worker."""

RETRY_S = 0.3
"""Pause after a request that got no answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceRequest:
    """A request for advice on one step.

    Attributes:
        step_name: 'job.occurrence.step'.
        life_keys: key of each candidate's incarnation, by worker id.
    """

    step_name: str
    life_keys: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Advice:
    """The adviser's answer.

    Attributes:
        permits: permit by worker id, for the workers that are allowed.
        validity_s: how long the permits are valid.
    """

    permits: dict[str, str]
    validity_s: float


@dataclasses.dataclass(slots=True)
class _Permit:
    text: str
    ends_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _WaitingStep:
    """A step that needs advice.

    Attributes:
        work: the step.
        workers: usable workers of its service that suit it.
        since_s: since when it has needed advice without a request for it.
    """

    work: StepWork
    workers: list[WorkerView]
    since_s: float


class PermitTable:
    """Stores the permits of each step, and chooses the next advice request.

    Only one request is open at a time, as the adviser answers the requests
    from one machine one after the other. Requests go to the most urgent step
    and to the one that has waited longest by turns: urgent steps alone could
    keep all others waiting for as long as they need advice.
    """

    def __init__(self) -> None:
        self._permits: dict[str, dict[str, _Permit]] = {}
        self._not_permitted: dict[str, set[str]] = {}
        self._open_request: AdviceRequest | None = None
        # Steps that need advice by the current plan, the most urgent first,
        # and by the former one.
        self._waiting: dict[str, _WaitingStep] = {}
        self._waited: dict[str, _WaitingStep] = {}
        self._is_longest_next = False
        self._retry_at_s = float('-inf')

    def begin_plan(self) -> None:
        """Forget which steps need advice; the new plan finds them again."""
        self._waited, self._waiting = self._waiting, {}

    def permitted_workers(
        self, work: StepWork, workers: list[WorkerView], now_s: float
    ) -> list[WorkerView]:
        """Return the workers that a step may use.

        If none of them has room for the step, it waits for advice. Workers
        that can't run it, whatever the adviser says, are left out.

        Args:
            work: a step of a job whose queue needs advice.
            workers: usable workers of the step's service.
            now_s: the leader's clock.
        """
        name = step_name(work)
        suitable = _placement.find_suitable(work.step, workers)
        valid = [w for w in suitable if self._is_permitted(name, w, now_s)]
        if not _placement.has_place(work, valid):
            waiting = self._waiting.get(name)
            # A plan may ask about a part of the workers, and then about all.
            if waiting is None or len(suitable) > len(waiting.workers):
                waited = self._waited.get(name)
                since_s = now_s if waited is None else waited.since_s
                self._waiting[name] = _WaitingStep(work, suitable, since_s)
        return valid

    def permit(self, work: StepWork, life_key: str) -> str:
        """Return the permit to send with an order, or ''."""
        permit = self._permits.get(step_name(work), {}).get(life_key)
        return permit.text if permit is not None else ''

    def take_advice_request(self, now_s: float) -> AdviceRequest | None:
        """Return the next request if none is open, and count it as open.

        Steps that can start on an answer go before those whose workers are
        all full.
        """
        if self._open_request is not None or now_s < self._retry_at_s:
            return None
        found: AdviceRequest | None = None
        for name, waiting in self._in_turn():
            asked = self._find_candidates(name, waiting, now_s)
            if not asked:
                del self._waiting[name]
                continue
            may_start = _placement.can_start(waiting.work, asked[0])
            if found is None or may_start:
                found = AdviceRequest(
                    name, {w.facts.worker_id: w.key for w in asked}
                )
            if may_start:
                break
        if found is not None:
            del self._waiting[found.step_name]
            self._is_longest_next = not self._is_longest_next
        self._open_request = found
        return found

    def _in_turn(self) -> list[tuple[str, _WaitingStep]]:
        """Return the waiting steps in the order of the next request."""
        steps = list(self._waiting.items())
        if self._is_longest_next:
            steps.sort(key=lambda item: item[1].since_s)
        return steps

    def handle_advice(
        self, request: AdviceRequest, advice: Advice | None, now_s: float
    ) -> None:
        """Store which workers an answer permits, or schedule a retry.

        Args:
            request: the request that was sent.
            advice: the answer, or None if there was none.
            now_s: the leader's clock.
        """
        if self._open_request is request:
            self._open_request = None
        if advice is None:
            self._retry_at_s = now_s + RETRY_S
            return
        permits = self._permits.setdefault(request.step_name, {})
        not_permitted = self._not_permitted.setdefault(
            request.step_name, set()
        )
        for worker_id, life_key in request.life_keys.items():
            text = advice.permits.get(worker_id)
            if text is None:
                not_permitted.add(life_key)
            else:
                ends_s = now_s + advice.validity_s
                permits[life_key] = _Permit(text, ends_s)

    def drop_permit(self, work: StepWork, life_key: str) -> None:
        """Remove a permit that the worker didn't accept."""
        self._permits.get(step_name(work), {}).pop(life_key, None)

    def forget_job(self, job_id: str) -> None:
        """Remove a job's steps, and what the adviser has answered on them."""
        for known in (self._permits, self._not_permitted, self._waiting):
            for name in [n for n in known if n.startswith(f'{job_id}.')]:
                del known[name]

    def _is_permitted(
        self, name: str, worker: WorkerView, now_s: float
    ) -> bool:
        permit = self._permits.get(name, {}).get(worker.key)
        return permit is not None and now_s < permit.ends_s - VALIDITY_MARGIN_S

    def _find_candidates(
        self, name: str, waiting: _WaitingStep, now_s: float
    ) -> list[WorkerView]:
        """Return the workers to ask about, those with room first.

        A full worker that the adviser has answered about is left out: which
        workers it allows doesn't change, and a permit that is renewed before
        there is room may expire unused.
        """
        not_permitted = self._not_permitted.get(name, set())
        known = self._permits.get(name, {})
        work = waiting.work
        if not work.waiting:
            return []
        candidates = [
            worker
            for worker in waiting.workers
            if worker.key not in not_permitted
            and (worker.key not in known or _placement.can_start(work, worker))
            and not self._is_permitted(name, worker, now_s)
        ]
        candidates.sort(
            key=lambda w: (
                not _placement.can_start(work, w),
                w.key not in known,
                -w.free_cpu,
            )
        )
        return candidates[:MAX_REQUEST_WORKERS]


def step_name(work: StepWork) -> str:
    """Return a name of a step that is unique among all jobs."""
    return f'{work.job.spec.job_id}.{work.step_key}'
