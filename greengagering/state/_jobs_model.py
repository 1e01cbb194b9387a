"""Data classes of queues, jobs, workers and the records about them.

An incarnation is one start of a worker's process. Stored names call it a life
(WorkerLife, LifeSeen, life_key, lives), and an assignment an allotment.
"""

import dataclasses
import enum


class JobStatus(enum.StrEnum):
    """Status of a job as its caller sees it."""

    ACTIVE = 'active'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class RunEnding(enum.StrEnum):
    """How a run ended, as its worker reports it.

    LAPSED: its lease expired. BROKEN: another member of its gang ended.
    ALONE: the other members of its gang did not start in time.
    """

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


@dataclasses.dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """Adviser of a queue; its steps run only on workers that it permits.

    Attributes:
        decide_s: time that the adviser takes for one decision.
        each_s: additional time per worker in the request.
        validity_s: how long a permit is valid.
    """

    decide_s: float
    each_s: float
    validity_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """An endpoint to which callers submit jobs, and the objectives for them.

    Attributes:
        name: unique name.
        host: host name that callers use.
        path_prefix: path in front of the job's id.
        service: service whose workers run the tasks.
        priority: 0 is the highest.
        attempt_limit: failed runs of a task after which its job fails.
        stretch: target time of a job as a multiple of its longest chain of
            steps.
        target_s: constant that is added to that target time.
        advice: set if an adviser must permit the workers.
        is_public: whether calls need no customer's key.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    attempt_limit: int = 1
    stretch: float = 1.0
    target_s: float = 0.0
    advice: AdvicePolicy | None = None
    is_public: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerService:
    """A pool of machines whose workers run tasks.

    The machines of a service are its pool, so its name is also the pool's. For
    VMs, pools and services are separate (see Pool).

    Attributes:
        name: unique name.
        is_standby: whether its machines are switched off and cost nothing;
            they have no worker, and are listed as up while they can be moved
            to another pool.
        guards_capacity: whether workers refuse runs beyond their capacity.
        connection_limit: open connections that a worker accepts.
    """

    name: str
    is_standby: bool = False
    guards_capacity: bool = False
    connection_limit: int = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """Capacity of a worker, or the part of it that a task needs."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpu_count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """A customer, whose keys allow calls to queues that aren't public.

    Attributes:
        name: unique name.
        key_digests: SHA-256 of each of its keys, in hexadecimal. Keys
            themselves are kept only in the source of the plan.
        weight: its share relative to other customers while room is short, and
            the number of jobs a second that are served as its own.
        limit: largest sum of what its running tasks need, over all workers; 0
            is no limit.
    """

    name: str
    key_digests: tuple[str, ...]
    weight: float = 1.0
    limit: Room = Room()


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """The operator's limits on what clients send, beside that on bodies.

    Attributes:
        max_header_bytes: most bytes of a request line, and of all header
            fields together.
        header_timeout_ms: time from the first byte of a head to its last.
        idle_timeout_ms: time between two requests, and before the first.
    """

    max_header_bytes: int = 16_384
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclasses.dataclass(frozen=True, slots=True)
class RoutePlan:
    """The operator's numbered configuration of all queues and services.

    Attributes:
        number: plan number; the plan with the highest number is in force.
        queues: every queue.
        services: every pool of workers.
        max_body_bytes: largest body that callers may send.
        source: the configuration's bytes as the operator sent them, returned
            when it is read.
        customers: every customer; without any, calls need no key.
        client_limits: further limits on what clients send.
    """

    number: int
    queues: tuple[Queue, ...]
    services: tuple[WorkerService, ...]
    max_body_bytes: int
    source: bytes
    customers: tuple[Customer, ...] = ()
    client_limits: ClientLimits = ClientLimits()


@dataclasses.dataclass(frozen=True, slots=True)
class StepSpec:
    """The identical tasks of one step of a job.

    Attributes:
        task_count: number of tasks.
        room: capacity that each task needs.
        estimate_s: the caller's estimate of a task's run time; 0 is none.
        after: numbers of earlier steps that must be done first.
        saves_progress: a stopped task can resume from its saved progress.
        is_gang: the tasks must run at the same time.
        is_rack_local: the tasks are slower across racks.
        required_label: label that the worker must have, or ''.
        data_rack: rack near the data, or ''.
        max_per_worker: tasks on one worker; 0 is no limit.
        is_speculative: copies of a task may run at the same time.
        is_lasting: the tasks run until the job is cancelled.
        image: image that the tasks run, or ''.
        tail_target_ms: bound on the tail latency, or 0; a task with a bound
            is a serving task.
        fills: the tasks use only spare CPU time, and none is reserved for
            them. Such a filling task runs at the pace that the leader orders,
            a percentage of full speed.
        may_miss: lasting tasks of the step that the system may interrupt at
            the same time; None is one, 0 is none.
    """

    task_count: int
    room: Room
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    saves_progress: bool = False
    is_gang: bool = False
    is_rack_local: bool = False
    required_label: str = ''
    data_rack: str = ''
    max_per_worker: int = 0
    is_speculative: bool = False
    is_lasting: bool = False
    image: str = ''
    tail_target_ms: int = 0
    fills: bool = False
    may_miss: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as its caller submitted it.

    Attributes:
        job_id: the caller's unique name for the job.
        text: opaque text that is passed to the workers.
        steps: the job's steps.
        occurrence_count: how many times the steps run.
        first_due_ms: Unix time of the first occurrence; 0 is at once.
        interval_ms: time between occurrences.
    """

    job_id: str
    text: str
    steps: tuple[StepSpec, ...]
    occurrence_count: int = 1
    first_due_ms: int = 0
    interval_ms: int = 0


@dataclasses.dataclass(slots=True)
class TaskCrashes:
    """Recent crashes of workers on which a task ran.

    Attributes:
        total: workers that crashed while it ran there.
        suspected: those that had just started it, or were kept for it.
        alone: those of the latter that had confirmed its start, and on which
            no other task was suspected.
        unanswered: those on which no other task was suspected, and that had
            not answered the order to start it, so they may have crashed
            before.
        newest_at_ms: Unix time of the newest crash.
    """

    total: int = 0
    suspected: int = 0
    alone: int = 0
    unanswered: int = 0
    newest_at_ms: int = 0


@dataclasses.dataclass(slots=True)
class Task:
    """Committed state of one task.

    Attributes:
        run: highest run number that was assigned.
        failed_runs: runs that ended by the task's own fault.
        is_done: whether it is done, so that it isn't run again.
        saved: progress to resume from, or ''.
        live_runs: key of the worker's incarnation by run number, for runs
            that aren't known to have ended.
        crashes: crashes of workers on which it ran, or None.
    """

    run: int = 0
    failed_runs: int = 0
    is_done: bool = False
    saved: str = ''
    live_runs: dict[int, str] = dataclasses.field(default_factory=dict)
    crashes: TaskCrashes | None = None


@dataclasses.dataclass(slots=True)
class Job:
    """Committed state of one job.

    Attributes:
        spec: the job as submitted.
        queue: the queue's parameters at acceptance.
        accepted_at_ms: Unix time of acceptance.
        status: current status.
        has_started: whether a run was ever assigned; the leader knows more of
            whether one has begun.
        tasks: tasks that were assigned, by 'occurrence.step.index'.
        done_counts: number of done tasks by 'occurrence.step'.
        customer: name of the customer that submitted it, or ''.
        done_step_count: number of steps, in all occurrences, whose tasks are
            all done; -1 in a snapshot of a former version, which lacks it.
        done_first: number of first occurrences that are known to be done,
            with all of their steps. Of a done occurrence no task and no count
            is stored, unless a run of it still had to end.
        done_later: further occurrences that are known to be done. A former
            version kept neither, but all tasks and counts.
    """

    spec: JobSpec
    queue: Queue
    accepted_at_ms: int
    status: JobStatus = JobStatus.ACTIVE
    has_started: bool = False
    tasks: dict[str, Task] = dataclasses.field(default_factory=dict)
    done_counts: dict[str, int] = dataclasses.field(default_factory=dict)
    customer: str = ''
    done_step_count: int = -1
    done_first: int = 0
    done_later: set[int] = dataclasses.field(default_factory=set)

    def is_known_done(self, occurrence: int) -> bool:
        """Tell whether done_first or done_later has an occurrence."""
        return occurrence < self.done_first or occurrence in self.done_later

    def is_occurrence_done(self, occurrence: int) -> bool:
        """Tell whether all steps of an occurrence are done."""
        if self.is_known_done(occurrence):
            return True
        # The last steps mostly end last, so that few are looked at.
        return all(
            self.is_step_done(occurrence, number)
            for number in reversed(range(len(self.spec.steps)))
        )

    def is_step_done(self, occurrence: int, number: int) -> bool:
        """Tell whether the tasks of a step of an occurrence are done."""
        if self.is_known_done(occurrence):
            return True
        done_count = self.done_counts.get(f'{occurrence}.{number}', 0)
        return done_count >= self.spec.steps[number].task_count


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerFacts:
    """What one incarnation of a worker reports; only its room may change.

    Attributes:
        worker_id: name, which later incarnations may share.
        born_ms: Unix time of the start, which identifies the incarnation.
        service: pool that it serves.
        address: where it receives orders, as host:port.
        data_centre: data centre in which it runs.
        rack: failure domain, or ''.
        labels: labels that steps may require.
        room: its capacity.
    """

    worker_id: str
    born_ms: int
    service: str
    address: str
    data_centre: str
    rack: str
    labels: tuple[str, ...]
    room: Room

    @property
    def key(self) -> str:
        """Key of this incarnation; other records store it as life_key."""
        return f'{self.worker_id}@{self.born_ms}'


@dataclasses.dataclass(slots=True)
class WorkerLife:
    """Committed state of one incarnation of a worker.

    Attributes:
        facts: its reported properties, with the room that it reported last.
        noted_end: highest number of its run ends that is committed.
        is_draining: whether it reported that it is leaving; it then gets no
            new run.
        runs: runs that are assigned to it and aren't known to have ended, by
            run name.
        is_restarted: whether an earlier incarnation had its name, so that it
            may carry out what was ordered of that one.
    """

    facts: WorkerFacts
    noted_end: int = 0
    is_draining: bool = False
    runs: dict[str, 'RunKey'] = dataclasses.field(default_factory=dict)
    is_restarted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RunKey:
    """One run of one task.

    Attributes:
        job_id: the task's job.
        task: the task in its job, as 'occurrence.step.index'.
        run: number of the run.
    """

    job_id: str
    task: str
    run: int

    @property
    def task_name(self) -> str:
        """Unique name of the task across all jobs."""
        return f'{self.job_id}.{self.task}'

    @property
    def name(self) -> str:
        """Unique name of the run across all jobs."""
        return f'{self.job_id}.{self.task}#{self.run}'

    @property
    def step_key(self) -> str:
        """Occurrence and step, as 'occurrence.step'."""
        return self.task.rpartition('.')[0]

    @property
    def occurrence(self) -> int:
        """Number of the occurrence of its job."""
        return int(self.task.partition('.')[0])

    @property
    def step_number(self) -> int:
        """Position of the step in its job."""
        return int(self.task.split('.')[1])


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnd:
    """The end of a run, as its worker reports it."""

    number: int
    key: RunKey
    ending: RunEnding
    saved: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpkeepWave:
    """Machines that must each be taken down for upkeep once, by a deadline.

    Its progress is WaveState. Wave and WaveProgress, about the reboots of VMs,
    are unrelated.

    Attributes:
        number: number that identifies the wave.
        machines: names of the machines.
        deadline_s: time allowed from acceptance to completion.
        max_down_count: machines that may be down for it at the same time.
    """

    number: int
    machines: tuple[str, ...]
    deadline_s: float
    max_down_count: int


@dataclasses.dataclass(slots=True)
class WaveState:
    """Committed progress of an upkeep wave.

    Attributes:
        wave: the wave as requested.
        accepted_at_ms: Unix time of acceptance.
        begun: machines whose upkeep the platform has confirmed, or that
            have left the fleet.
    """

    wave: UpkeepWave
    accepted_at_ms: int
    begun: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class PlanReplaced:
    """A new plan of an operator; it is ignored unless its number is higher.

    Attributes:
        plan: the plan.
        is_reread: the plan in force, read again from its source by a version
            that reads more of it. It replaces a plan with the same number and
            source only; the former version ignores it.
    """

    plan: RoutePlan
    is_reread: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class JobAccepted:
    """A caller submitted a job, with a key of the customer unless ''."""

    spec: JobSpec
    queue: Queue
    at_ms: int
    customer: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class JobCancelled:
    """A caller cancelled a job."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobsForgotten:
    """Finished jobs whose retention period is over; they are removed."""

    job_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LifeSeen:
    """A worker's incarnation reported first, or with a changed room.

    A former version ignores the latter.

    Attributes:
        facts: what it reported.
        is_restarted: whether an earlier incarnation had its name; counts only
            the first time.
    """

    facts: WorkerFacts
    is_restarted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LifeDraining:
    """An incarnation of a worker reported that it is leaving."""

    life_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class LapsedLife:
    """An incarnation whose lease has expired.

    Attributes:
        born_ms: when it started; see WorkerFacts.
        noted_end: highest number of its run ends that is committed.
    """

    born_ms: int
    noted_end: int


LEASE_LAPSED = 'lease lapsed'
"""Cause of a LifeOver after which the incarnation may be heard again."""


@dataclasses.dataclass(frozen=True, slots=True)
class LifeOver:
    """An incarnation of a worker is over; none of its runs is running.

    Attributes:
        life_key: key of the incarnation.
        cause: why that is certain. 'reborn': replaced by a later incarnation
            of the worker. 'address reused': another worker has its address.
            'left': it announced that it ends, and the time for that is over.
            'lease lapsed': it doesn't answer, and its lease has expired.
            'machine lost': it is suspect, and by the platform's list its
            machine is gone, down or has another worker. 'upkeep' or 'move':
            the platform has confirmed this duty for its machine.
        crashed_runs: the runs on it, if it crashed; a former version, which
            counts no crashes, names none.
        suspects: those of them that may have caused the crash.
        unanswered: those of the latter whose start it had not confirmed.
        at_ms: Unix time.
    """

    life_key: str
    cause: str
    crashed_runs: tuple[RunKey, ...] = ()
    suspects: tuple[RunKey, ...] = ()
    unanswered: tuple[RunKey, ...] = ()
    at_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RunsAllotted:
    """Assigns runs to workers; from now on they may be ordered there.

    Attributes:
        runs: the runs.
        life_keys: for each run, the key of the worker's incarnation.
    """

    runs: tuple[RunKey, ...]
    life_keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RunsVoided:
    """Assigned runs that neither run nor can start any more.

    A run may have started before: one that its worker lists neither as
    running nor as ended is voided too.
    """

    runs: tuple[RunKey, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EndsNoted:
    """Ends of runs that an incarnation of a worker reported."""

    life_key: str
    ends: tuple[RunEnd, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WaveAccepted:
    """An operator requested an upkeep wave."""

    wave: UpkeepWave
    at_ms: int


class DutyKind(enum.StrEnum):
    """What is done with a machine; either kind ends all runs on it."""

    UPKEEP = 'upkeep'
    MOVE = 'move'


@dataclasses.dataclass(frozen=True, slots=True)
class Duty:
    """Upkeep or a move of one machine, which the platform carries out.

    DutyOrder is the order for it, with the leader's fence.

    Attributes:
        machine: name of the machine.
        kind: what is done.
        pool: for a move, the target pool.
        wave_number: for upkeep, the number of its wave.
    """

    machine: str
    kind: DutyKind
    pool: str = ''
    wave_number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class DutyOrdered:
    """A duty was decided; from now on it may be sent to the platform."""

    duty: Duty
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class DutySettled:
    """A duty was carried out by the platform, or never will be.

    Attributes:
        duty: the duty.
        is_done: whether it was carried out.
    """

    duty: Duty
    is_done: bool


JobRecord = (
    PlanReplaced
    | JobAccepted
    | JobCancelled
    | JobsForgotten
    | LifeSeen
    | LifeDraining
    | LifeOver
    | RunsAllotted
    | RunsVoided
    | EndsNoted
    | WaveAccepted
    | DutyOrdered
    | DutySettled
)

JOB_RECORD_TYPES: tuple[type[JobRecord], ...] = (
    PlanReplaced,
    JobAccepted,
    JobCancelled,
    JobsForgotten,
    LifeSeen,
    LifeDraining,
    LifeOver,
    RunsAllotted,
    RunsVoided,
    EndsNoted,
    WaveAccepted,
    DutyOrdered,
    DutySettled,
)


@dataclasses.dataclass(slots=True)
class JobsState:
    """The state of jobs, workers and upkeep.

    Attributes:
        plan: the plan in force, or None before the first.
        jobs: jobs by id, in the order of acceptance.
        lives: incarnations of workers that aren't over, by key.
        waves: upkeep waves by number.
        duties: duties without a known outcome, by machine.
        ordered_at_ms: Unix time of the newest duty, by machine.
        lapsed: the latest incarnation whose lease has expired, by worker; one
            that was only cut off is heard again, and lists its ends again.
        ended_workers: start, in Unix ms, of the incarnation that was declared
            over last, by worker; the newest ones only.
    """

    plan: RoutePlan | None = None
    jobs: dict[str, Job] = dataclasses.field(default_factory=dict)
    lives: dict[str, WorkerLife] = dataclasses.field(default_factory=dict)
    waves: dict[int, WaveState] = dataclasses.field(default_factory=dict)
    duties: dict[str, Duty] = dataclasses.field(default_factory=dict)
    ordered_at_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    lapsed: dict[str, LapsedLife] = dataclasses.field(default_factory=dict)
    ended_workers: dict[str, int] = dataclasses.field(default_factory=dict)

    def find_task(self, key: RunKey) -> Task | None:
        """Return the task of a run, or None if it is unknown."""
        job = self.jobs.get(key.job_id)
        return job.tasks.get(key.task) if job is not None else None
