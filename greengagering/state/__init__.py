"""State layer: the log, snapshots, and the state that records build."""

from greengagering.state._admission import Admission
from greengagering.state._admission import check_ticket
from greengagering.state._admission import Refusal
from greengagering.state._admission import RefusalKind
from greengagering.state._claims import Claim
from greengagering.state._claims import CLAIM_RETENTION_MS
from greengagering.state._claims import ClaimAnswer
from greengagering.state._claims import ClaimAsk
from greengagering.state._claims import ClaimsAsked
from greengagering.state._claims import ClaimsPurged
from greengagering.state._claims import ClaimVerdict
from greengagering.state._codec import decode
from greengagering.state._codec import decode_json
from greengagering.state._codec import decode_record
from greengagering.state._codec import encode
from greengagering.state._codec import encode_record
from greengagering.state._codec import ticket_digest
from greengagering.state._control_apply import Applied
from greengagering.state._control_apply import apply_to_control
from greengagering.state._control_apply import apply_to_fleet
from greengagering.state._control_apply import Outcome
from greengagering.state._damaged_log import has_log_aside
from greengagering.state._damaged_log import set_log_aside
from greengagering.state._folder import DataFolder
from greengagering.state._folder import open_folder
from greengagering.state._folder_identity import FolderIdentity
from greengagering.state._folder_identity import format_folder
from greengagering.state._folder_identity import is_formatted
from greengagering.state._folder_identity import read_identity
from greengagering.state._jobs_apply import apply_to_jobs
from greengagering.state._jobs_model import AdvicePolicy
from greengagering.state._jobs_model import ClientLimits
from greengagering.state._jobs_model import Customer
from greengagering.state._jobs_model import Duty
from greengagering.state._jobs_model import DutyKind
from greengagering.state._jobs_model import DutyOrdered
from greengagering.state._jobs_model import DutySettled
from greengagering.state._jobs_model import EndsNoted
from greengagering.state._jobs_model import Job
from greengagering.state._jobs_model import JOB_RECORD_TYPES
from greengagering.state._jobs_model import JobAccepted
from greengagering.state._jobs_model import JobCancelled
from greengagering.state._jobs_model import JobRecord
from greengagering.state._jobs_model import JobsForgotten
from greengagering.state._jobs_model import JobSpec
from greengagering.state._jobs_model import JobsState
from greengagering.state._jobs_model import JobStatus
from greengagering.state._jobs_model import LEASE_LAPSED
from greengagering.state._jobs_model import LifeDraining
from greengagering.state._jobs_model import LifeOver
from greengagering.state._jobs_model import LifeSeen
from greengagering.state._jobs_model import PlanReplaced
from greengagering.state._jobs_model import Queue
from greengagering.state._jobs_model import Room
from greengagering.state._jobs_model import RoutePlan
from greengagering.state._jobs_model import RunEnd
from greengagering.state._jobs_model import RunEnding
from greengagering.state._jobs_model import RunKey
from greengagering.state._jobs_model import RunsAllotted
from greengagering.state._jobs_model import RunsVoided
from greengagering.state._jobs_model import StepSpec
from greengagering.state._jobs_model import Task
from greengagering.state._jobs_model import TaskCrashes
from greengagering.state._jobs_model import UpkeepWave
from greengagering.state._jobs_model import WaveAccepted
from greengagering.state._jobs_model import WaveState
from greengagering.state._jobs_model import WorkerFacts
from greengagering.state._jobs_model import WorkerLife
from greengagering.state._jobs_model import WorkerService
from greengagering.state._log_model import EntryKind
from greengagering.state._log_model import LogEntry
from greengagering.state._log_model import LogStorage
from greengagering.state._log_model import Membership
from greengagering.state._log_model import Snapshot
from greengagering.state._log_model import StoredLog
from greengagering.state._log_model import Vote
from greengagering.state._model import Budget
from greengagering.state._model import ControlMember
from greengagering.state._model import ControlState
from greengagering.state._model import FleetState
from greengagering.state._model import InForceMarked
from greengagering.state._model import Pool
from greengagering.state._model import Record
from greengagering.state._model import Ticket
from greengagering.state._model import TicketEntry
from greengagering.state._model import TicketSubmitted
from greengagering.state._model import Vm
from greengagering.state._model import VmEvent
from greengagering.state._model import VmFacts
from greengagering.state._model import VmPhase
from greengagering.state._model import VmPhaseChanged
from greengagering.state._model import VmReported
from greengagering.state._model import Wave
from greengagering.state._model import WaveFinished
from greengagering.state._model import WaveIntent
from greengagering.state._model import WaveProgress
from greengagering.state._model import WaveStopped

__all__ = [
    'AdvicePolicy',
    'Duty',
    'DutyKind',
    'DutyOrdered',
    'DutySettled',
    'EndsNoted',
    'Job',
    'JOB_RECORD_TYPES',
    'JobAccepted',
    'JobCancelled',
    'JobRecord',
    'JobsForgotten',
    'JobSpec',
    'JobsState',
    'JobStatus',
    'LEASE_LAPSED',
    'LifeDraining',
    'LifeOver',
    'LifeSeen',
    'PlanReplaced',
    'Queue',
    'Room',
    'RoutePlan',
    'RunEnd',
    'RunEnding',
    'RunKey',
    'RunsAllotted',
    'RunsVoided',
    'StepSpec',
    'Task',
    'TaskCrashes',
    'UpkeepWave',
    'WaveAccepted',
    'WaveState',
    'WorkerFacts',
    'WorkerLife',
    'WorkerService',
    'apply_to_jobs',
    'Claim',
    'ClaimAnswer',
    'ClaimAsk',
    'ClaimsAsked',
    'ClaimsPurged',
    'ClaimVerdict',
    'CLAIM_RETENTION_MS',
    'Admission',
    'ClientLimits',
    'Customer',
    'Applied',
    'Budget',
    'ControlMember',
    'ControlState',
    'DataFolder',
    'EntryKind',
    'FleetState',
    'FolderIdentity',
    'InForceMarked',
    'LogEntry',
    'LogStorage',
    'Membership',
    'Outcome',
    'Pool',
    'Record',
    'Refusal',
    'RefusalKind',
    'Snapshot',
    'StoredLog',
    'Ticket',
    'TicketEntry',
    'TicketSubmitted',
    'Vm',
    'VmEvent',
    'VmFacts',
    'VmPhase',
    'VmPhaseChanged',
    'VmReported',
    'Vote',
    'Wave',
    'WaveFinished',
    'WaveIntent',
    'WaveProgress',
    'WaveStopped',
    'apply_to_control',
    'apply_to_fleet',
    'check_ticket',
    'decode',
    'decode_json',
    'decode_record',
    'encode',
    'encode_record',
    'format_folder',
    'has_log_aside',
    'is_formatted',
    'open_folder',
    'read_identity',
    'set_log_aside',
    'ticket_digest',
]
