"""Messages between entries and the leader about jobs, and about members."""

import dataclasses
import enum

from greengagering.coordination.jobs import _agent_messages as agents
from greengagering import state


class CallKind(enum.StrEnum):
    """What a caller asks of a queue."""

    SUBMIT = 'submit'
    SHOW = 'show'
    CANCEL = 'cancel'
    COUNT = 'count'


class JobOutcome(enum.StrEnum):
    """How a caller's call ended.

    UNAVAILABLE: nothing was done, and another try may succeed.
    UNKNOWN: it may have been done, and no answer came in time.
    """

    DONE = 'done'
    NO_QUEUE = 'no_queue'
    NO_JOB = 'no_job'
    NEVER_FITS = 'never_fits'
    OVERLOADED = 'overloaded'
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class JobCall:
    """A caller's call, passed on to the leader.

    Attributes:
        call_id: the entry's boot id and the call's number there.
        entry_id: the entry, whose earlier processes had the same.
        address: where the entry hears the answer, as host:port.
        kind: what is asked.
        host: host name that the caller used.
        path: whole path that the caller used.
        spec: the job, for SUBMIT; its id is the path's last part.
    """

    call_id: str
    entry_id: str
    address: str
    kind: CallKind
    host: str
    path: str
    spec: state.JobSpec | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class JobAnswer:
    """The leader's answer to a JobCall.

    Attributes:
        call_id: the call's name.
        outcome: how it ended.
        job_state: for SHOW, where the job stands.
        pending_count: for COUNT, jobs that have not begun.
        retry_after_s: for refusals, when to come back.
        detail: for refusals, the reason.
    """

    call_id: str
    outcome: JobOutcome
    job_state: str = ''
    pending_count: int = 0
    retry_after_s: float = 0.0
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ControlProbe:
    """Asks a control process who leads.

    Attributes:
        sender_id: the process that asks.
        address: where it hears the answer, as host:port.
        joining_id: set by a control replica that wants to become a member.
        number: echoed by the answer.
        offer: set by an entry that would carry orders to workers.
    """

    sender_id: str
    address: str
    joining_id: str = ''
    number: int = 0
    offer: agents.AgentOffer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ControlStatus:
    """Tells who leads, as far as a control process knows.

    Attributes:
        replica_id: the process that tells.
        address: where it listens, as host:port.
        leader_id: the leader, or '' where it is unknown.
        leader_address: where the leader listens, or ''.
        is_leader: it leads under a lease of its own.
        members: addresses of all members.
        max_body_bytes: largest body that callers may send, or 0.
        number: echo of the probe.
        term: the newest term that it knows.
    """

    replica_id: str
    address: str
    leader_id: str
    leader_address: str
    is_leader: bool
    members: tuple[str, ...]
    max_body_bytes: int
    number: int
    term: int = 0


JobMessage = JobCall | JobAnswer | ControlProbe | ControlStatus
