"""Links between the processes of the system, over gRPC."""

import asyncio
import contextlib
import dataclasses
from typing import Protocol

from grpclib import const
from grpclib import exceptions as grpc_exceptions
from grpclib.server import Stream

from greengagering import logs
from greengagering.protocol import errors as protocol_errors
from greengagering.protocol import link_grpc
from greengagering.protocol import link_pb2
from greengagering.protocol import links
from greengagering.state import errors as state_errors
from greengagering.transport import _addresses
from greengagering.transport._link_server import LinkOptions
from greengagering.transport._link_server import LinkServer
from greengagering.transport._peer_link import LinkIdentity
from greengagering.transport._peer_link import PeerLink
from greengagering.transport import errors

ACK_INTERVAL_S = 0.5
CLOSE_TIMEOUT_S = 1.0

FrameStream = Stream[link_pb2.Frame, link_pb2.FrameAck]


@dataclasses.dataclass(frozen=True, slots=True)
class LinkSender:
    """Sender of a message."""

    sender_id: str
    incarnation: str


class MessageHandler(Protocol):
    """Processes messages of other processes."""

    def __call__(self, sender: LinkSender, message: links.LinkMessage) -> None:
        """Process one message; must not block."""
        ...


class Mesh(link_grpc.LinkBase):
    """Receives messages of other processes and sends to any address."""

    def __init__(
        self,
        identity: LinkIdentity,
        address: str,
        handler: MessageHandler,
        options: LinkOptions | None = None,
    ) -> None:
        self.identity = identity
        self.received_bytes = 0
        self.received_messages = 0
        self._address = address
        self._handler = handler
        self._links: dict[str, PeerLink] = {}
        self._options = options or LinkOptions()
        self._server: LinkServer | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen for other processes.

        Raises:
            ListenError: the address is taken or isn't this machine's.
        """
        endpoint = _addresses.parse_address(self._address)
        self._server = LinkServer(self, self._options)
        try:
            await self._server.listen(endpoint.host, endpoint.port)
        except OSError as error:
            raise errors.ListenError(
                f'link_address {self._address}: {error}'
            ) from error

    async def close(self) -> None:
        """Send what is queued, then close every link."""
        await asyncio.gather(
            *(link.flush(CLOSE_TIMEOUT_S) for link in self._links.values())
        )
        await asyncio.gather(*(link.close() for link in self._links.values()))
        self._links.clear()
        if self._server is not None:
            self._server.close()
            for task in self._tasks:
                task.cancel()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CLOSE_TIMEOUT_S):
                    await self._server.wait_closed()

    def send(
        self, peer_id: str, address: str, message: links.LinkMessage
    ) -> None:
        """Queue a message for a process."""
        link = self._links.get(peer_id)
        if link is not None and link.address != address:
            self._close_in_background(link)
            link = None
        if link is None:
            link = PeerLink(self.identity, peer_id, address)
            self._links[peer_id] = link
        try:
            link.send(message)
        except state_errors.EncodeError as error:
            # The messages that the caller sends next must not be lost too.
            logs.error('message_unsent', peer=peer_id, cause=str(error))

    def links(self) -> dict[str, PeerLink]:
        """Return the links by peer, for metrics and dumps."""
        return self._links

    async def Send(self, stream: FrameStream) -> None:  # noqa: N802
        """Receive a process's stream; the service definition sets the name."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._receive(stream)
        except grpc_exceptions.StreamTerminatedError:
            # The peer closed the stream; it opens a new one when needed.
            logs.debug('stream_ended')
        finally:
            self._tasks.discard(task)

    def _close_in_background(self, link: PeerLink) -> None:
        task = asyncio.ensure_future(link.close())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _receive(self, stream: FrameStream) -> None:
        acks = _AckSender(stream)
        task = asyncio.ensure_future(acks.run())
        try:
            while True:
                frame = await stream.recv_message()
                if frame is None:
                    return
                self._check_cluster(frame)
                if self._server is not None:
                    self._server.identify(stream.peer.addr())
                acks.record_arrival(frame.sequence)
                self._handle_frame(frame)
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    def _check_cluster(self, frame: link_pb2.Frame) -> None:
        if frame.cluster_id == self.identity.cluster_id:
            return
        logs.warning(
            'link_refused',
            peer=frame.sender_id,
            peer_cluster=frame.cluster_id,
        )
        raise grpc_exceptions.GRPCError(
            const.Status.PERMISSION_DENIED,
            f'this process belongs to cluster {self.identity.cluster_id}',
        )

    def _handle_frame(self, frame: link_pb2.Frame) -> None:
        self.received_bytes += frame.ByteSize()
        sender = LinkSender(frame.sender_id, frame.incarnation)
        for message in frame.messages:
            self.received_messages += 1
            try:
                decoded = links.decode_message(message)
            except protocol_errors.UnknownMessageError as error:
                logs.warning(
                    'message_dropped', peer=frame.sender_id, cause=str(error)
                )
                continue
            try:
                self._handler(sender, decoded)
            except Exception as error:
                # The rest of the frame is handled, and the stream goes on:
                # the peer would send the same again on the next one.
                logs.error(
                    'message_failed',
                    peer=frame.sender_id,
                    kind=message.kind,
                    cause=repr(error),
                )


class _AckSender:
    """Acknowledges the newest frame, at a bounded rate."""

    def __init__(self, stream: FrameStream) -> None:
        self._stream = stream
        self._sequence = 0
        self._wakeup = asyncio.Event()

    def record_arrival(self, sequence: int) -> None:
        """Record a frame's arrival."""
        self._sequence = sequence
        self._wakeup.set()

    async def run(self) -> None:
        """Send acknowledgements until cancelled."""
        while True:
            await self._wakeup.wait()
            self._wakeup.clear()
            ack = link_pb2.FrameAck(sequence=self._sequence)
            await self._stream.send_message(ack)
            await asyncio.sleep(ACK_INTERVAL_S)
