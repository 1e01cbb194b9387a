"""Entry on the asyncio event loop."""

import asyncio
import random
import secrets
import time

from result import Err
from result import Ok
from result import Result

from greengagering import coordination
from greengagering import logs
from greengagering import protocol
from greengagering.protocol import links
from greengagering.transport._claim_resolver import ClaimResolver
from greengagering.transport._link_server import LinkOptions
from greengagering.transport._mesh import LinkSender
from greengagering.transport._mesh import Mesh
from greengagering.transport import _metrics
from greengagering.transport._peer_link import LinkIdentity
from greengagering.transport._step_loop import StepLoop
from greengagering.transport._upstream_client import UpstreamClient

QUEUE_INTERVAL_S = 0.005
"""Time between two checks of the queue while calls wait in it."""

BOOT_ID_BYTES = 8
STOP_POLL_S = 0.02
READINESS_GRACE_S = 1.0
"""Time for which a stopping entry still accepts calls while its readiness
check already fails, so that the balancer notices."""

SlotResult = Result[coordination.Target, coordination.CallRefusal]


class EntryNode:
    """Connects an EntryCore to the network and the clock."""

    def __init__(self, settings: protocol.EntrySettings) -> None:
        self.settings = settings
        self.metrics = _metrics.create_entry_metrics()
        self.is_stopping = False
        self.open_calls = 0
        boot_id = secrets.token_hex(BOOT_ID_BYTES)
        self.core = coordination.EntryCore(
            coordination.EntryIdentity(
                entry_id=settings.entry_id,
                boot_id=boot_id,
                address=settings.advertised_address or settings.link_address,
                data_centre=settings.data_centre,
            ),
            random.Random(),
            _options(settings),
        )
        self.mesh = Mesh(
            LinkIdentity(settings.cluster_id, settings.entry_id, boot_id),
            settings.link_address,
            self._on_message,
            LinkOptions(
                settings.max_link_connections,
                settings.max_held_bytes,
                self.metrics.refused_connections,
            ),
        )
        self.retry_budget = coordination.RetryBudget()
        self._loop = StepLoop(
            self._step, self._set_metrics, self.metrics.loop_late_seconds
        )
        self.claim_resolver = ClaimResolver(self.core, self._loop.schedule)
        self._upstreams: UpstreamClient | None = None
        self._waiters: dict[coordination.Call, asyncio.Future[SlotResult]] = {}
        self._logged_lease = False
        self._queue_timer: asyncio.Task[None] | None = None

    @property
    def upstreams(self) -> UpstreamClient:
        """Client of the upstreams; only after start."""
        assert self._upstreams is not None
        return self._upstreams

    async def start(self) -> None:
        """Listen for other processes and start to follow the control replicas.

        Raises:
            ListenError: the link address can't be listened on.
        """
        await self.mesh.start()
        self._upstreams = UpstreamClient(self.settings.max_body_bytes)
        self._loop.start()
        logs.info(
            'entry_started',
            entry_id=self.settings.entry_id,
            link_address=self.settings.link_address,
            http_address=self.settings.http_address,
        )

    async def drain(self) -> None:
        """Fail the readiness check, refuse new calls, await open ones."""
        self.is_stopping = True
        await asyncio.sleep(READINESS_GRACE_S)
        self.core.stop_admitting()
        ends_s = time.monotonic() + self.settings.stop_timeout_s
        while self.open_calls and time.monotonic() < ends_s:
            await asyncio.sleep(STOP_POLL_S)
        if self.open_calls:
            logs.warning('calls_cut', count=self.open_calls)
        self.core.leave(time.monotonic())
        self._send_outbox()

    async def stop(self) -> None:
        """Close every link and connection."""
        await self._loop.stop()
        if self._queue_timer is not None:
            self._queue_timer.cancel()
            await asyncio.gather(self._queue_timer, return_exceptions=True)
        await self.mesh.close()
        if self._upstreams is not None:
            await self._upstreams.close()
        logs.info('entry_stopped', entry_id=self.settings.entry_id)

    def may_serve(self) -> bool:
        """Return whether new calls may be admitted."""
        # As everywhere in this class, the time is CLOCK_MONOTONIC, which
        # doesn't advance while suspended; control reads clock.steady_s.
        return self.core.may_serve(time.monotonic())

    async def acquire(self, call: coordination.Call) -> SlotResult:
        """Wait until a call gets a slot at an upstream or is refused.

        If the wait is cancelled, the call leaves the queue.
        """
        now_s = time.monotonic()
        submitted = self.core.submit(call, now_s)
        if isinstance(submitted, Err):
            return submitted
        if submitted.ok_value is not None:
            return Ok(submitted.ok_value.target)
        waiter: asyncio.Future[SlotResult] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters[call] = waiter
        self._start_queue_timer()
        try:
            return await waiter
        except asyncio.CancelledError:
            self._release_abandoned(call, waiter)
            raise
        finally:
            self._waiters.pop(call, None)
            waited_s = time.monotonic() - now_s
            labels = {'service': call.service}
            self.metrics.wait_seconds.observe(labels, waited_s)

    def release(
        self,
        call: coordination.Call,
        target: coordination.Target,
        outcome: coordination.AttemptOutcome,
        run_s: float,
    ) -> None:
        """Return a slot and assign free slots to waiting calls."""
        now_s = time.monotonic()
        self.core.dispatcher.release(call, target, outcome, run_s, now_s)
        self._serve_queue()

    def announce(
        self, announcement: protocol.AnnouncementModel
    ) -> coordination.AnnounceReply:
        """Process an upstream's announcement."""
        self.metrics.announcements.inc({})
        reply = self.core.announce(
            announcement.to_upstream(),
            announcement.in_flight_count,
            time.monotonic(),
        )
        self._loop.schedule()
        return reply

    def _release_abandoned(
        self, call: coordination.Call, waiter: asyncio.Future[SlotResult]
    ) -> None:
        """Free the queue place or the slot of a call that was cancelled."""
        if self.core.dispatcher.cancel(call) or not waiter.done():
            return
        if waiter.cancelled():
            return
        result = waiter.result()
        if isinstance(result, Ok):
            outcome = coordination.AttemptOutcome.ABANDONED
            self.release(call, result.ok_value, outcome, 0.0)

    def _on_message(
        self, sender: LinkSender, message: links.LinkMessage
    ) -> None:
        if isinstance(message, coordination.ClaimResponse):
            self.claim_resolver.receive_verdicts(message)
        elif isinstance(message, coordination.OutcomeRequest):
            self.core.claims.answer_outcome_request(message)
        elif isinstance(message, coordination.OutcomeResponse):
            self.claim_resolver.receive_outcome(message)
        elif isinstance(message, _ENTRY_MESSAGES):
            now_s = time.monotonic()
            self.core.receive(sender.sender_id, message, now_s)
        else:
            logs.warning(
                'message_unexpected',
                peer=sender.sender_id,
                kind=type(message).__name__,
            )
            return
        self._loop.schedule()

    def _step(self) -> None:
        self.core.step(time.monotonic())
        self._send_outbox()
        self._serve_queue()
        self._log_lease_change()

    def _send_outbox(self) -> None:
        for outgoing in self.core.take_outbox():
            if isinstance(outgoing, coordination.ToPeer):
                self.mesh.send(
                    outgoing.entry_id, outgoing.address, outgoing.message
                )
                continue
            for replica_id, address in self._control_addresses().items():
                if outgoing.leader_id in ('', replica_id):
                    self.mesh.send(replica_id, address, outgoing.report)

    def _control_addresses(self) -> dict[str, str]:
        """Return the addresses of the control replicas.

        Addresses named by tickets override those of the settings.
        """
        named = self.core.follower.fleet.control
        controls = {member.replica_id: member.address for member in named}
        return {**self.settings.controls, **controls}

    def _serve_queue(self) -> None:
        """Assign free slots to waiting calls and refuse calls out of time."""
        now_s = time.monotonic()
        for refused in self.core.refuse_waiting(now_s):
            self._answer_waiter(refused.call, Err(refused.refusal))
        for assignment in self.core.assign_waiting(now_s):
            self._answer_waiter(assignment.call, Ok(assignment.target))

    def _answer_waiter(
        self, call: coordination.Call, result: SlotResult
    ) -> None:
        waiter = self._waiters.get(call)
        if waiter is not None and not waiter.done():
            waiter.set_result(result)
            return
        if isinstance(result, Ok):
            # The call was cancelled after its assignment; free the slot.
            outcome = coordination.AttemptOutcome.ABANDONED
            target = result.ok_value
            assert target is not None
            self.release(call, target, outcome, 0.0)

    def _start_queue_timer(self) -> None:
        """Start the queue timer unless it runs; it ends with the last call."""
        if self._queue_timer is None or self._queue_timer.done():
            self._queue_timer = asyncio.ensure_future(self._run_queue_timer())

    async def _run_queue_timer(self) -> None:
        while self._waiters:
            self._serve_queue()
            await asyncio.sleep(QUEUE_INTERVAL_S)

    def _log_lease_change(self) -> None:
        has_lease = self.core.follower.has_lease(time.monotonic())
        if has_lease == self._logged_lease:
            return
        self._logged_lease = has_lease
        if has_lease:
            logs.info(
                'lease_gained',
                leader_id=self.core.follower.leader_id,
                revision=self.core.follower.revision,
            )
        else:
            logs.warning('lease_lost', revision=self.core.follower.revision)

    def _set_metrics(self) -> None:
        dispatcher = self.core.dispatcher
        self.metrics.revision.set({}, self.core.follower.revision)
        self.metrics.has_lease.set({}, int(self.may_serve()))
        self.metrics.in_flight.set({}, dispatcher.total_in_flight())
        self.metrics.upstreams.set({}, len(self.core.table))
        for service, count in dispatcher.queued().items():
            self.metrics.queued.set({'service': service}, count)


_ENTRY_MESSAGES = (
    coordination.LeaseGrant,
    coordination.FeedDelta,
    coordination.FeedSnapshot,
    coordination.HeartbeatBatch,
    coordination.UpstreamChanges,
    coordination.TableDigest,
)


def _options(settings: protocol.EntrySettings) -> coordination.EntryOptions:
    return coordination.EntryOptions(
        liveness=coordination.LivenessOptions(
            announce_interval_s=settings.announce_interval_s,
            silence_timeout_s=settings.silence_timeout_s,
        ),
        dispatch=coordination.DispatchOptions(
            max_queued_calls=settings.max_queued_calls
        ),
    )
