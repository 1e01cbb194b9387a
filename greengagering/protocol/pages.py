"""Bodies of HTTP answers, and their JSON."""

from typing import Any
from typing import TypeVar

import msgspec

from greengagering.protocol._pages import AccountPage
from greengagering.protocol._pages import AnnouncePage
from greengagering.protocol._pages import CheckPage
from greengagering.protocol._pages import ControlDump
from greengagering.protocol._pages import CustomerLine
from greengagering.protocol._pages import EntryDump
from greengagering.protocol._pages import EntryLine
from greengagering.protocol._pages import ErrorKind
from greengagering.protocol._pages import ErrorPage
from greengagering.protocol._pages import FleetPage
from greengagering.protocol._pages import HistoryPage
from greengagering.protocol._pages import LinkLine
from greengagering.protocol._pages import MemberPage
from greengagering.protocol._pages import MembersPage
from greengagering.protocol._pages import RebootRequest
from greengagering.protocol._pages import ServiceLine
from greengagering.protocol._pages import TicketPage
from greengagering.protocol._pages import TicketSummary
from greengagering.protocol._pages import UpstreamLine
from greengagering.protocol._pages import VmLine
from greengagering.protocol._pages import WavePage
from greengagering.protocol import errors
from greengagering import state
from greengagering.state import errors as state_errors

Page = TypeVar('Page')

__all__ = [
    'AccountPage',
    'AnnouncePage',
    'CheckPage',
    'ControlDump',
    'CustomerLine',
    'EntryDump',
    'EntryLine',
    'ErrorKind',
    'ErrorPage',
    'FleetPage',
    'HistoryPage',
    'LinkLine',
    'MemberPage',
    'MembersPage',
    'RebootRequest',
    'ServiceLine',
    'TicketPage',
    'TicketSummary',
    'UpstreamLine',
    'VmLine',
    'WavePage',
    'decode_page',
    'encode_page',
    'format_page',
]


def encode_page(page: Any) -> bytes:
    """Return a page as JSON."""
    return msgspec.json.encode(page)


def format_page(page: Any) -> str:
    """Return a page as indented JSON, for people."""
    return msgspec.json.format(encode_page(page), indent=2).decode()


def decode_page(data: bytes, kind: type[Page], source: str) -> Page:
    """Return the page that was encoded.

    Raises:
        InvalidInputError: the body isn't such a page.
    """
    try:
        return state.decode_json(data, kind)
    except state_errors.DecodeError as error:
        field = errors.FieldError(
            '(answer)', data[:80].decode(errors='replace'), str(error)
        )
        raise errors.InvalidInputError(source, [field]) from error
