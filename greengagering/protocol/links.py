"""Messages between processes of the system."""

from greengagering.protocol._link_codec import decode_message
from greengagering.protocol._link_codec import encode_message
from greengagering.protocol._link_codec import LinkMessage

__all__ = ['LinkMessage', 'decode_message', 'encode_message']
