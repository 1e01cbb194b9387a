"""Transport layer of the operators' program."""

from greengagering.transport._operator_client import OperatorClient
from greengagering.transport._operator_client import quote

__all__ = ['OperatorClient', 'quote']
