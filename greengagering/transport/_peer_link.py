"""Outgoing stream of messages to another process."""

import asyncio
import collections
import contextlib
import dataclasses
import time

from grpclib.client import Channel
from grpclib.client import Stream
from grpclib import exceptions as grpc_exceptions

from greengagering import logs
from greengagering.protocol import link_grpc
from greengagering.protocol import link_pb2
from greengagering.protocol import links
from greengagering.transport import _addresses
from greengagering.transport import errors

MAX_QUEUED_MESSAGES = 4096
MAX_FRAME_MESSAGES = 128
MAX_FRAME_BYTES = 1024 * 1024
"""Size up to which messages are put into one frame. Its receiver holds it
several times over while it reads it."""

MAX_QUEUED_BYTES = 32 * 1024 * 1024
"""Most bytes of messages that wait for a peer that doesn't take them."""

CONNECT_TIMEOUT_S = 1.0
ACK_TIMEOUT_S = 2.0
ACK_CHECK_INTERVAL_S = 0.25
RECONNECT_MIN_S = 0.05
RECONNECT_MAX_S = 0.5

FrameStream = Stream[link_pb2.Frame, link_pb2.FrameAck]


@dataclasses.dataclass(frozen=True, slots=True)
class LinkIdentity:
    """Identity of a process towards its peers.

    Attributes:
        cluster_id: name shared by every process of the system.
        sender_id: id of the replica or entry.
        incarnation: of an entry, the boot id of its process; of a replica, the
            incarnation of its data folder, which stays across restarts.
    """

    cluster_id: str
    sender_id: str
    incarnation: str


class PeerLink:
    """Sends messages in order, and drops them rather than wait without bound.

    A broken link drops its queue: the protocols above repeat what is still
    needed, and queued messages would be outdated at the next connection.
    """

    def __init__(
        self, identity: LinkIdentity, peer_id: str, address: str
    ) -> None:
        self.peer_id = peer_id
        self.address = address
        self.sent_bytes = 0
        self.dropped_messages = 0
        self.connects = 0
        self.is_connected = False
        self._identity = identity
        self._queue: collections.deque[link_pb2.Message] = collections.deque()
        self._queued_bytes = 0
        self._wakeup = asyncio.Event()
        self._awaiting_ack_since_s: float | None = None
        self._sequence = 0
        self._acked_sequence = 0
        self._task = asyncio.get_running_loop().create_task(self._run())

    def send(self, message: links.LinkMessage) -> None:
        """Queue a message; the oldest is dropped when the queue is full."""
        encoded = links.encode_message(message)
        self._queue.append(encoded)
        self._queued_bytes += len(encoded.body)
        while (
            len(self._queue) > MAX_QUEUED_MESSAGES
            or self._queued_bytes > MAX_QUEUED_BYTES
        ) and len(self._queue) > 1:
            self.dropped_messages += 1
            self._take()
        self._wakeup.set()

    async def flush(self, timeout_s: float) -> None:
        """Wait until all messages are acknowledged, for a planned stop."""
        ends_s = time.monotonic() + timeout_s
        while self.is_connected and time.monotonic() < ends_s:
            if not self._queue and self._acked_sequence == self._sequence:
                return
            await asyncio.sleep(0.01)

    async def close(self) -> None:
        """Stop sending."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def _run(self) -> None:
        delay_s = RECONNECT_MIN_S
        while True:
            started_s = time.monotonic()
            try:
                await self._connect_and_send()
            except (
                OSError,
                TimeoutError,
                errors.LinkError,
                grpc_exceptions.GRPCError,
                grpc_exceptions.ProtocolError,
                grpc_exceptions.StreamTerminatedError,
            ) as error:
                self._handle_broken_link(error)
            if time.monotonic() - started_s > RECONNECT_MAX_S:
                delay_s = RECONNECT_MIN_S
            await asyncio.sleep(delay_s)
            delay_s = min(delay_s * 2, RECONNECT_MAX_S)

    def _handle_broken_link(self, error: Exception) -> None:
        if self.is_connected:
            logs.warning(
                'link_broken',
                peer=self.peer_id,
                address=self.address,
                cause=repr(error),
            )
        self.is_connected = False
        self.dropped_messages += len(self._queue)
        self._queue.clear()
        self._queued_bytes = 0

    async def _connect_and_send(self) -> None:
        try:
            endpoint = _addresses.parse_address(self.address)
        except ValueError as error:
            # Peers' messages name addresses too.
            raise errors.LinkError(str(error)) from error
        channel = Channel(endpoint.host, endpoint.port)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await channel.__connect__()
            self._sequence = 0
            self._acked_sequence = 0
            self._awaiting_ack_since_s = None
            stub = link_grpc.LinkStub(channel)
            async with stub.Send.open() as stream:
                await self._use_stream(stream)
        finally:
            channel.close()

    async def _use_stream(self, stream: FrameStream) -> None:
        tasks = [
            asyncio.ensure_future(self._send_frames(stream)),
            asyncio.ensure_future(self._receive_acks(stream)),
            asyncio.ensure_future(self._check_acks()),
        ]
        try:
            done, _ = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await stream.cancel()

    async def _send_frames(self, stream: FrameStream) -> None:
        # An empty first frame opens the stream even if nothing is queued, so
        # that the peer's first acknowledgement sets is_connected.
        await self._send_frame(stream, [])
        while True:
            await self._wakeup.wait()
            self._wakeup.clear()
            while self._queue:
                await self._send_frame(stream, self._take_batch())

    def _take(self) -> link_pb2.Message:
        message = self._queue.popleft()
        self._queued_bytes -= len(message.body)
        return message

    def _take_batch(self) -> list[link_pb2.Message]:
        """Return the oldest messages, as many as fit in a frame."""
        batch = [self._take()]
        batch_bytes = len(batch[0].body)
        while self._queue and len(batch) < MAX_FRAME_MESSAGES:
            batch_bytes += len(self._queue[0].body)
            if batch_bytes > MAX_FRAME_BYTES:
                break
            batch.append(self._take())
        return batch

    async def _send_frame(
        self, stream: FrameStream, batch: list[link_pb2.Message]
    ) -> None:
        self._sequence += 1
        if self._awaiting_ack_since_s is None:
            self._awaiting_ack_since_s = time.monotonic()
        frame = link_pb2.Frame(
            cluster_id=self._identity.cluster_id,
            sender_id=self._identity.sender_id,
            incarnation=self._identity.incarnation,
            messages=batch,
            sequence=self._sequence,
        )
        self.sent_bytes += frame.ByteSize()
        await stream.send_message(frame)

    async def _receive_acks(self, stream: FrameStream) -> None:
        while True:
            ack = await stream.recv_message()
            if ack is None:
                raise errors.LinkError('the peer ended the stream')
            if not self.is_connected:
                self.is_connected = True
                self.connects += 1
                logs.info(
                    'link_connected', peer=self.peer_id, address=self.address
                )
            self._acked_sequence = max(self._acked_sequence, ack.sequence)
            self._awaiting_ack_since_s = None
            if self._acked_sequence < self._sequence:
                self._awaiting_ack_since_s = time.monotonic()

    async def _check_acks(self) -> None:
        """Break the link when the peer stops sending acknowledgements.

        TCP alone would retransmit into a network partition for minutes, and
        would need as long again to notice its end.
        """
        while True:
            await asyncio.sleep(ACK_CHECK_INTERVAL_S)
            since_s = self._awaiting_ack_since_s
            if since_s is None:
                continue
            if time.monotonic() - since_s > ACK_TIMEOUT_S:
                raise errors.LinkError(f'no answer for {ACK_TIMEOUT_S:g} s')
