"""Runs one control replica on the event loop."""

import asyncio
import contextlib
import pathlib
import random
import time

from result import Err
from result import Ok
from result import Result

from greengagering import coordination
from greengagering.coordination import errors as coordination_errors
from greengagering import logs
from greengagering import protocol
from greengagering.protocol import links
from greengagering import state
from greengagering.transport._mesh import LinkSender
from greengagering.transport._mesh import Mesh
from greengagering.transport import _metrics
from greengagering.transport._peer_link import LinkIdentity
from greengagering.transport._platform_client import PlatformClient
from greengagering.transport._step_loop import StepLoop

TRANSFER_POLL_S = 0.05

TicketResult = Result[
    state.TicketEntry, state.Refusal | coordination_errors.CoordinationError
]


class ControlNode:
    """Passes messages, time and disk to a ControlCore, and sends its output.

    Inputs of one turn of the loop are folded into one step, so tickets that
    arrive together share one write, one fsync and one message to each peer.
    """

    def __init__(
        self, settings: protocol.ControlSettings, folder: state.DataFolder
    ) -> None:
        self.settings = settings
        self.folder = folder
        self.metrics = _metrics.create_control_metrics()
        self.is_stopping = False
        now_s = time.monotonic()
        options = coordination.ReplicaOptions(
            heartbeat_s=settings.heartbeat_s,
            election_min_s=settings.election_min_s,
            election_max_s=settings.election_max_s,
            clock_drift_ratio=settings.clock_drift_ratio,
        )
        self.replica = coordination.Replica(
            coordination.ReplicaIdentity(
                settings.replica_id, folder.identity.incarnation
            ),
            _initial_membership(settings),
            folder,
            random.Random(),
            now_s,
            options,
        )
        leases = coordination.LeaseOptions(
            duration_s=settings.entry_lease_s,
            clock_drift_ratio=settings.clock_drift_ratio,
        )
        self.core = coordination.ControlCore(self.replica, leases, now_s)
        self.mesh = Mesh(
            LinkIdentity(
                settings.cluster_id,
                settings.replica_id,
                folder.identity.incarnation,
            ),
            settings.link_address,
            self._on_message,
        )
        self._loop = StepLoop(self._step, self._set_metrics)
        self._platform = PlatformClient(settings.platform_url, self.metrics)
        self._waiters: dict[
            coordination.ProposedTicket, asyncio.Future[TicketResult]
        ] = {}
        self._known_role = coordination.Role.FOLLOWER
        self._known_fault = ''

    async def start(self) -> None:
        """Listen for other processes and begin to take part.

        Raises:
            ListenError: the link address can't be listened on.
        """
        await self.mesh.start()
        self._loop.start()
        logs.info(
            'control_started',
            replica_id=self.settings.replica_id,
            link_address=self.settings.link_address,
            last_index=self.replica.log.last_index,
            snapshot_index=self.replica.log.snapshot_index,
        )

    async def stop(self) -> None:
        """Hand over the lead, answer who waits, and close."""
        self.is_stopping = True
        await self._hand_over()
        self._fail_waiters()
        await self._loop.stop()
        self._send_outbox()
        await self._platform.close()
        await self.mesh.close()
        self.folder.close()
        logs.info('control_stopped', replica_id=self.settings.replica_id)

    async def submit(self, ticket: state.Ticket) -> TicketResult:
        """Propose a ticket and wait until its outcome is final.

        Returns:
            The history's entry, a refusal, NotLeaderError, or
            OverloadedError. After NotLeaderError the ticket may still be
            accepted; sending it again is safe and tells.
        """
        proposed = self.core.submit(ticket, self.now_ms(), time.monotonic())
        if isinstance(proposed, Err):
            return proposed
        place = proposed.ok_value
        if isinstance(place, state.TicketEntry):
            return Ok(place)
        waiter: asyncio.Future[TicketResult] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters[place] = waiter
        self._loop.schedule()
        return await waiter

    def now_s(self) -> float:
        """Return the clock that leases are measured by."""
        return time.monotonic()

    def now_ms(self) -> int:
        """Return the Unix time that records are stamped with."""
        return time.time_ns() // 1_000_000

    def _on_message(
        self, sender: LinkSender, message: links.LinkMessage
    ) -> None:
        now_s = time.monotonic()
        if isinstance(message, coordination.EntryReport):
            self.core.note_entry_report(message, now_s)
        elif isinstance(message, coordination.ClaimRequest):
            self.core.note_claim_request(message, now_s, self.now_ms())
        elif isinstance(message, _REPLICA_MESSAGES):
            identity = coordination.ReplicaIdentity(
                sender.sender_id, sender.incarnation
            )
            self.replica.receive(identity, message, now_s)
        else:
            logs.warning(
                'message_unexpected',
                peer=sender.sender_id,
                kind=type(message).__name__,
            )
            return
        self._loop.schedule()

    def _step(self) -> None:
        now_s = time.monotonic()
        self.core.step(now_s, self.now_ms())
        if self.core.is_compaction_due():
            self.core.compact(now_s)
        self._send_outbox()
        self._settle_outcomes()
        if self.replica.has_lease(now_s):
            self._platform.order(self.core.decisions.reboots, now_s)
        self._note_role()

    def _send_outbox(self) -> None:
        addresses = self._addresses()
        for outgoing in self.replica.take_outbox():
            address = addresses.get(outgoing.receiver)
            if address is not None:
                self.mesh.send(outgoing.receiver, address, outgoing.message)
        for to_entry in self.core.take_entry_outbox():
            self.mesh.send(
                to_entry.entry_id, to_entry.address, to_entry.message
            )

    def address_of(self, replica_id: str) -> str:
        """Return where a replica listens, or '' where it isn't known."""
        return self._addresses().get(replica_id, '')

    def _addresses(self) -> dict[str, str]:
        return {**self.settings.members, **self.replica.membership.addresses}

    def _settle_outcomes(self) -> None:
        for outcome in self.core.take_outcomes():
            # The term tells this proposal from another leader's entry that
            # took its place in the log.
            place = coordination.ProposedTicket(outcome.index, outcome.term)
            waiter = self._waiters.pop(place, None)
            if waiter is not None and not waiter.done():
                waiter.set_result(outcome.result)
        if self._waiters and not self.replica.is_leader:
            self._fail_waiters()

    def _fail_waiters(self) -> None:
        """Answer who waits that another replica will know the outcome."""
        error = coordination_errors.NotLeaderError(self.replica.leader_id)
        for waiter in self._waiters.values():
            if not waiter.done():
                waiter.set_result(Err(error))
        self._waiters.clear()

    def _note_role(self) -> None:
        if self.replica.role is not self._known_role:
            self._known_role = self.replica.role
            logs.info(
                'role_changed',
                role=self.replica.role,
                term=self.replica.term,
                leader_id=self.replica.leader_id,
            )
        if self.replica.storage_fault != self._known_fault:
            self._known_fault = self.replica.storage_fault
            if self._known_fault:
                logs.error('storage_fault', cause=self._known_fault)
            else:
                logs.info('storage_recovered')

    async def _hand_over(self) -> None:
        ends_s = time.monotonic() + self.settings.election_max_s
        while self.replica.is_leader and time.monotonic() < ends_s:
            if len(self.replica.membership.voters) == 1:
                return
            if self.replica.transfer_leadership(time.monotonic()):
                self._step()
                await asyncio.sleep(TRANSFER_POLL_S)
                return
            await asyncio.sleep(TRANSFER_POLL_S)

    def _set_metrics(self) -> None:
        live = 0
        if self.core.sessions is not None:
            live = len(self.core.sessions.live(time.monotonic()))
        metrics = self.metrics
        metrics.is_leader.set({}, int(self.replica.is_leader))
        metrics.term.set({}, self.replica.term)
        metrics.revision.set({}, self.core.state.fleet.revision)
        metrics.confirmed_revision.set({}, self.core.confirmed_revision)
        metrics.live_entries.set({}, live)
        metrics.out_vms.set({}, len(self.core.state.fleet.out_vms))
        metrics.synced_bytes.set({}, self.folder.synced_bytes)


_REPLICA_MESSAGES = (
    coordination.VoteRequest,
    coordination.VoteResponse,
    coordination.AppendRequest,
    coordination.AppendResponse,
    coordination.SnapshotChunk,
    coordination.SnapshotResponse,
    coordination.TimeoutNow,
)


def create_control_node(settings: protocol.ControlSettings) -> ControlNode:
    """Open the data folder and return a node that is ready to start.

    Raises:
        StorageError: the folder isn't this replica's, or is damaged.
    """
    folder = state.open_folder(
        pathlib.Path(settings.data_folder),
        settings.cluster_id,
        settings.replica_id,
    )
    try:
        return ControlNode(settings, folder)
    except BaseException:
        with contextlib.suppress(OSError):
            folder.close()
        raise


def _initial_membership(
    settings: protocol.ControlSettings,
) -> state.Membership:
    members = dict(settings.members)
    if settings.joins_as_learner:
        members.pop(settings.replica_id, None)
    return state.Membership(
        voters=tuple(sorted(members)), addresses=dict(members)
    )
