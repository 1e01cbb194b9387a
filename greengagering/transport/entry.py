"""Transport layer of an entry process."""

from greengagering.transport._entry_api import EntryApi
from greengagering.transport._entry_node import EntryNode
from greengagering.transport._http import HttpServer

__all__ = ['EntryApi', 'EntryNode', 'HttpServer']
