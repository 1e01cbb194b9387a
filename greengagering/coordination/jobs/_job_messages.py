"""Messages about jobs, and the probes by which processes find the leader."""

import dataclasses
import enum

from greengagering.coordination.workers import AgentOffer
from greengagering import state


class CallKind(enum.StrEnum):
    """Kind of a caller's request to a queue."""

    SUBMIT = 'submit'
    SHOW = 'show'
    CANCEL = 'cancel'
    COUNT = 'count'


class JobOutcome(enum.StrEnum):
    """Outcome of a caller's call.

    UNAVAILABLE: the call was not carried out, and a retry may succeed.
    UNKNOWN: the call may have been carried out; its result is not known.
    """

    DONE = 'done'
    NO_QUEUE = 'no_queue'
    NO_JOB = 'no_job'
    NEVER_FITS = 'never_fits'
    OVERLOADED = 'overloaded'
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'


class RefusalCause(enum.StrEnum):
    """Why a call with outcome OVERLOADED was not carried out.

    A reader that doesn't know the cause treats the call as refused for the
    moment. NONE: control can't take calls just now.
    """

    NONE = 'none'
    UNKNOWN_KEY = 'unknown_key'
    OVER_RATE = 'over_rate'
    OVER_LIMIT = 'over_limit'


@dataclasses.dataclass(frozen=True, slots=True)
class JobCall:
    """A caller's call, forwarded to the leader.

    Attributes:
        call_id: the entry's boot id and the call's number in that process.
        entry_id: the entry; the id stays the same when its process restarts.
        address: where the entry receives the answer, as host:port.
        kind: kind of the request.
        host: host name of the caller's request.
        path: full path of the caller's request.
        spec: the job, for SUBMIT.
        key_digest: SHA-256 of the caller's key in hexadecimal, '' if the
            caller sent none, None if the entry doesn't pass keys on.
        job_id: id of the job that the path names, or '' if it names none, or
            if a former version sent the call.
    """

    call_id: str
    entry_id: str
    address: str
    kind: CallKind
    host: str
    path: str
    spec: state.JobSpec | None = None
    key_digest: str | None = None
    job_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class JobAnswer:
    """The leader's answer to a JobCall.

    Attributes:
        call_id: id of the call.
        outcome: outcome of the call.
        job_state: for SHOW, the state of the job.
        pending_count: for COUNT, the number of jobs that have not begun.
        retry_after_s: for refusals, the time after which to retry.
        detail: for refusals, the reason.
        cause: for refusals with outcome OVERLOADED, the kind of reason.
        is_untouched: for UNAVAILABLE, whether this message of the call can
            have had no effect, as its receiver did not lead.
    """

    call_id: str
    outcome: JobOutcome
    job_state: str = ''
    pending_count: int = 0
    retry_after_s: float = 0.0
    detail: str = ''
    cause: RefusalCause = RefusalCause.NONE
    is_untouched: bool = False

    @property
    def label(self) -> str:
        """Outcome as metrics count it: the cause of a refusal, if it has one.

        Otherwise a call without a known key would count as an overload.
        """
        if self.cause is RefusalCause.NONE:
            return str(self.outcome)
        return str(self.cause)


@dataclasses.dataclass(frozen=True, slots=True)
class ControlProbe:
    """A request to a control process to name the leader.

    Attributes:
        sender_id: the process that sends the probe.
        address: where it receives the answer, as host:port.
        joining_id: set by a control replica that wants to become a member.
        number: echoed by the answer.
        offer: set by an entry that offers to carry orders to workers.
    """

    sender_id: str
    address: str
    joining_id: str = ''
    number: int = 0
    offer: AgentOffer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ControlStatus:
    """The answer to a ControlProbe: the leader, as far as it is known.

    Attributes:
        replica_id: the control process that answers.
        address: where it listens, as host:port.
        leader_id: the leader, or '' if unknown.
        leader_address: where the leader listens, or ''.
        is_leader: whether the answering process leads and holds a lease.
        members: addresses of all members.
        max_body_bytes: largest body that callers may send, or 0 while there
            is no route plan.
        number: number of the probe.
        client_limits: further limits on what callers send, or None while
            there is no route plan.
        term: the newest term that the answering process knows.
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
    client_limits: state.ClientLimits | None = None


JobMessage = JobCall | JobAnswer | ControlProbe | ControlStatus
