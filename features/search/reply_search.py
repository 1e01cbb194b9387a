"""Fault search over entries' calls and the answers that they are given."""

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
"""Chance of an entry's restart at its address in a step."""

FALL_RATIO = 0.005
"""Chance in a step that the leader falls silent for a while."""

MAX_SILENCE_S = 2.0
MAX_DELAY_S = 1.0
LOSS_RATIO = 0.02
DOUBLE_RATIO = 0.05
JOBS = 40
"""Jobs that callers ask about; few, so that calls meet."""

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
    """What a schedule exercised, so that an idle search shows itself."""

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
class Asked:
    """A caller's call at one entry.

    Attributes:
        job_id: the job that it is about.
        kind: what is asked.
        was_held: whether the job was committed when the call came.
        is_sent: whether it was passed on.
    """

    job_id: str
    kind: coordination.CallKind
    was_held: bool
    is_sent: bool = False


@dataclasses.dataclass
class EntryProcess:
    """One process of an entry, and the calls that it has open."""

    gateway: coordination.JobGateway
    calls: dict[object, Asked] = dataclasses.field(default_factory=dict)


class ReplySearch:
    """One seeded schedule over three entries and a leader."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.result = ReplyResult()
        self.committed: set[str] = set()
        self._silent_until_s = 0.0
        self._boots = 0
        self._mail: list[tuple[float, int, str, Message]] = []
        self._mail_count = 0
        self.entries = {name: self._start(name) for name in ENTRIES}

    def run(self) -> ReplyResult:
        """Run the schedule.

        Raises:
            InvariantError: a caller was told something wrong.
        """
        for _ in range(STEPS):
            self.now_s += STEP_S
            self._inject()
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

    def _inject(self) -> None:
        if self.rng.random() < FALL_RATIO:
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
        asked = Asked(job_id, kind, job_id in self.committed)
        call_id = entry.gateway.submit(
            kind,
            'host',
            f'/a/{job_id}',
            spec,
            self.now_s + DEADLINE_S,
            self.now_s,
        )
        entry.calls[call_id] = asked

    def _send(self, receiver: str, message: Message) -> None:
        copies = 0 if self.rng.random() < LOSS_RATIO else 1
        copies += self.rng.random() < DOUBLE_RATIO
        for _ in range(copies):
            self._mail_count += 1
            delay_s = MAX_DELAY_S * self.rng.random() ** 4
            item = (self.now_s + delay_s, self._mail_count, receiver, message)
            self._mail.append(item)

    def _deliver(self) -> None:
        due = sorted(m for m in self._mail if m[0] <= self.now_s)
        self._mail = [m for m in self._mail if m[0] > self.now_s]
        for _, _, receiver, message in due:
            if receiver == LEADER:
                if self.now_s >= self._silent_until_s:
                    self._lead(message)
            elif isinstance(
                message, coordination.JobAnswer | coordination.ControlStatus
            ):
                entry = self.entries[receiver]
                if isinstance(message, coordination.JobAnswer):
                    is_open = message.call_id in entry.gateway.open_calls
                    self.result.late_answers += not is_open
                entry.gateway.receive(LEADER, message, self.now_s)

    def _lead(self, message: Message) -> None:
        """Answer as a leader does; a job is committed before its answer."""
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

    def _check(self, asked: Asked, answer: coordination.JobAnswer) -> None:
        outcomes = coordination.JobOutcome
        is_submit = asked.kind is coordination.CallKind.SUBMIT
        is_held = asked.job_id in self.committed
        match answer.outcome:
            case outcomes.DONE if is_submit:
                self.result.accepted += 1
                self._require(is_held, 'acknowledged and not stored', asked)
            case outcomes.DONE:
                self.result.shown += 1
                is_own = answer.job_state == asked.job_id
                self._require(is_own, "shown another job's state", asked)
            case outcomes.NO_JOB:
                self.result.denied += 1
                is_true = not is_submit and not asked.was_held
                self._require(is_true, 'denied though it is stored', asked)
            case outcomes.UNKNOWN:
                self.result.unknown += 1
            case _:
                self.result.refused += 1
                self._require(not asked.is_sent, 'said not to have run', asked)

    def _require(self, is_kept: bool, message: str, asked: Asked) -> None:
        if not is_kept:
            raise InvariantError(
                f'{self.now_s:.3f} s: job {asked.job_id} ({asked.kind}) was '
                f'{message}'
            )
