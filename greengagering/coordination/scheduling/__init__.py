"""Decisions on runs: which task runs where and when, and when it is over."""

from greengagering.coordination.scheduling._admission import RateRefusal
from greengagering.coordination.scheduling._advice import Advice
from greengagering.coordination.scheduling._advice import AdviceRequest
from greengagering.coordination.scheduling import _customer_limits
from greengagering.coordination.scheduling._leader_core import Decision
from greengagering.coordination.scheduling._placement import has_place
from greengagering.coordination.scheduling._pool_need import PoolNeed
from greengagering.coordination.scheduling._scheduler import JobScheduler
from greengagering.coordination.scheduling._shares import CustomerView

CustomerLimits = _customer_limits.CustomerLimits
find_excess = _customer_limits.find_excess

__all__ = [
    'Advice',
    'AdviceRequest',
    'CustomerLimits',
    'CustomerView',
    'Decision',
    'JobScheduler',
    'PoolNeed',
    'RateRefusal',
    'find_excess',
    'has_place',
]
