"""Callers' jobs: calls, their way to the leader, and the work that is due."""

from greengagering.coordination.jobs._customers import CustomerTable
from greengagering.coordination.jobs._customers import describe_change
from greengagering.coordination.jobs._customers import may_use
from greengagering.coordination.jobs._due_clock import DueClock
from greengagering.coordination.jobs._gateway import GatewayOutgoing
from greengagering.coordination.jobs._gateway import JobGateway
from greengagering.coordination.jobs._gateway import OpenCall
from greengagering.coordination.jobs._job_messages import CallKind
from greengagering.coordination.jobs._job_messages import ControlProbe
from greengagering.coordination.jobs._job_messages import ControlStatus
from greengagering.coordination.jobs._job_messages import JobAnswer
from greengagering.coordination.jobs._job_messages import JobCall
from greengagering.coordination.jobs._job_messages import JobMessage
from greengagering.coordination.jobs._job_messages import JobOutcome
from greengagering.coordination.jobs._job_messages import RefusalCause
from greengagering.coordination.jobs._routing import find_queue
from greengagering.coordination.jobs._routing import RoutedPath
from greengagering.coordination.jobs._stored_jobs import StoredJobs
from greengagering.coordination.jobs._work_index import CHAIN_TIME_FACTOR
from greengagering.coordination.jobs._work_index import find_chain_s
from greengagering.coordination.jobs._work_index import find_objective_s
from greengagering.coordination.jobs._work_index import StepWork
from greengagering.coordination.jobs._work_index import WorkIndex
from greengagering.coordination.jobs._work_index import WORTHLESS_RATIO

__all__ = [
    'CHAIN_TIME_FACTOR',
    'CallKind',
    'ControlProbe',
    'ControlStatus',
    'CustomerTable',
    'DueClock',
    'GatewayOutgoing',
    'JobAnswer',
    'JobCall',
    'JobGateway',
    'JobMessage',
    'JobOutcome',
    'OpenCall',
    'RefusalCause',
    'RoutedPath',
    'StepWork',
    'StoredJobs',
    'WORTHLESS_RATIO',
    'WorkIndex',
    'describe_change',
    'find_chain_s',
    'find_objective_s',
    'find_queue',
    'may_use',
]
