"""Transport layer of the stand-ins."""

from greengagering.transport._http import HttpServer
from greengagering.transport._http import page_response

__all__ = ['HttpServer', 'page_response']
