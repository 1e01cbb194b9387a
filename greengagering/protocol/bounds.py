"""Bounds of numbers, names and addresses that come from outside."""

from greengagering.protocol._bounds import Amount
from greengagering.protocol._bounds import check_address
from greengagering.protocol._bounds import check_host
from greengagering.protocol._bounds import check_id
from greengagering.protocol._bounds import Count
from greengagering.protocol._bounds import DurationMs
from greengagering.protocol._bounds import DurationS
from greengagering.protocol._bounds import Figure
from greengagering.protocol._bounds import MAX_AMOUNT
from greengagering.protocol._bounds import MAX_DURATION_MS
from greengagering.protocol._bounds import MAX_EXACT
from greengagering.protocol._bounds import MAX_RANK
from greengagering.protocol._bounds import MAX_VERSION
from greengagering.protocol._bounds import Number
from greengagering.protocol._bounds import Port
from greengagering.protocol._bounds import read_digits
from greengagering.protocol._bounds import SteadyMs
from greengagering.protocol._bounds import UnixMs
from greengagering.protocol._bounds import UnixMsFloat

__all__ = [
    'Amount',
    'Count',
    'DurationMs',
    'DurationS',
    'Figure',
    'MAX_AMOUNT',
    'MAX_DURATION_MS',
    'MAX_EXACT',
    'MAX_RANK',
    'MAX_VERSION',
    'Number',
    'Port',
    'SteadyMs',
    'UnixMs',
    'UnixMsFloat',
    'check_address',
    'check_host',
    'check_id',
    'read_digits',
]
