"""Transport layer of an entry that forwards job calls."""

from greengagering.transport._gateway_node import GatewayNode
from greengagering.transport._http import HttpServer
from greengagering.transport._http import read_body
from greengagering.transport._metrics import create_metrics_app

__all__ = ['GatewayNode', 'HttpServer', 'create_metrics_app', 'read_body']
