"""Transport layer of an entry process."""

from greengagering.transport._entry_api import EntryApi
from greengagering.transport._entry_node import EntryNode
from greengagering.transport._http_server import FixedLimits
from greengagering.transport._http_server import HttpServer
from greengagering.transport._http_server import ServerOptions

__all__ = [
    'EntryApi',
    'EntryNode',
    'FixedLimits',
    'HttpServer',
    'ServerOptions',
]
