"""Transport layer of a control process."""

from greengagering.transport._control_api import ControlApi
from greengagering.transport._control_node import ControlNode
from greengagering.transport._control_node import create_control_node
from greengagering.transport._http import HttpServer
from greengagering.transport._http import read_body
from greengagering.transport._metrics import create_metrics_app

__all__ = [
    'ControlApi',
    'ControlNode',
    'HttpServer',
    'create_control_node',
    'create_metrics_app',
    'read_body',
]
