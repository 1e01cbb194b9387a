"""Runs one entry on the event loop."""

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
from greengagering.transport._claim_desk import ClaimDesk
from greengagering.transport._mesh import LinkSender
from greengagering.transport._mesh import Mesh
from greengagering.transport import _metrics
from greengagering.transport._peer_link import LinkIdentity
from greengagering.transport._step_loop import StepLoop
from greengagering.transport._upstream_client import UpstreamClient

QUEUE_TICK_S = 0.005
BOOT_ID_BYTES = 8
STOP_POLL_S = 0.02
BALANCER_NOTICE_S = 1.0
"""How long a stopping entry serves on while its readiness check fails."""

SlotResult = Result[coordination.Target, coordination.CallRefusal]


class EntryNode:
    """Passes messages, calls and time to an EntryCore."""

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
        )
        self.retries = coordination.RetryBudget()
        self._loop = StepLoop(
            self._step, self._set_metrics, self.metrics.loop_late_seconds
        )
        self.claims = ClaimDesk(self.core, self._loop.schedule)
        self._upstreams: UpstreamClient | None = None
        self._waiters: dict[coordination.Call, asyncio.Future[SlotResult]] = {}
        self._had_lease = False
        self._queue_task: asyncio.Task[None] | None = None

    @property
    def upstreams(self) -> UpstreamClient:
        """Client towards upstreams, once started."""
        assert self._upstreams is not None
        return self._upstreams

    async def start(self) -> None:
        """Listen for other processes and begin to follow control.

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
        """Fail readiness, then refuse new calls, then end those in flight."""
        self.is_stopping = True
        await asyncio.sleep(BALANCER_NOTICE_S)
        self.core.close_to_calls()
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
        if self._queue_task is not None:
            self._queue_task.cancel()
            await asyncio.gather(self._queue_task, return_exceptions=True)
        await self.mesh.close()
        if self._upstreams is not None:
            await self._upstreams.close()
        logs.info('entry_stopped', entry_id=self.settings.entry_id)

    def may_serve(self) -> bool:
        """Tell whether new calls may be admitted."""
        return self.core.may_serve(time.monotonic())

    async def acquire(self, call: coordination.Call) -> SlotResult:
        """Wait until a call has an upstream's slot or is refused.

        A cancelled wait frees the call's place in the queue.
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
        self._watch_queue()
        try:
            return await waiter
        except asyncio.CancelledError:
            self._abandon(call, waiter)
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
        """Give a slot back and serve whoever waits for it."""
        now_s = time.monotonic()
        self.core.dispatcher.release(call, target, outcome, run_s, now_s)
        self._pump()

    def announce(
        self, announcement: protocol.AnnouncementModel
    ) -> coordination.AnnounceReply:
        """Take an upstream's announcement."""
        self.metrics.announcements.inc({})
        reply = self.core.announce(
            announcement.to_upstream(),
            announcement.in_flight_count,
            time.monotonic(),
        )
        self._loop.schedule()
        return reply

    def _abandon(
        self, call: coordination.Call, waiter: asyncio.Future[SlotResult]
    ) -> None:
        """Free the place or the slot of a call whose caller has gone."""
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
            self.claims.note_response(message)
        elif isinstance(message, coordination.OutcomeRequest):
            self.core.claims.note_outcome_request(message)
        elif isinstance(message, coordination.OutcomeResponse):
            self.claims.note_outcome(message)
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
        self._pump()
        self._note_lease()

    def _send_outbox(self) -> None:
        for outgoing in self.core.take_outbox():
            if isinstance(outgoing, coordination.ToPeer):
                self.mesh.send(
                    outgoing.entry_id, outgoing.address, outgoing.message
                )
                continue
            for replica_id, address in self._controls().items():
                if outgoing.leader_id in ('', replica_id):
                    self.mesh.send(replica_id, address, outgoing.report)

    def _controls(self) -> dict[str, str]:
        """Return the control replicas of the settings and of the tickets."""
        named = self.core.follower.fleet.control
        controls = {member.replica_id: member.address for member in named}
        return {**self.settings.controls, **controls}

    def _pump(self) -> None:
        """Hand out free slots, and answer calls whose time is over."""
        now_s = time.monotonic()
        for refused in self.core.refuse_waiting(now_s):
            self._settle(refused.call, Err(refused.refusal))
        for assignment in self.core.assign_waiting(now_s):
            self._settle(assignment.call, Ok(assignment.target))

    def _settle(self, call: coordination.Call, result: SlotResult) -> None:
        waiter = self._waiters.get(call)
        if waiter is not None and not waiter.done():
            waiter.set_result(result)
            return
        if isinstance(result, Ok):
            # The caller went between the assignment and this line.
            outcome = coordination.AttemptOutcome.ABANDONED
            target = result.ok_value
            assert target is not None
            self.release(call, target, outcome, 0.0)

    def _watch_queue(self) -> None:
        """Run a short timer while calls wait, and none otherwise."""
        if self._queue_task is None or self._queue_task.done():
            self._queue_task = asyncio.ensure_future(self._tick_queue())

    async def _tick_queue(self) -> None:
        while self._waiters:
            self._pump()
            await asyncio.sleep(QUEUE_TICK_S)

    def _note_lease(self) -> None:
        has_lease = self.core.follower.has_lease(time.monotonic())
        if has_lease == self._had_lease:
            return
        self._had_lease = has_lease
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
