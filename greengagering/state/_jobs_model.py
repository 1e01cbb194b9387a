"""Data classes of queues, jobs, workers and the records about them."""

import dataclasses
import enum


class JobStatus(enum.StrEnum):
    """Where a job stands for its caller."""

    ACTIVE = 'active'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class RunEnding(enum.StrEnum):
    """How a worker says that a run ended.

    LAPSED: its lease ran out. BROKEN: another member of its gang ended.
    ALONE: the other members of its gang did not come in time.
    """

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


@dataclasses.dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """A queue whose steps may run only where an adviser allows it.

    Attributes:
        decide_s: time of one decision.
        each_s: additional time per worker asked about.
        validity_s: how long a permit holds.
    """

    decide_s: float
    each_s: float
    validity_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """Where callers hand in jobs, and what is promised for them.

    Attributes:
        name: unique name.
        host: host name that callers use.
        path_prefix: path that the job's id follows.
        service: service whose workers run the tasks.
        priority: 0 comes first.
        attempt_limit: failed runs of a task after which its job fails.
        stretch: promised time as a multiple of the longest chain of work.
        target_s: promised time in addition to that.
        advice: set where an adviser chooses the workers.
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


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerService:
    """A pool of machines whose workers run tasks.

    Attributes:
        name: unique name.
        is_standby: its machines are off and cost nothing.
        guards_capacity: workers refuse what does not fit.
        connection_limit: open connections that a worker accepts.
    """

    name: str
    is_standby: bool = False
    guards_capacity: bool = False
    connection_limit: int = 64


@dataclasses.dataclass(frozen=True, slots=True)
class RoutePlan:
    """A numbered ticket that holds every queue and service.

    Attributes:
        number: the highest accepted number is in force.
        queues: every queue.
        services: every pool of workers.
        max_body_bytes: largest body that callers may send.
        source: the ticket as the operator sent it, for reading it back.
    """

    number: int
    queues: tuple[Queue, ...]
    services: tuple[WorkerService, ...]
    max_body_bytes: int
    source: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """Capacity of a worker, or the part of it that a task needs."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpu_count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StepSpec:
    """Tasks of a job that are alike.

    Attributes:
        task_count: how many tasks.
        room: what each task needs.
        estimate_s: the caller's guess of a task's run time; 0 is none.
        after: numbers of earlier steps that must be done first.
        saves_progress: a stopped task can go on where it was.
        is_gang: the tasks only work all together.
        is_rack_local: the tasks are slower across racks.
        required_label: label that the worker must have, or ''.
        data_rack: rack near the data, or ''.
        max_per_worker: tasks on one worker; 0 is no limit.
        is_speculative: copies of a task may run side by side.
        is_lasting: the tasks run until the job is cancelled.
        image: what the tasks run, or ''.
        tail_target_ms: bound on the tail of a serving task's answers, or 0.
        fills: the tasks use leftover processor time and count for none.
        may_miss: lasting tasks that the system may take out at once.
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
    """What a caller handed in.

    Attributes:
        job_id: the caller's unique name for the job.
        text: passed on to the workers unread.
        steps: its steps.
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
class Task:
    """Committed state of one task.

    Attributes:
        run: highest run number that was allotted.
        failed_runs: runs that ended by the task's own fault.
        is_done: it need not run again.
        saved: progress to resume from, or ''.
        live_runs: life key by run, for runs not proved over.
    """

    run: int = 0
    failed_runs: int = 0
    is_done: bool = False
    saved: str = ''
    live_runs: dict[int, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Job:
    """Committed state of one job.

    Attributes:
        spec: what was handed in.
        queue: the queue's terms at acceptance.
        accepted_at_ms: Unix time of acceptance.
        status: where it stands.
        has_started: whether a run was ever allotted.
        tasks: tasks by 'occurrence.step.index', once allotted.
        done_counts: tasks done by 'occurrence.step'.
    """

    spec: JobSpec
    queue: Queue
    accepted_at_ms: int
    status: JobStatus = JobStatus.ACTIVE
    has_started: bool = False
    tasks: dict[str, Task] = dataclasses.field(default_factory=dict)
    done_counts: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerFacts:
    """What stays the same in one life of a worker.

    Attributes:
        worker_id: name, which a later life may have again.
        born_ms: Unix time of the start, which tells lives apart.
        service: pool that it serves.
        address: where it takes orders, as host:port.
        data_centre: where it runs.
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
        """Name of this life."""
        return f'{self.worker_id}@{self.born_ms}'


@dataclasses.dataclass(slots=True)
class WorkerLife:
    """Committed state of one life of a worker.

    Attributes:
        facts: what it said of itself.
        noted_end: highest number of its ends that is committed.
        is_draining: it said that it leaves, so it gets no new run.
        runs: runs allotted to it and not proved over, by run name.
    """

    facts: WorkerFacts
    noted_end: int = 0
    is_draining: bool = False
    runs: dict[str, 'RunKey'] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class RunKey:
    """One run of one task.

    Attributes:
        job_id: its job.
        task: 'occurrence.step.index'.
        run: number of the run.
    """

    job_id: str
    task: str
    run: int

    @property
    def task_name(self) -> str:
        """Name of the task over all jobs."""
        return f'{self.job_id}.{self.task}'

    @property
    def name(self) -> str:
        """Name of the run over all jobs."""
        return f'{self.job_id}.{self.task}#{self.run}'

    @property
    def step_key(self) -> str:
        """Occurrence and step, as 'occurrence.step'."""
        return self.task.rpartition('.')[0]

    @property
    def step_number(self) -> int:
        """Number of the step in its job."""
        return int(self.task.split('.')[1])


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnd:
    """An end as a worker lists it."""

    number: int
    key: RunKey
    ending: RunEnding
    saved: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpkeepWave:
    """Machines that must each be down for upkeep once, by a deadline.

    Attributes:
        number: its name.
        machines: machines by name.
        deadline_s: time that it may take, from acceptance.
        max_down_count: machines that may be down for it at once.
    """

    number: int
    machines: tuple[str, ...]
    deadline_s: float
    max_down_count: int


@dataclasses.dataclass(slots=True)
class WaveState:
    """Committed progress of an upkeep wave.

    Attributes:
        wave: what was asked for.
        accepted_at_ms: Unix time of acceptance.
        begun: machines whose upkeep the platform has confirmed, or that
            have left the fleet.
    """

    wave: UpkeepWave
    accepted_at_ms: int
    begun: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class PlanReplaced:
    """An operator's plan; the fold drops one that is not newer."""

    plan: RoutePlan


@dataclasses.dataclass(frozen=True, slots=True)
class JobAccepted:
    """A caller handed in a job."""

    spec: JobSpec
    queue: Queue
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobCancelled:
    """A caller cancelled a job."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobsForgotten:
    """Finished jobs whose time to be shown is over."""

    job_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LifeSeen:
    """A worker was heard of for the first time."""

    facts: WorkerFacts


@dataclasses.dataclass(frozen=True, slots=True)
class LifeDraining:
    """A worker said that it leaves."""

    life_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class LifeOver:
    """Nothing of this life runs any more.

    Attributes:
        life_key: the life.
        cause: the proof.
    """

    life_key: str
    cause: str


@dataclasses.dataclass(frozen=True, slots=True)
class RunsAllotted:
    """Runs that may be ordered from now on, each at one worker.

    Attributes:
        runs: the runs.
        life_keys: the life that each run was allotted to.
    """

    runs: tuple[RunKey, ...]
    life_keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RunsVoided:
    """Runs that never began and can't begin any more."""

    runs: tuple[RunKey, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EndsNoted:
    """Ends that a worker listed."""

    life_key: str
    ends: tuple[RunEnd, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WaveAccepted:
    """An operator asked for an upkeep wave."""

    wave: UpkeepWave
    at_ms: int


class DutyKind(enum.StrEnum):
    """What is done with a machine; both end what runs on it."""

    UPKEEP = 'upkeep'
    MOVE = 'move'


@dataclasses.dataclass(frozen=True, slots=True)
class Duty:
    """An order to the platform about a machine.

    Attributes:
        machine: the machine.
        kind: what is done.
        pool: for a move, the pool that it goes to.
        wave_number: for upkeep, the wave that asks for it.
    """

    machine: str
    kind: DutyKind
    pool: str = ''
    wave_number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class DutyOrdered:
    """A duty that may be sent to the platform from now on."""

    duty: Duty
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class DutySettled:
    """A duty that the platform has carried out, or never will.

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
    """The part of the state that jobs, workers and upkeep rest on.

    Attributes:
        plan: the plan in force, or None before the first.
        jobs: jobs by id, in the order of acceptance.
        lives: lives of workers that may still run something.
        waves: upkeep waves by number.
        duties: orders to the platform that are not settled, by machine.
        ordered_at_ms: Unix time of the newest order, by machine.
    """

    plan: RoutePlan | None = None
    jobs: dict[str, Job] = dataclasses.field(default_factory=dict)
    lives: dict[str, WorkerLife] = dataclasses.field(default_factory=dict)
    waves: dict[int, WaveState] = dataclasses.field(default_factory=dict)
    duties: dict[str, Duty] = dataclasses.field(default_factory=dict)
    ordered_at_ms: dict[str, int] = dataclasses.field(default_factory=dict)
