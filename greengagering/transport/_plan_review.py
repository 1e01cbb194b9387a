"""Reads the plan in force again if another version stored it."""

from collections.abc import Callable

from result import Err

from greengagering import coordination
from greengagering import logs
from greengagering.protocol import errors as protocol_errors
from greengagering import state

PlanReader = Callable[[bytes], state.RoutePlan]
"""Converts a plan's source.

Raises:
    InvalidInputError: the source is not a valid plan.
"""


class PlanReview:
    """Compares the plan in force with what this version reads in its source.

    A former version stores a plan without what it doesn't know, such as
    customers. To serve such a plan would be to serve calls that need a key
    without one, so the leader first commits the plan as it reads it.
    """

    def __init__(
        self,
        core: coordination.ControlCore,
        read_plan: PlanReader | None,
        now_s: Callable[[], float],
    ) -> None:
        self._core = core
        self._read_plan = read_plan
        self._now_s = now_s
        self._reviewed: state.RoutePlan | None = None
        self._reread: state.RoutePlan | None = None
        self._is_fully_read = True
        self._proposed_term = 0

    def is_fully_read(self) -> bool:
        """Tell whether the plan in force is as this version reads it."""
        plan = self._core.state.jobs.plan
        if plan is None or self._read_plan is None:
            return True
        if plan is not self._reviewed:
            self._reviewed = plan
            self._reread = self._read_again(plan, self._read_plan)
            self._is_fully_read = self._reread == plan
            self._proposed_term = 0
        return self._is_fully_read

    def step(self) -> None:
        """Propose the plan as it is read, once in each term that needs it."""
        term = self._core.jobs.fence
        now_s = self._now_s()
        if not term or not self._core.replica.has_lease(now_s):
            return
        if self.is_fully_read():
            return
        if self._reread is None or self._proposed_term == term:
            return
        record = state.PlanReplaced(self._reread, is_reread=True)
        proposed = self._core.propose_job_record(record, now_s)
        if isinstance(proposed, Err):
            logs.warning('plan_unproposed', cause=str(proposed.err_value))
            return
        self._proposed_term = term
        logs.info(
            'plan_read_again',
            number=self._reread.number,
            customers=len(self._reread.customers),
        )

    def _read_again(
        self, plan: state.RoutePlan, read_plan: PlanReader
    ) -> state.RoutePlan | None:
        try:
            return read_plan(plan.source)
        except protocol_errors.InvalidInputError as error:
            logs.error('plan_unusable', number=plan.number, cause=str(error))
            return None
