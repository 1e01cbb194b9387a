"""An entry's claims: what it asked for, runs, and keeps the answers of."""

import dataclasses
import enum

from greengagering.coordination.entries import _claim_messages as claim_msgs
from greengagering import state

REPEAT_ASK_S = 0.4
MAX_KEPT_BYTES = 32 * 1024 * 1024


class WorkState(enum.StrEnum):
    """What has become of the work of a claim that this entry holds."""

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
        state: what has become of the work.
        answer: the kept answer, unless it was dropped for want of memory.
        asked_by: entries that wait for the outcome.
        held_since_s: entry's clock at the grant.
    """

    body_digest: str
    state: WorkState
    answer: claim_msgs.KeptAnswer | None
    asked_by: list[claim_msgs.OutcomeRequest]
    held_since_s: float


@dataclasses.dataclass(slots=True)
class _PendingAsk:
    """An ask that the leader has not answered yet."""

    ask: state.ClaimAsk
    sent_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeFor:
    """An outcome on its way to the entry that asked."""

    request: claim_msgs.OutcomeRequest
    response: claim_msgs.OutcomeResponse


class ClaimBook:
    """Keeps each key's work to one run by this process.

    A claim that is granted here stays here: it is run, or given up for good
    so that another entry may take it over.
    """

    def __init__(self, boot_id: str) -> None:
        self.boot_id = boot_id
        self.kept_bytes = 0
        self._held: dict[str, HeldClaim] = {}
        self._pending: dict[str, _PendingAsk] = {}
        self._outcomes: list[OutcomeFor] = []

    def __len__(self) -> int:
        return len(self._held)

    def get(self, key_id: str) -> HeldClaim | None:
        """Return the claim of a key, if this process holds it."""
        return self._held.get(key_id)

    def ask(self, ask: state.ClaimAsk) -> None:
        """Queue an ask for the leader."""
        if ask.key_id not in self._pending:
            self._pending[ask.key_id] = _PendingAsk(ask, float('-inf'))

    def take_due_asks(self, now_s: float) -> tuple[state.ClaimAsk, ...]:
        """Return asks to send, first ones and those without an answer."""
        due = []
        for pending in self._pending.values():
            if now_s >= pending.sent_at_s + REPEAT_ASK_S:
                pending.sent_at_s = now_s
                due.append(pending.ask)
        return tuple(due)

    def note_answer(self, answer: state.ClaimAnswer, now_s: float) -> bool:
        """Take the leader's verdict; return whether it was awaited.

        A grant is held as not run until begin is called: if nobody waits for
        it any more, nothing runs.
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
                asked_by=[],
                held_since_s=now_s,
            )
        return True

    def begin(self, key_id: str) -> bool:
        """Start the work of a claim that has not run; return whether it may.

        This is the one place that lets a key's work start.
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
        """Record the outcome of running work, and tell who asked."""
        held = self._held[key_id]
        held.state = outcome
        held.answer = answer
        if answer is not None:
            self.kept_bytes += len(answer.body)
            self._drop_answers()
        for request in held.asked_by:
            self._respond(request, held)
        held.asked_by.clear()

    def note_outcome_request(self, request: claim_msgs.OutcomeRequest) -> None:
        """Answer another entry, at once or when the work ends."""
        held = self._held.get(request.key_id)
        if held is None or request.boot_id != self.boot_id:
            response = claim_msgs.OutcomeResponse(
                request.boot_id,
                request.key_id,
                claim_msgs.KeptState.UNKNOWN,
            )
            self._outcomes.append(OutcomeFor(request, response))
        elif held.state is WorkState.RUNNING:
            if request not in held.asked_by:
                held.asked_by.append(request)
        else:
            self._respond(request, held)

    def take_outcomes(self) -> list[OutcomeFor]:
        """Return outcomes for other entries, once."""
        outcomes = self._outcomes
        self._outcomes = []
        return outcomes

    def forget_old(self, now_s: float) -> None:
        """Drop claims that the control replicas have purged as well."""
        keep_s = 2 * state.KEEP_MS / 1000
        old = [
            key_id
            for key_id, held in self._held.items()
            if now_s > held.held_since_s + keep_s
            and held.state is not WorkState.RUNNING
        ]
        for key_id in old:
            self._drop_answer(self._held.pop(key_id))

    def _respond(
        self, request: claim_msgs.OutcomeRequest, held: HeldClaim
    ) -> None:
        kept = claim_msgs.KeptState.UNKNOWN
        if held.state is WorkState.ANSWERED and held.answer is not None:
            kept = claim_msgs.KeptState.ANSWERED
        if held.state in (WorkState.NOT_RUN, WorkState.GIVEN_UP):
            # From here on this process never starts the work, so the entry
            # that asked may.
            held.state = WorkState.GIVEN_UP
            kept = claim_msgs.KeptState.GIVEN_UP
        response = claim_msgs.OutcomeResponse(
            request.boot_id, request.key_id, kept, held.answer
        )
        self._outcomes.append(OutcomeFor(request, response))

    def _drop_answers(self) -> None:
        """Drop the oldest answers beyond the bound on memory."""
        for held in self._held.values():
            if self.kept_bytes <= MAX_KEPT_BYTES:
                return
            self._drop_answer(held)

    def _drop_answer(self, held: HeldClaim) -> None:
        if held.answer is not None:
            self.kept_bytes -= len(held.answer.body)
            held.answer = None
