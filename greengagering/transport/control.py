"""Transport layer of a control process."""

from greengagering.transport._control_api import ControlApi
from greengagering.transport._control_api import MAX_TICKET_BYTES
from greengagering.transport._control_api import TICKET_TIMEOUT_S
from greengagering.transport._control_node import ControlNode
from greengagering.transport._control_node import create_control_node
from greengagering.transport._http import read_body
from greengagering.transport._http_server import create_check_options
from greengagering.transport._http_server import FixedLimits
from greengagering.transport._http_server import HttpServer
from greengagering.transport._http_server import ServerOptions
from greengagering.transport._metrics import create_metrics_app
from greengagering.transport._refusals import Refusal

__all__ = [
    'ControlApi',
    'ControlNode',
    'FixedLimits',
    'HttpServer',
    'MAX_TICKET_BYTES',
    'Refusal',
    'ServerOptions',
    'TICKET_TIMEOUT_S',
    'create_check_options',
    'create_control_node',
    'create_metrics_app',
    'read_body',
]
