"""Transport layer of the stand-ins."""

from greengagering.transport._http import page_response
from greengagering.transport._http_server import HttpServer

__all__ = [
    'HttpServer',
    'page_response',
]
