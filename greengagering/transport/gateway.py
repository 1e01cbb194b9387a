"""What programs need to run an entry that passes jobs on."""

from greengagering.transport._gateway_node import GatewayNode
from greengagering.transport._http import HttpServer
from greengagering.transport._http import read_body

__all__ = ['GatewayNode', 'HttpServer', 'read_body']
