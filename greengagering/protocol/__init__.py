"""Protocol layer: validated input models and settings; no sockets.

The codec of links is in protocol.links, so that programs without links
don't import it.
"""

from greengagering.protocol._announcement_model import AnnouncementModel
from greengagering.protocol._announcement_model import parse_announcement
from greengagering.protocol import _headers as headers
from greengagering.protocol._headers import CallOutcome
from greengagering.protocol._settings import Address
from greengagering.protocol._settings import ControlSettings
from greengagering.protocol._settings import EntrySettings
from greengagering.protocol._settings import GatewaySettings
from greengagering.protocol._settings import Host
from greengagering.protocol._settings import load_settings
from greengagering.protocol._settings import Name
from greengagering.protocol._ticket_model import parse_ticket
from greengagering.protocol._ticket_model import TicketModel
from greengagering.protocol._validation import InputModel
from greengagering.protocol._validation import shorten

__all__ = [
    'Address',
    'AnnouncementModel',
    'InputModel',
    'CallOutcome',
    'ControlSettings',
    'EntrySettings',
    'GatewaySettings',
    'Host',
    'Name',
    'TicketModel',
    'headers',
    'load_settings',
    'parse_announcement',
    'parse_ticket',
    'shorten',
]
