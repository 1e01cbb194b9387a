"""Transport layer of an entry that forwards job calls."""

from greengagering.transport._gateway_node import GatewayNode
from greengagering.transport._http import read_body
from greengagering.transport._http_server import create_check_options
from greengagering.transport._http_server import FixedLimits
from greengagering.transport._http_server import HttpServer
from greengagering.transport._http_server import ServerOptions
from greengagering.transport._metrics import create_metrics_app
from greengagering.transport._refusals import Refusal

__all__ = [
    'FixedLimits',
    'GatewayNode',
    'HttpServer',
    'Refusal',
    'ServerOptions',
    'create_check_options',
    'create_metrics_app',
    'read_body',
]
