"""Fault search over job calls of entries and the answers to them."""

import dataclasses
import random

from features.search.replica_search import InvariantError
from greengagering import coordination
from greengagering import state

STEP_S = 0.025
STEPS = 1200
DEADLINE_S = 3.0
CALL_RATIO = 0.25
RESTART_RATIO = 0.01
"""Probability per step that an entry restarts at its address."""

SILENCE_RATIO = 0.005
"""Probability per step that the leader becomes silent for a while."""

MAX_SILENCE_S = 2.0
MAX_DELAY_S = 1.0
LOSS_RATIO = 0.02
DUPLICATE_RATIO = 0.05
JOBS = 40
"""Jobs that calls are about; few, so that several calls concern one job."""

ENTRIES = ('entry-0', 'entry-1', 'entry-2')
LEADER = 'control-0'

Message = (
    coordination.JobCall
    | coordination.JobAnswer
    | coordination.ControlProbe
    | coordination.ControlStatus
)


@dataclasses.dataclass
class ReplyResult:
    """Counts of what a schedule exercised; 0 shows what it never tried."""

    accepted: int = 0
    shown: int = 0
    denied: int = 0
    refused: int = 0
    unknown: int = 0
    restarts: int = 0
    silences: int = 0
    late_answers: int = 0

    def add(self, other: 'ReplyResult') -> None:
        """Add another schedule's counts."""
        for field in dataclasses.fields(self):
            total = getattr(self, field.name) + getattr(other, field.name)
            setattr(self, field.name, total)


@dataclasses.dataclass
class PendingCall:
    """A call at one entry that has no answer yet.

    Attributes:
        job_id: the job that the call is about.
        kind: kind of the call.
        was_stored: whether the job was committed when the call arrived.
        is_sent: whether the call was sent to the leader.
    """

    job_id: str
    kind: coordination.CallKind
    was_stored: bool
    is_sent: bool = False


@dataclasses.dataclass
class EntryProcess:
    """One process of an entry, and its open calls."""

    gateway: coordination.JobGateway
    calls: dict[object, PendingCall] = dataclasses.field(default_factory=dict)


class ReplySearch:
    """One seeded schedule over three entries and a leader."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.result = ReplyResult()
        self.committed: set[str] = set()
        self._silent_until_s = 0.0
        self._boots = 0
        self._messages: list[tuple[float, int, str, Message]] = []
        self._message_count = 0
        self.entries = {name: self._start(name) for name in ENTRIES}

    def run(self) -> ReplyResult:
        """Run the schedule.

        Raises:
            InvariantError: a caller got a wrong answer.
        """
        for _ in range(STEPS):
            self.now_s += STEP_S
            self._inject_events()
            self._deliver()
            for name, entry in self.entries.items():
                self._step_entry(name, entry)
        return self.result

    def _start(self, name: str) -> EntryProcess:
        self._boots += 1
        return EntryProcess(
            coordination.JobGateway(
                name, name, (LEADER,), f'boot-{self._boots}', 'dc-1'
            )
        )

    def _inject_events(self) -> None:
        if self.rng.random() < SILENCE_RATIO:
            self.result.silences += 1
            self._silent_until_s = self.now_s + self.rng.uniform(
                0, MAX_SILENCE_S
            )
        for name in ENTRIES:
            if self.rng.random() < RESTART_RATIO:
                self.result.restarts += 1
                self.entries[name] = self._start(name)
            if self.rng.random() < CALL_RATIO:
                self._call(self.entries[name])

    def _call(self, entry: EntryProcess) -> None:
        job_id = f'{self.rng.randrange(JOBS):016x}'
        kind = self.rng.choice(
            (coordination.CallKind.SUBMIT, coordination.CallKind.SHOW)
        )
        spec = None
        if kind is coordination.CallKind.SUBMIT:
            spec = state.JobSpec(
                job_id, 'text', (state.StepSpec(1, state.Room(1, 1)),)
            )
        call = PendingCall(job_id, kind, job_id in self.committed)
        call_id = entry.gateway.submit(
            kind,
            'host',
            f'/a/{job_id}',
            spec,
            self.now_s + DEADLINE_S,
            self.now_s,
        )
        entry.calls[call_id] = call

    def _send(self, receiver: str, message: Message) -> None:
        copies = 0 if self.rng.random() < LOSS_RATIO else 1
        copies += self.rng.random() < DUPLICATE_RATIO
        for _ in range(copies):
            self._message_count += 1
            delay_s = MAX_DELAY_S * self.rng.random() ** 4
            item = (
                self.now_s + delay_s,
                self._message_count,
                receiver,
                message,
            )
            self._messages.append(item)

    def _deliver(self) -> None:
        due = sorted(m for m in self._messages if m[0] <= self.now_s)
        self._messages = [m for m in self._messages if m[0] > self.now_s]
        for _, _, receiver, message in due:
            if receiver == LEADER:
                if self.now_s >= self._silent_until_s:
                    self._answer_as_leader(message)
            elif isinstance(
                message, coordination.JobAnswer | coordination.ControlStatus
            ):
                entry = self.entries[receiver]
                if isinstance(message, coordination.JobAnswer):
                    is_open = message.call_id in entry.gateway.open_calls
                    self.result.late_answers += not is_open
                entry.gateway.receive(LEADER, message, self.now_s)

    def _answer_as_leader(self, message: Message) -> None:
        """Answer as a leader does, with a job committed before its answer."""
        if isinstance(message, coordination.ControlProbe):
            status = coordination.ControlStatus(
                replica_id=LEADER,
                address=LEADER,
                leader_id=LEADER,
                leader_address=LEADER,
                is_leader=True,
                members=(LEADER,),
                max_body_bytes=1000,
                number=0,
            )
            self._send(message.address, status)
        elif isinstance(message, coordination.JobCall):
            job_id = message.path.rpartition('/')[2]
            outcome = coordination.JobOutcome.DONE
            if message.kind is coordination.CallKind.SUBMIT:
                self.committed.add(job_id)
            elif job_id not in self.committed:
                outcome = coordination.JobOutcome.NO_JOB
            answer = coordination.JobAnswer(
                message.call_id, outcome, job_state=job_id
            )
            self._send(message.address, answer)

    def _step_entry(self, name: str, entry: EntryProcess) -> None:
        entry.gateway.step(self.now_s)
        for outgoing in entry.gateway.take_outbox():
            self._send(outgoing.address, outgoing.message)
            if isinstance(outgoing.message, coordination.JobCall):
                entry.calls[outgoing.message.call_id].is_sent = True
        for answer in entry.gateway.take_answers():
            self._check(entry.calls.pop(answer.call_id), answer)

    def _check(
        self, call: PendingCall, answer: coordination.JobAnswer
    ) -> None:
        outcomes = coordination.JobOutcome
        is_submit = call.kind is coordination.CallKind.SUBMIT
        is_stored = call.job_id in self.committed
        match answer.outcome:
            case outcomes.DONE if is_submit:
                self.result.accepted += 1
                self._require(is_stored, 'acknowledged and not stored', call)
            case outcomes.DONE:
                self.result.shown += 1
                is_own = answer.job_state == call.job_id
                self._require(is_own, "shown another job's state", call)
            case outcomes.NO_JOB:
                self.result.denied += 1
                is_true = not is_submit and not call.was_stored
                self._require(is_true, 'wrongly answered with NO_JOB', call)
            case outcomes.UNKNOWN:
                self.result.unknown += 1
            case _:
                self.result.refused += 1
                self._require(
                    not call.is_sent,
                    'reported as not run though it was sent',
                    call,
                )

    def _require(self, is_met: bool, message: str, call: PendingCall) -> None:
        if not is_met:
            raise InvariantError(
                f'{self.now_s:.3f} s: job {call.job_id} ({call.kind}) was '
                f'{message}'
            )
