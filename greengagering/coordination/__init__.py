"""Coordination layer: decisions of control replicas and entries.

Nothing here does I/O, reads a clock or draws a random number of its own.
"""

from greengagering.coordination.agreement._messages import AppendRequest
from greengagering.coordination.agreement._messages import AppendResponse
from greengagering.coordination.agreement._messages import ReplicaMessage
from greengagering.coordination.agreement._messages import SnapshotChunk
from greengagering.coordination.agreement._messages import SnapshotResponse
from greengagering.coordination.agreement._messages import TimeoutNow
from greengagering.coordination.agreement._messages import VoteRequest
from greengagering.coordination.agreement._messages import VoteResponse
from greengagering.coordination.agreement._replacement import MemberReplacement
from greengagering.coordination.agreement._replica import Replica
from greengagering.coordination.agreement._replica_model import Outgoing
from greengagering.coordination.agreement._replica_model import ReplicaIdentity
from greengagering.coordination.agreement._replica_model import ReplicaOptions
from greengagering.coordination.agreement._replica_model import Role
from greengagering.coordination.capacity import DutyOrder
from greengagering.coordination.capacity import DutyOutcome
from greengagering.coordination.capacity import ListMachines
from greengagering.coordination.capacity import Machine
from greengagering.coordination.capacity import MachineCall
from greengagering.coordination.capacity import MachineManager
from greengagering.coordination.capacity import MachineState
from greengagering.coordination.entries._call_model import Assignment
from greengagering.coordination.entries._call_model import AttemptOutcome
from greengagering.coordination.entries._call_model import Call
from greengagering.coordination.entries._call_model import CallClass
from greengagering.coordination.entries._call_model import CallRefusal
from greengagering.coordination.entries._call_model import RefusalReason
from greengagering.coordination.entries._call_model import Target
from greengagering.coordination.entries._claim_messages import ClaimRequest
from greengagering.coordination.entries._claim_messages import ClaimResponse
from greengagering.coordination.entries._claim_messages import HeaderField
from greengagering.coordination.entries._claim_messages import KeptAnswer
from greengagering.coordination.entries._claim_messages import KeptState
from greengagering.coordination.entries._claim_messages import OutcomeRequest
from greengagering.coordination.entries._claim_messages import OutcomeResponse
from greengagering.coordination.entries._claim_table import ClaimTable
from greengagering.coordination.entries._claim_table import HeldClaim
from greengagering.coordination.entries._claim_table import OutgoingOutcome
from greengagering.coordination.entries._claim_table import WorkState
from greengagering.coordination.entries._dispatcher import Dispatcher
from greengagering.coordination.entries._dispatcher import DispatchOptions
from greengagering.coordination.entries._entry import AnnounceReply
from greengagering.coordination.entries._entry import EntryCore
from greengagering.coordination.entries._entry import EntryIdentity
from greengagering.coordination.entries._entry import EntryOptions
from greengagering.coordination.entries._entry import ToControl
from greengagering.coordination.entries._entry import ToPeer
from greengagering.coordination.entries._entry_messages import EntryAddress
from greengagering.coordination.entries._entry_messages import EntryMessage
from greengagering.coordination.entries._entry_messages import EntryReport
from greengagering.coordination.entries._entry_messages import FeedDelta
from greengagering.coordination.entries._entry_messages import FeedSnapshot
from greengagering.coordination.entries._entry_messages import Heartbeat
from greengagering.coordination.entries._entry_messages import HeartbeatBatch
from greengagering.coordination.entries._entry_messages import LeaseGrant
from greengagering.coordination.entries._entry_messages import TableDigest
from greengagering.coordination.entries._entry_messages import Upstream
from greengagering.coordination.entries._entry_messages import UpstreamChanges
from greengagering.coordination.entries._entry_messages import UpstreamState
from greengagering.coordination.entries._entry_messages import UpstreamStatus
from greengagering.coordination.entries._entry_sessions import EntrySession
from greengagering.coordination.entries._entry_sessions import LeaseOptions
from greengagering.coordination.entries._liveness import LivenessOptions
from greengagering.coordination.entries._retry_budget import RetryBudget
from greengagering.coordination.fleet._control import ControlCore
from greengagering.coordination.fleet._control import EntryOutgoing
from greengagering.coordination.fleet._control import LogPosition
from greengagering.coordination.fleet._control import TicketOutcome
from greengagering.coordination.fleet._waves import count_services
from greengagering.coordination.fleet._waves import decide as decide_waves
from greengagering.coordination.fleet._waves import find_wait_reasons
from greengagering.coordination.fleet._waves import FleetView
from greengagering.coordination.fleet._waves import RebootOrder
from greengagering.coordination.fleet._waves import wave_targets
from greengagering.coordination.fleet._waves import WaveDecisions
from greengagering.coordination.jobs import CallKind
from greengagering.coordination.jobs import ControlProbe
from greengagering.coordination.jobs import ControlStatus
from greengagering.coordination.jobs import CustomerTable
from greengagering.coordination.jobs import find_queue
from greengagering.coordination.jobs import GatewayOutgoing
from greengagering.coordination.jobs import JobAnswer
from greengagering.coordination.jobs import JobCall
from greengagering.coordination.jobs import JobGateway
from greengagering.coordination.jobs import JobMessage
from greengagering.coordination.jobs import JobOutcome
from greengagering.coordination.jobs import may_use
from greengagering.coordination.jobs import OpenCall
from greengagering.coordination.jobs import RefusalCause
from greengagering.coordination.jobs import RoutedPath
from greengagering.coordination.jobs import StoredJobs
from greengagering.coordination.scheduling import Advice
from greengagering.coordination.scheduling import AdviceRequest
from greengagering.coordination.scheduling import Decision
from greengagering.coordination.scheduling import find_excess
from greengagering.coordination.scheduling import JobScheduler
from greengagering.coordination.workers import Agent
from greengagering.coordination.workers import AgentAnswers
from greengagering.coordination.workers import AgentMessage
from greengagering.coordination.workers import AgentOffer
from greengagering.coordination.workers import AgentOrders
from greengagering.coordination.workers import AgentPermit
from greengagering.coordination.workers import AgentRegistry
from greengagering.coordination.workers import bound_poll
from greengagering.coordination.workers import group_starts
from greengagering.coordination.workers import JobStarts
from greengagering.coordination.workers import ListedRun
from greengagering.coordination.workers import LookAnswer
from greengagering.coordination.workers import LookOrder
from greengagering.coordination.workers import Order
from greengagering.coordination.workers import OrderAnswer
from greengagering.coordination.workers import OrderOutcome
from greengagering.coordination.workers import PaceOrder
from greengagering.coordination.workers import StartOrder
from greengagering.coordination.workers import StopOrder
from greengagering.coordination.workers import WorkerReport

__all__ = [
    'Advice',
    'Agent',
    'AgentAnswers',
    'AgentMessage',
    'AgentOffer',
    'AgentOrders',
    'JobStarts',
    'AgentPermit',
    'AgentRegistry',
    'bound_poll',
    'AdviceRequest',
    'MachineManager',
    'DutyOrder',
    'DutyOutcome',
    'ListMachines',
    'Machine',
    'MachineCall',
    'MachineState',
    'MemberReplacement',
    'Decision',
    'JobScheduler',
    'JobGateway',
    'OpenCall',
    'GatewayOutgoing',
    'CallKind',
    'JobOutcome',
    'RefusalCause',
    'ControlProbe',
    'ControlStatus',
    'CustomerTable',
    'may_use',
    'JobAnswer',
    'JobCall',
    'JobMessage',
    'ListedRun',
    'LookAnswer',
    'LookOrder',
    'Order',
    'OrderAnswer',
    'OrderOutcome',
    'PaceOrder',
    'StartOrder',
    'StopOrder',
    'StoredJobs',
    'WorkerReport',
    'find_excess',
    'find_queue',
    'RoutedPath',
    'ClaimTable',
    'HeldClaim',
    'OutgoingOutcome',
    'WorkState',
    'ClaimRequest',
    'ClaimResponse',
    'HeaderField',
    'KeptAnswer',
    'KeptState',
    'OutcomeRequest',
    'OutcomeResponse',
    'AnnounceReply',
    'AppendRequest',
    'AppendResponse',
    'Assignment',
    'AttemptOutcome',
    'Call',
    'CallClass',
    'CallRefusal',
    'ControlCore',
    'DispatchOptions',
    'Dispatcher',
    'EntryAddress',
    'EntryCore',
    'EntryIdentity',
    'EntryMessage',
    'EntryOptions',
    'EntryOutgoing',
    'EntryReport',
    'EntrySession',
    'FeedDelta',
    'FeedSnapshot',
    'Heartbeat',
    'HeartbeatBatch',
    'LeaseGrant',
    'LeaseOptions',
    'LivenessOptions',
    'Outgoing',
    'LogPosition',
    'RebootOrder',
    'RefusalReason',
    'Replica',
    'ReplicaIdentity',
    'ReplicaMessage',
    'ReplicaOptions',
    'RetryBudget',
    'Role',
    'SnapshotChunk',
    'SnapshotResponse',
    'TableDigest',
    'Target',
    'TicketOutcome',
    'TimeoutNow',
    'ToControl',
    'ToPeer',
    'Upstream',
    'UpstreamChanges',
    'UpstreamState',
    'UpstreamStatus',
    'VoteRequest',
    'VoteResponse',
    'WaveDecisions',
    'FleetView',
    'count_services',
    'group_starts',
    'decide_waves',
    'find_wait_reasons',
    'wave_targets',
]
