"""What an operator's program needs of the transport layer."""

from greengagering.transport._operator_client import OperatorClient
from greengagering.transport._operator_client import quote

__all__ = ['OperatorClient', 'quote']
