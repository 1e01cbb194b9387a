"""Builds the part of a dump that describes a process's links."""

from greengagering.protocol import pages
from greengagering.transport._mesh import Mesh


def link_lines(mesh: Mesh) -> tuple[pages.LinkLine, ...]:
    """Return the outgoing links of a process."""
    return tuple(
        pages.LinkLine(
            peer_id=link.peer_id,
            address=link.address,
            is_connected=link.is_connected,
            connects=link.connects,
            sent_bytes=link.sent_bytes,
            dropped_messages=link.dropped_messages,
        )
        for link in mesh.links().values()
    )
