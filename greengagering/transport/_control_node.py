"""Control replica on the asyncio event loop."""

import asyncio
from concurrent import futures
import contextlib
import random

from result import Err
from result import Ok
from result import Result

from greengagering import clock
from greengagering import coordination
from greengagering.coordination import errors as coordination_errors
from greengagering import logs
from greengagering import protocol
from greengagering.protocol import links
from greengagering import state
from greengagering.state import errors as state_errors
from greengagering.transport._adviser_client import AdviceRunner
from greengagering.transport._adviser_client import AdviserClient
from greengagering.transport._agent_client import AgentClient
from greengagering.transport import _control_folder
from greengagering.transport._job_call_handler import CommitResult
from greengagering.transport._job_call_handler import JobCallHandler
from greengagering.transport._leader_probing import LeaderProbing
from greengagering.transport._limited_client import LimitedClient
from greengagering.transport._link_server import LinkOptions
from greengagering.transport._machine_client import MachineClient
from greengagering.transport._machine_runner import MachineRunner
from greengagering.transport._mesh import LinkSender
from greengagering.transport._mesh import Mesh
from greengagering.transport import _metrics
from greengagering.transport._order_runner import OrderRunner
from greengagering.transport._peer_link import LinkIdentity
from greengagering.transport._plan_review import PlanReader
from greengagering.transport._plan_review import PlanReview
from greengagering.transport._platform_client import PlatformClient
from greengagering.transport._step_loop import StepLoop
from greengagering.transport._worker_client import WorkerClient

EXIT_FAILURE = 1

TRANSFER_POLL_S = 0.05
"""Time between two attempts to transfer leadership at a planned stop."""

TicketResult = Result[
    state.TicketEntry, state.Refusal | coordination_errors.CoordinationError
]


class ControlNode:
    """Connects a ControlCore to the network, the clock and the disk.

    The inputs of one iteration of the event loop are processed in one step,
    so tickets that arrive together share one write, one fsync and one message
    to each peer.
    """

    def __init__(
        self,
        settings: protocol.ControlSettings,
        folder: state.DataFolder,
        workers: WorkerClient | None = None,
        machines: MachineClient | None = None,
        adviser: AdviserClient | None = None,
        read_plan: PlanReader | None = None,
    ) -> None:
        self.settings = settings
        self.folder = folder
        self.replica_id = folder.identity.replica_id
        self.metrics = _metrics.create_control_metrics()
        self.is_stopping = False
        now_s = clock.steady_s()
        options = coordination.ReplicaOptions(
            heartbeat_s=settings.heartbeat_s,
            election_min_s=settings.election_min_s,
            election_max_s=settings.election_max_s,
            clock_drift_ratio=settings.clock_drift_ratio,
            syncs_in_background=True,
        )
        self.replica = coordination.Replica(
            coordination.ReplicaIdentity(
                self.replica_id, folder.identity.incarnation
            ),
            _initial_membership(settings, self.replica_id),
            folder,
            random.Random(),
            now_s,
            options,
            folder.locked_at_s,
        )
        leases = coordination.LeaseOptions(
            duration_s=settings.entry_lease_s,
            clock_drift_ratio=settings.clock_drift_ratio,
        )
        member_replacement = None
        if settings.seeds:
            member_replacement = coordination.MemberReplacement(
                settings.voter_count
            )
        self.core = coordination.ControlCore(
            self.replica, leases, now_s, member_replacement
        )
        self.mesh = Mesh(
            LinkIdentity(
                settings.cluster_id,
                self.replica_id,
                folder.identity.incarnation,
            ),
            settings.link_address,
            self._on_message,
            LinkOptions(
                settings.max_link_connections,
                settings.max_held_bytes,
                self.metrics.refused_connections,
            ),
        )
        self._loop = StepLoop(
            self._step, self._set_metrics, self.metrics.loop_late_seconds
        )
        self._disk = futures.ThreadPoolExecutor(1, 'disk')
        self._sync: asyncio.Task[None] | None = None
        self._platform = PlatformClient(settings.platform_url, self.metrics)
        self._ticket_waiters: dict[
            coordination.LogPosition, asyncio.Future[TicketResult]
        ] = {}
        self._commit_waiters: dict[
            coordination.LogPosition, asyncio.Future[CommitResult]
        ] = {}
        self._plan_review = PlanReview(self.core, read_plan, self.now_s)
        self.job_calls = JobCallHandler(
            self.core,
            self.commit,
            self.now_ms,
            self.metrics,
            self._plan_review.is_fully_read,
            settings.max_stored_bytes,
        )
        self._agents: AgentClient | None = None
        self._order_runner: OrderRunner | None = None
        if workers is not None:
            self._agents = AgentClient(
                LimitedClient(workers, self._may_send),
                coordination.AgentRegistry(),
                lambda: len(self.core.jobs.workers),
                lambda: self.replica.lease_end_s(self.now_s()),
                self._send_to_agent,
                settings.link_address,
            )
            self._order_runner = OrderRunner(
                self.core.jobs,
                self._agents,
                self.has_lease,
                self._loop.schedule,
                self.metrics,
            )
        self._machine_runner: MachineRunner | None = None
        if machines is not None:
            self._machine_runner = MachineRunner(
                self.core.machine_manager,
                machines,
                self.has_lease,
                self._propose_duty_records,
                self.metrics,
            )
        self._advice_runner: AdviceRunner | None = None
        if adviser is not None:
            self._advice_runner = AdviceRunner(
                self.core.jobs, adviser, self._loop.schedule
            )
        self._calls: set[asyncio.Task[None]] = set()
        self._probing = LeaderProbing(settings, self.core, self.mesh)
        self._logged_role = coordination.Role.FOLLOWER
        self._logged_lease = False
        self._logged_fault = ''
        self._logged_members = self.replica.membership

    async def start(self) -> None:
        """Listen for other processes and start the step loop.

        Raises:
            ListenError: the link address can't be listened on.
        """
        await self.mesh.start()
        self._loop.start()
        logs.info(
            'control_started',
            replica_id=self.replica_id,
            link_address=self.settings.link_address,
            last_index=self.replica.log.last_index,
            snapshot_index=self.replica.log.snapshot_index,
            starting_s=round(clock.steady_s() - clock.PROCESS_STARTED_AT_S, 3),
        )

    async def stop(self) -> None:
        """Transfer leadership, fail pending requests and close everything."""
        self.is_stopping = True
        await self._transfer_leadership()
        self._fail_waiters()
        await self._loop.stop()
        if self._order_runner is not None:
            await self._order_runner.close()
        if self._machine_runner is not None:
            await self._machine_runner.close()
        if self._advice_runner is not None:
            await self._advice_runner.close()
        self._send_outbox()
        await self._platform.close()
        await self.mesh.close()
        if self._sync is not None:
            await self._sync
        self._disk.shutdown(wait=False)
        self.folder.close()
        logs.info('control_stopped', replica_id=self.replica_id)

    async def submit(self, ticket: state.Ticket) -> TicketResult:
        """Propose a ticket and wait until it is committed or refused.

        Returns:
            The ticket's entry in the history, a refusal, NotLeaderError or
            OverloadedError. After NotLeaderError the ticket may still be
            accepted; submitting it again is safe and returns its outcome.
        """
        proposed = self.core.submit(ticket, self.now_ms(), clock.steady_s())
        if isinstance(proposed, Err):
            return proposed
        submitted = proposed.ok_value
        if isinstance(submitted, state.TicketEntry):
            return Ok(submitted)
        waiter: asyncio.Future[TicketResult] = (
            asyncio.get_running_loop().create_future()
        )
        self._ticket_waiters[submitted] = waiter
        self._loop.schedule()
        return await waiter

    async def commit(self, record: state.JobRecord) -> CommitResult:
        """Propose a record and wait until it is committed and applied.

        Returns:
            Ok, or NotLeaderError or OverloadedError. After NotLeaderError
            the record may still be committed.
        """
        proposed = self.core.propose_job_record(record, self.now_s())
        if isinstance(proposed, Err):
            return proposed
        waiter: asyncio.Future[CommitResult] = (
            asyncio.get_running_loop().create_future()
        )
        self._commit_waiters[proposed.ok_value] = waiter
        self._loop.schedule()
        return await waiter

    def _propose_duty_records(self, records: list[state.JobRecord]) -> None:
        for record in records:
            proposed = self.core.propose_job_record(record, self.now_s())
            if isinstance(proposed, Err):
                # The duty stays open in the log, so it is carried out again.
                logs.warning(
                    'record_unproposed',
                    record=type(record).__name__,
                    cause=str(proposed.err_value),
                )
        self._loop.schedule()

    def has_lease(self) -> bool:
        """Return whether this replica may send orders to workers and machines.

        It must have the leader's lease, so that no other replica can lead, and
        its job scheduler must have begun to lead; replica.has_lease covers the
        lease only.
        """
        is_scheduler_leading = self.core.jobs.is_leading
        return is_scheduler_leading and self.replica.has_lease(self.now_s())

    def _may_send(self, term: int) -> bool:
        return term == self.core.jobs.fence and self.has_lease()

    def _send_to_agent(
        self, agent: coordination.Agent, batch: coordination.AgentOrders
    ) -> None:
        self.mesh.send(agent.address, agent.address, batch)

    def leader_address(self) -> str:
        """Return the leader's link address, or '' if it is unknown."""
        return self._probing.leader_address(self.now_s())

    @property
    def seeds(self) -> tuple[str, ...]:
        """Addresses of processes that may know the leader."""
        return self._probing.seeds

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds after the settings were reloaded."""
        self._probing.seeds = seeds

    def now_s(self) -> float:
        """Return the steady clock, by which leases are measured."""
        return clock.steady_s()

    def now_ms(self) -> int:
        """Return the Unix time, which goes into records."""
        return clock.unix_ms()

    def _on_message(
        self, sender: LinkSender, message: links.LinkMessage
    ) -> None:
        now_s = clock.steady_s()
        if isinstance(message, coordination.EntryReport):
            self.core.handle_entry_report(message, now_s)
        elif isinstance(message, coordination.ClaimRequest):
            self.core.handle_claim_request(message, now_s, self.now_ms())
        elif isinstance(message, coordination.JobCall):
            self._start_call(message)
            return
        elif isinstance(message, coordination.AgentAnswers):
            if self._agents is not None:
                self._agents.receive(message)
            return
        elif isinstance(message, coordination.ControlProbe):
            self._answer_probe(message, now_s)
            return
        elif isinstance(message, coordination.ControlStatus):
            self._probing.handle_status(message, now_s)
            return
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

    def _start_call(self, call: coordination.JobCall) -> None:
        task = asyncio.ensure_future(self._answer_call(call))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _answer_call(self, call: coordination.JobCall) -> None:
        if self.has_lease():
            answer = await self.job_calls.answer(call)
        else:
            answer = coordination.JobAnswer(
                call.call_id,
                coordination.JobOutcome.UNAVAILABLE,
                is_untouched=True,
            )
        if not self.has_lease() and (
            answer.outcome is not coordination.JobOutcome.UNAVAILABLE
        ):
            # The lease expired meanwhile, so another leader may have committed
            # changes that this answer doesn't show.
            answer = coordination.JobAnswer(
                call.call_id, coordination.JobOutcome.UNAVAILABLE
            )
        self.mesh.send(call.address, call.address, answer)

    def _answer_probe(
        self, probe: coordination.ControlProbe, now_s: float
    ) -> None:
        is_leader = self.has_lease()
        if (
            is_leader
            and probe.joining_id
            and self.core.member_replacement is not None
        ):
            self.core.member_replacement.add_join_request(
                probe.joining_id, probe.address, now_s
            )
        elif is_leader and self._agents is not None:
            self._agents.receive_offer(
                probe.sender_id, probe.address, probe.offer, now_s
            )
        self._probing.answer_probe(probe, now_s, is_leader=is_leader)

    def _step(self) -> None:
        now_s = clock.steady_s()
        self._probing.probe_for_leader(now_s)
        self._plan_review.step()
        self.core.step(now_s, self.now_ms())
        if self.core.is_compaction_due():
            self.core.compact(now_s)
        self._send_outbox()
        self._begin_sync()
        self._resolve_waiters()
        self._probing.announce_lead(now_s, is_leader=self.has_lease())
        if self.replica.has_lease(now_s):
            self._platform.order(self.core.decisions.reboots, now_s)
        if self._order_runner is not None:
            self._order_runner.step()
        if self._machine_runner is not None:
            self._machine_runner.step()
        if self._advice_runner is not None:
            self._advice_runner.step()
        for waited_s in self.core.jobs.take_start_waits():
            self.metrics.start_wait_seconds.observe({}, waited_s)
        for decision in self.core.jobs.take_decisions():
            logs.info(decision.event, **decision.fields)
        self._log_state_changes()

        self._end_if_disk_failed()

    def _end_if_disk_failed(self) -> None:
        """End the process after a failed write that can't be undone.

        What the disk holds is known only once the folder is read again, which
        the start of the next process does.
        """
        if self.folder.is_failed and not self.is_stopping:
            logs.error('storage_failed', cause=self.replica.storage_fault)
            raise SystemExit(EXIT_FAILURE)

    def _begin_sync(self) -> None:
        """Start a sync of the log; the followers sync theirs meanwhile."""
        if self._sync is None and self.replica.is_sync_due():
            self._sync = asyncio.ensure_future(self._sync_log())

    async def _sync_log(self) -> None:
        index, term = self.replica.log.last_index, self.replica.term
        try:
            await asyncio.get_running_loop().run_in_executor(
                self._disk, self.folder.begin_sync()
            )
            self.replica.handle_sync_done(index, term, clock.steady_s())
        except state_errors.StorageError as error:
            self.replica.handle_sync_failure(error, clock.steady_s())
        finally:
            self._sync = None
        self._loop.schedule()

    def _send_outbox(self) -> None:
        addresses = self._probing.addresses()
        member_replacement = self.core.member_replacement
        superseded_voters = (
            member_replacement.superseded_voters
            if member_replacement is not None
            else frozenset()
        )
        for outgoing in self.replica.take_outbox():
            address = addresses.get(outgoing.receiver)
            if (
                address is not None
                and outgoing.receiver not in superseded_voters
            ):
                self.mesh.send(outgoing.receiver, address, outgoing.message)
        for to_entry in self.core.take_entry_outbox():
            self.mesh.send(
                to_entry.entry_id, to_entry.address, to_entry.message
            )

    def address_of(self, replica_id: str) -> str:
        """Return a replica's link address, or '' if it is unknown."""
        return self._probing.addresses().get(replica_id, '')

    def _resolve_waiters(self) -> None:
        for outcome in self.core.take_outcomes():
            # Another leader's entry may have the same index, but never the
            # same term.
            position = coordination.LogPosition(outcome.index, outcome.term)
            waiter = self._ticket_waiters.pop(position, None)
            if waiter is not None and not waiter.done():
                waiter.set_result(outcome.result)
        for position in self.core.take_applied():
            commit = self._commit_waiters.pop(position, None)
            if commit is not None and not commit.done():
                commit.set_result(Ok(None))
        is_waited_for = self._ticket_waiters or self._commit_waiters
        if is_waited_for and not self.replica.is_leader:
            self._fail_waiters()

    def _fail_waiters(self) -> None:
        """Fail all pending requests with NotLeaderError."""
        error = coordination_errors.NotLeaderError(self.replica.leader_id)
        for waiter in self._ticket_waiters.values():
            if not waiter.done():
                waiter.set_result(Err(error))
        for commit in self._commit_waiters.values():
            if not commit.done():
                commit.set_result(Err(error))
        self._ticket_waiters.clear()
        self._commit_waiters.clear()

    def _log_membership_change(self) -> None:
        members = self.replica.membership
        if members is self._logged_members:
            return
        self._logged_members = members
        logs.info(
            'members_changed',
            voters=','.join(members.voters),
            learners=','.join(members.learners),
            index=self.replica.log.membership_index,
            commit_index=self.replica.commit_index,
        )

    def _log_state_changes(self) -> None:
        self._log_membership_change()
        if self.replica.role is not self._logged_role:
            self._logged_role = self.replica.role
            logs.info(
                'role_changed',
                role=self.replica.role,
                term=self.replica.term,
                leader_id=self.replica.leader_id,
            )
        self._log_lease_change()
        if self.replica.storage_fault != self._logged_fault:
            self._logged_fault = self.replica.storage_fault
            if self._logged_fault:
                logs.error('storage_fault', cause=self._logged_fault)
            else:
                logs.info('storage_recovered')

    def _log_lease_change(self) -> None:
        now_s = clock.steady_s()
        has_lease = self.replica.has_lease(now_s)
        if has_lease == self._logged_lease:
            return
        self._logged_lease = has_lease
        contact_s = self.replica.quorum_contact_s(now_s)
        logs.info(
            'leader_lease_gained' if has_lease else 'leader_lease_lost',
            term=self.replica.term,
            is_leader=self.replica.is_leader,
            quorum_heard_s_ago=round(now_s - contact_s, 3),
            committed=self.replica.commit_index,
            last_index=self.replica.log.last_index,
        )

    async def _transfer_leadership(self) -> None:
        ends_s = clock.steady_s() + self.settings.election_max_s
        while self.replica.is_leader and clock.steady_s() < ends_s:
            if len(self.replica.membership.voters) == 1:
                return
            if self.replica.transfer_leadership(clock.steady_s()):
                self._step()
                await asyncio.sleep(TRANSFER_POLL_S)
                return
            await asyncio.sleep(TRANSFER_POLL_S)

    def _set_metrics(self) -> None:
        live = 0
        if self.core.sessions is not None:
            live = len(self.core.sessions.live(clock.steady_s()))
        metrics = self.metrics
        metrics.is_leader.set({}, int(self.replica.is_leader))
        metrics.term.set({}, self.replica.term)
        metrics.revision.set({}, self.core.state.fleet.revision)
        metrics.confirmed_revision.set({}, self.core.confirmed_revision)
        metrics.live_entries.set({}, live)
        metrics.out_vms.set({}, len(self.core.state.fleet.out_vms))
        metrics.synced_bytes.set({}, self.folder.written_bytes)
        metrics.storage_fault.set({}, int(bool(self.replica.storage_fault)))
        scheduler = self.core.jobs
        for ending, count in scheduler.ending_counts.items():
            metrics.run_ends.set({'ending': ending}, count)
        for cause, count in scheduler.lost_run_counts.items():
            metrics.lost_runs.set({'cause': cause}, count)
        for cause, count in scheduler.stop_counts.items():
            metrics.stopped_runs.set({'cause': cause}, count)
        for (
            wait_cause,
            seconds,
        ) in scheduler.waits.task_seconds.seconds.items():
            metrics.wait_seconds.set({'cause': str(wait_cause)}, seconds)
        for cause, seconds in scheduler.waits.late_job_seconds.items():
            metrics.late_job_seconds.set({'cause': cause}, seconds)
        usable = scheduler.count_usable(clock.steady_s())
        metrics.workers.set({'usable': 'yes'}, usable)
        metrics.workers.set({'usable': 'no'}, len(scheduler.workers) - usable)
        metrics.waiting_tasks.set({}, scheduler.count_waiting())
        # Two counts, however many customers there are; the dump names them.
        limits = scheduler.limits
        metrics.customers_at_limit.set({}, len(limits.customers_at_limit))
        metrics.held_tasks.set({}, limits.held_task_count)


_REPLICA_MESSAGES = (
    coordination.VoteRequest,
    coordination.VoteResponse,
    coordination.AppendRequest,
    coordination.AppendResponse,
    coordination.SnapshotChunk,
    coordination.SnapshotResponse,
    coordination.TimeoutNow,
)


def create_control_node(
    settings: protocol.ControlSettings,
    workers: WorkerClient | None = None,
    machines: MachineClient | None = None,
    adviser: AdviserClient | None = None,
    read_plan: PlanReader | None = None,
) -> ControlNode:
    """Open the data folder and return a node that can be started.

    Args:
        settings: the node's settings.
        workers: client of the workers, or None if no jobs are run.
        machines: client of the platform, or None if no machines are managed.
        adviser: client of the adviser, or None if there is none.
        read_plan: converts a plan's source, or None if no plans are used.

    Raises:
        StorageError: the folder is damaged and can't be replaced, or belongs
            to another replica.
    """

    def open_node() -> ControlNode | None:
        with contextlib.ExitStack() as cleanup:
            folder = _control_folder.open_own_folder(settings)
            cleanup.callback(_close_folder, folder)
            try:
                node = ControlNode(
                    settings, folder, workers, machines, adviser, read_plan
                )
            except state_errors.DamagedSegmentError as error:
                # The folder is still locked here.
                _control_folder.set_log_aside(settings, error)
                return None
            cleanup.pop_all()
            return node

    node = open_node() or open_node()
    assert node is not None, 'an empty folder is not damaged'
    return node


def _close_folder(folder: state.DataFolder) -> None:
    # An error of the closing would hide the one that ends the start.
    with contextlib.suppress(OSError):
        folder.close()


def _initial_membership(
    settings: protocol.ControlSettings, replica_id: str
) -> state.Membership:
    members = dict(settings.members)
    if settings.seeds:
        members = {_control_folder.address_to_id(a): a for a in settings.seeds}
        if replica_id not in members:
            members = {}
    if settings.joins_as_learner:
        members.pop(replica_id, None)
    return state.Membership(
        voters=tuple(sorted(members)), addresses=dict(members)
    )
