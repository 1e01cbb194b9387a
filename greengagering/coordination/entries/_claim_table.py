"""Claims that an entry requests and holds, and the answers that it keeps."""

import collections
import dataclasses
import enum

from greengagering.coordination.entries import _claim_messages as claim_msgs
from greengagering import state

REQUEST_RETRY_S = 0.4
"""Time without a verdict after which a claim is requested again."""

MAX_KEPT_BYTES = 32 * 1024 * 1024
"""Largest total size of kept bodies; beyond it, the oldest are dropped."""


class WorkState(enum.StrEnum):
    """State of the work of a claim that this entry holds."""

    RUNNING = 'running'
    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    GIVEN_UP = 'given_up'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(slots=True)
class HeldClaim:
    """A claim of this process, and the outcome of its work.

    Attributes:
        body_digest: hash of the request.
        state: state of the work.
        answer: the kept answer; None if there is none, or if it was dropped
            to free memory.
        held_since_s: entry's clock at the grant.
    """

    body_digest: str
    state: WorkState
    answer: claim_msgs.KeptAnswer | None
    held_since_s: float


@dataclasses.dataclass(slots=True)
class _PendingRequest:
    """A request for a claim, stored as ClaimAsk, without a verdict yet."""

    ask: state.ClaimAsk
    sent_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingOutcome:
    """An outcome to send to the entry that requested it."""

    request: claim_msgs.OutcomeRequest
    response: claim_msgs.OutcomeResponse


class ClaimTable:
    """Lets the work of each key run at most once in this process.

    The work of a granted claim is run by this process, or is given up for
    good so that another entry may take the claim over. It isn't given up
    while callers wait for it here, as they could no longer run it.
    """

    def __init__(self, boot_id: str) -> None:
        self.boot_id = boot_id
        self.kept_bytes = 0
        self._held: dict[str, HeldClaim] = {}
        self._pending: dict[str, _PendingRequest] = {}
        self._caller_counts: collections.Counter[str] = collections.Counter()
        self._outcome_requests: dict[str, list[claim_msgs.OutcomeRequest]] = {}
        self._outcomes: list[OutgoingOutcome] = []

    def __len__(self) -> int:
        return len(self._held)

    def get(self, key_id: str) -> HeldClaim | None:
        """Return the claim of a key, if this process holds it."""
        return self._held.get(key_id)

    def add_caller(self, key_id: str) -> None:
        """Record a caller that waits for the work of a key."""
        self._caller_counts[key_id] += 1

    def remove_caller(self, key_id: str) -> None:
        """Record that a caller runs the work, or no longer waits for it."""
        self._caller_counts[key_id] -= 1
        if not self._caller_counts[key_id]:
            del self._caller_counts[key_id]
            self._answer_requests(key_id)

    def request_claim(self, ask: state.ClaimAsk) -> None:
        """Queue a request for a claim to the leader."""
        if ask.key_id not in self._pending:
            self._pending[ask.key_id] = _PendingRequest(ask, float('-inf'))

    def take_due_requests(self, now_s: float) -> tuple[state.ClaimAsk, ...]:
        """Return the requests to send: new ones, and unanswered ones again."""
        due = []
        for pending in self._pending.values():
            if now_s >= pending.sent_at_s + REQUEST_RETRY_S:
                pending.sent_at_s = now_s
                due.append(pending.ask)
        return tuple(due)

    def record_verdict(self, answer: state.ClaimAnswer, now_s: float) -> bool:
        """Record the leader's verdict; return whether a request was pending.

        A granted claim stays in NOT_RUN until begin is called, so its work
        doesn't run if no caller waits for it any more.
        """
        pending = self._pending.pop(answer.key_id, None)
        if pending is None:
            return False
        is_granted = answer.verdict is state.ClaimVerdict.GRANTED
        if is_granted and answer.key_id not in self._held:
            self._held[answer.key_id] = HeldClaim(
                body_digest=pending.ask.body_digest,
                state=WorkState.NOT_RUN,
                answer=None,
                held_since_s=now_s,
            )
        self._answer_requests(answer.key_id)
        return True

    def begin(self, key_id: str) -> bool:
        """Mark the work of a claim as running; return False if it may not run.

        Only this method allows the work of a key to start.
        """
        held = self._held.get(key_id)
        if held is None or held.state is not WorkState.NOT_RUN:
            return False
        held.state = WorkState.RUNNING
        return True

    def end(
        self,
        key_id: str,
        outcome: WorkState,
        answer: claim_msgs.KeptAnswer | None,
    ) -> None:
        """Record the outcome of running work, and answer waiting requests."""
        held = self._held[key_id]
        held.state = outcome
        held.answer = answer
        if answer is not None:
            self.kept_bytes += len(answer.body)
            self._drop_answers()
        self._answer_requests(key_id)

    def answer_outcome_request(
        self, request: claim_msgs.OutcomeRequest
    ) -> None:
        """Answer a request for an outcome once the outcome is settled."""
        if request.boot_id != self.boot_id:
            self._respond(request, claim_msgs.KeptState.UNKNOWN)
            return
        requests = self._outcome_requests.setdefault(request.key_id, [])
        if request not in requests:
            requests.append(request)
        self._answer_requests(request.key_id)

    def take_outcomes(self) -> list[OutgoingOutcome]:
        """Return and clear the outcomes to send to other entries."""
        outcomes = self._outcomes
        self._outcomes = []
        return outcomes

    def forget_old(self, now_s: float) -> None:
        """Drop claims so old that the control replicas have purged them."""
        keep_s = 2 * state.CLAIM_RETENTION_MS / 1000
        old = [
            key_id
            for key_id, held in self._held.items()
            if now_s > held.held_since_s + keep_s
            and held.state is not WorkState.RUNNING
        ]
        for key_id in old:
            self._drop_answer(self._held.pop(key_id))

    def _answer_requests(self, key_id: str) -> None:
        """Answer the waiting requests if the outcome of a key is settled."""
        if not self._is_settled(key_id):
            return
        held = self._held.get(key_id)
        for request in self._outcome_requests.pop(key_id, []):
            if held is None:
                self._respond(request, claim_msgs.KeptState.UNKNOWN)
            else:
                self._respond(request, _settle(held), held.answer)

    def _is_settled(self, key_id: str) -> bool:
        """Return whether the work neither runs here nor will by a caller."""
        held = self._held.get(key_id)
        if held is None:
            # The leader's verdict on this process's request may still be on
            # its way although another entry has got its own.
            return key_id not in self._pending
        if held.state is WorkState.NOT_RUN:
            return key_id not in self._caller_counts
        return held.state is not WorkState.RUNNING

    def _respond(
        self,
        request: claim_msgs.OutcomeRequest,
        kept: claim_msgs.KeptState,
        answer: claim_msgs.KeptAnswer | None = None,
    ) -> None:
        response = claim_msgs.OutcomeResponse(
            request.boot_id, request.key_id, kept, answer
        )
        self._outcomes.append(OutgoingOutcome(request, response))

    def _drop_answers(self) -> None:
        """Drop the oldest answers until at most MAX_KEPT_BYTES are kept."""
        for held in self._held.values():
            if self.kept_bytes <= MAX_KEPT_BYTES:
                return
            self._drop_answer(held)

    def _drop_answer(self, held: HeldClaim) -> None:
        if held.answer is not None:
            self.kept_bytes -= len(held.answer.body)
            held.answer = None


def _settle(held: HeldClaim) -> claim_msgs.KeptState:
    """Return the outcome of a claim; give its work up if it hasn't run."""
    if held.state in (WorkState.NOT_RUN, WorkState.GIVEN_UP):
        # From now on this process never starts the work, so the requesting
        # entry may.
        held.state = WorkState.GIVEN_UP
        return claim_msgs.KeptState.GIVEN_UP
    if held.state is WorkState.ANSWERED and held.answer is not None:
        return claim_msgs.KeptState.ANSWERED
    return claim_msgs.KeptState.UNKNOWN
