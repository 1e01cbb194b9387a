"""What the leader knows of workers, and the orders that it gives them."""

from greengagering.coordination.workers._agent_messages import AgentAnswers
from greengagering.coordination.workers._agent_messages import AgentMessage
from greengagering.coordination.workers._agent_messages import AgentOffer
from greengagering.coordination.workers._agent_messages import AgentOrders
from greengagering.coordination.workers._agent_messages import group_starts
from greengagering.coordination.workers._agent_messages import JobStarts
from greengagering.coordination.workers._agents import Agent
from greengagering.coordination.workers._agents import AgentPermit
from greengagering.coordination.workers._agents import AgentRegistry
from greengagering.coordination.workers._answer_times import FleetAnswerTimes
from greengagering.coordination.workers._answer_times import MAX_REPEAT_S
from greengagering.coordination.workers._fences import create_fence
from greengagering.coordination.workers import _incarnation_table
from greengagering.coordination.workers._open_polls import LossMeter
from greengagering.coordination.workers._order_times import OrderTimes
from greengagering.coordination.workers._orders import bound_poll
from greengagering.coordination.workers._orders import ListedRun
from greengagering.coordination.workers._orders import LookAnswer
from greengagering.coordination.workers._orders import LookOrder
from greengagering.coordination.workers._orders import Order
from greengagering.coordination.workers._orders import OrderAnswer
from greengagering.coordination.workers._orders import OrderOutcome
from greengagering.coordination.workers._orders import PaceOrder
from greengagering.coordination.workers._orders import StartOrder
from greengagering.coordination.workers._orders import StopOrder
from greengagering.coordination.workers._orders import WorkerReport
from greengagering.coordination.workers._recent_items import RecentItems
from greengagering.coordination.workers._run_view import counted_cpu
from greengagering.coordination.workers._run_view import RunObserver
from greengagering.coordination.workers._run_view import RunPhase
from greengagering.coordination.workers._run_view import RunView
from greengagering.coordination.workers._seen_times import SeenTimes
from greengagering.coordination.workers._sent_orders import MAX_ORDER_AGE_S
from greengagering.coordination.workers._sent_orders import SentOrders
from greengagering.coordination.workers._sharing import find_paces
from greengagering.coordination.workers._sharing import handle_pace_answer
from greengagering.coordination.workers._sharing import is_shared
from greengagering.coordination.workers._sharing import SHARED_POLL_WAIT_S
from greengagering.coordination.workers._wait_times import WaitCause
from greengagering.coordination.workers._wait_times import WaitTimes
from greengagering.coordination.workers._worker_view import GRANT_INTERVAL_S
from greengagering.coordination.workers._worker_view import LEASE_S
from greengagering.coordination.workers._worker_view import MAX_LEASE_S
from greengagering.coordination.workers._worker_view import POLL_WAIT_S
from greengagering.coordination.workers._worker_view import QUARANTINE_STREAK
from greengagering.coordination.workers._worker_view import SETTLED_S
from greengagering.coordination.workers._worker_view import SILENCE_S
from greengagering.coordination.workers._worker_view import SLOW_RATIO
from greengagering.coordination.workers._worker_view import WorkerView

IncarnationTable = _incarnation_table.IncarnationTable

__all__ = [
    'Agent',
    'AgentAnswers',
    'AgentMessage',
    'AgentOffer',
    'AgentOrders',
    'AgentPermit',
    'AgentRegistry',
    'FleetAnswerTimes',
    'GRANT_INTERVAL_S',
    'IncarnationTable',
    'JobStarts',
    'LEASE_S',
    'ListedRun',
    'LookAnswer',
    'LookOrder',
    'LossMeter',
    'MAX_LEASE_S',
    'MAX_ORDER_AGE_S',
    'MAX_REPEAT_S',
    'Order',
    'OrderAnswer',
    'OrderOutcome',
    'OrderTimes',
    'POLL_WAIT_S',
    'PaceOrder',
    'QUARANTINE_STREAK',
    'RecentItems',
    'RunObserver',
    'RunPhase',
    'RunView',
    'SeenTimes',
    'SHARED_POLL_WAIT_S',
    'SETTLED_S',
    'SILENCE_S',
    'SLOW_RATIO',
    'SentOrders',
    'StartOrder',
    'StopOrder',
    'WaitCause',
    'WaitTimes',
    'WorkerReport',
    'WorkerView',
    'bound_poll',
    'counted_cpu',
    'create_fence',
    'find_paces',
    'group_starts',
    'handle_pace_answer',
    'is_shared',
]
