"""State layer: the log, snapshots, and the fleet state they fold into."""

from greengagering.state._admission import Admission
from greengagering.state._admission import check_ticket
from greengagering.state._admission import Refusal
from greengagering.state._admission import RefusalKind
from greengagering.state._claims import Claim
from greengagering.state._claims import ClaimAnswer
from greengagering.state._claims import ClaimAsk
from greengagering.state._claims import ClaimsAsked
from greengagering.state._claims import ClaimsPurged
from greengagering.state._claims import ClaimVerdict
from greengagering.state._claims import KEEP_MS
from greengagering.state._codec import decode
from greengagering.state._codec import decode_record
from greengagering.state._codec import encode
from greengagering.state._codec import encode_record
from greengagering.state._codec import ticket_digest
from greengagering.state._fold import Applied
from greengagering.state._fold import apply_to_control
from greengagering.state._fold import apply_to_fleet
from greengagering.state._fold import Outcome
from greengagering.state._folder import DataFolder
from greengagering.state._folder import FolderIdentity
from greengagering.state._folder import format_folder
from greengagering.state._folder import open_folder
from greengagering.state._folder import read_identity
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
    'Claim',
    'ClaimAnswer',
    'ClaimAsk',
    'ClaimsAsked',
    'ClaimsPurged',
    'ClaimVerdict',
    'KEEP_MS',
    'Admission',
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
    'decode_record',
    'encode',
    'encode_record',
    'format_folder',
    'open_folder',
    'read_identity',
    'ticket_digest',
]
