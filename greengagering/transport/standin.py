"""What the stand-ins need of the transport layer."""

from greengagering.transport._http import HttpServer
from greengagering.transport._http import page_response

__all__ = ['HttpServer', 'page_response']
