"""Entry that forwards job calls to the control replicas."""

import asyncio
import secrets

from greengagering import clock
from greengagering import coordination
from greengagering import logs
from greengagering import protocol
from greengagering.protocol import links
from greengagering import state
from greengagering.transport._agent_runner import AgentRunner
from greengagering.transport._link_server import LinkOptions
from greengagering.transport._mesh import LinkSender
from greengagering.transport._mesh import Mesh
from greengagering.transport import _metrics
from greengagering.transport._peer_link import LinkIdentity
from greengagering.transport._step_loop import StepLoop
from greengagering.transport._worker_client import WorkerClient

BOOT_ID_BYTES = 8
STOP_POLL_S = 0.02
TICK_S = 0.1
"""Time between two periodic steps. A probe for the leader may be late by this
much; with a shorter interval an entry spends most of its time on steps."""

READINESS_GRACE_S = 2.2
"""Time for which a stopping entry still accepts calls while its readiness
check already fails; the balancer checks once a second and needs two failed
checks."""


class GatewayNode:
    """Connects a JobGateway to the network and the clock."""

    def __init__(
        self,
        settings: protocol.GatewaySettings,
        workers: WorkerClient,
    ) -> None:
        self.settings = settings
        self.metrics = _metrics.create_gateway_metrics()
        self.is_stopping = False
        self.open_requests = 0
        boot_id = secrets.token_hex(BOOT_ID_BYTES)
        self.core = coordination.JobGateway(
            settings.entry_id,
            settings.link_address,
            settings.seeds,
            boot_id,
            settings.data_centre,
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
        self.agent = AgentRunner(
            settings.entry_id, boot_id, workers, self._send_answers
        )
        self._loop = StepLoop(
            self._step,
            self._set_metrics,
            self.metrics.loop_late_seconds,
            TICK_S,
        )
        self._waiters: dict[str, asyncio.Future[coordination.JobAnswer]] = {}
        self._logged_leader_id = ''

    async def start(self) -> None:
        """Listen for answers of control replicas and look for the leader.

        Raises:
            ListenError: the link address can't be listened on.
        """
        await self.mesh.start()
        self._loop.start()
        logs.info(
            'entry_started',
            entry_id=self.settings.entry_id,
            link_address=self.settings.link_address,
            http_address=self.settings.http_address,
            seeds=','.join(self.settings.seeds),
            starting_s=round(clock.steady_s() - clock.PROCESS_STARTED_AT_S, 3),
        )

    async def drain(self) -> None:
        """Fail the readiness check and wait for open requests to end."""
        self.is_stopping = True
        self.core.withdraw_offer(clock.steady_s())
        self._loop.schedule()
        ends_s = clock.steady_s() + self.settings.stop_timeout_s
        await asyncio.sleep(READINESS_GRACE_S)
        while self.open_requests and clock.steady_s() < ends_s:
            await asyncio.sleep(STOP_POLL_S)
        if self.open_requests:
            logs.warning('calls_cut', count=self.open_requests)

    async def stop(self) -> None:
        """Close every link."""
        await self._loop.stop()
        await self.agent.close()
        await self.mesh.close()
        logs.info('entry_stopped', entry_id=self.settings.entry_id)

    def is_ready(self) -> bool:
        """Return whether the balancer may open new connections here."""
        return not self.is_stopping and self.core.is_ready(clock.steady_s())

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds after the settings were reloaded."""
        self.core.set_seeds(seeds)

    async def call(
        self,
        kind: coordination.CallKind,
        host: str,
        path: str,
        deadline_s: float,
        job_id: str,
        spec: state.JobSpec | None = None,
        key_digest: str = '',
    ) -> coordination.JobAnswer:
        """Forward a call to the leader and wait for its answer.

        Args:
            kind: kind of the call.
            host: host name that the caller used.
            path: path that the caller used.
            deadline_s: time left for the answer.
            job_id: id of the job that the path names, or ''.
            spec: the job, if one is submitted.
            key_digest: digest of the caller's key, or ''.
        """
        now_s = clock.steady_s()
        call_id = self.core.submit(
            kind,
            host,
            path,
            spec,
            now_s + deadline_s,
            now_s,
            key_digest,
            job_id,
        )
        waiter: asyncio.Future[coordination.JobAnswer] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters[call_id] = waiter
        opened = self.core.open_calls.get(call_id)
        self._loop.schedule()
        outcome = 'caller_gone'
        try:
            answer = await waiter
            outcome = answer.label
            if answer.outcome is not coordination.JobOutcome.DONE:
                self._log_refusal(kind, job_id, answer, opened)
            return answer
        finally:
            self.metrics.calls.inc({'kind': str(kind), 'outcome': outcome})
            self.metrics.call_seconds.observe(
                {'kind': str(kind)}, clock.steady_s() - now_s
            )
            self._waiters.pop(call_id, None)
            self.core.forget(call_id)

    def _log_refusal(
        self,
        kind: coordination.CallKind,
        job_id: str,
        answer: coordination.JobAnswer,
        opened: coordination.OpenCall | None,
    ) -> None:
        now_s = clock.steady_s()
        fields: dict[str, object] = {}
        if answer.cause is not coordination.RefusalCause.NONE:
            fields['cause'] = answer.cause
        if opened is not None:
            fields['waited_s'] = round(now_s - opened.received_at_s, 3)
            fields['sends'] = opened.send_count
        if self.core.heard_at_s > 0:
            fields['leader_heard_s_ago'] = round(
                now_s - self.core.heard_at_s, 3
            )
        logs.info(
            'call_refused',
            job=job_id,
            kind=kind,
            outcome=answer.outcome,
            detail=answer.detail,
            leader_id=self.core.leader_id,
            **fields,
        )

    def _on_message(
        self, sender: LinkSender, message: links.LinkMessage
    ) -> None:
        if isinstance(message, coordination.AgentOrders):
            self.agent.receive(message)
            return
        if not isinstance(
            message, coordination.JobAnswer | coordination.ControlStatus
        ):
            logs.warning(
                'message_unexpected',
                peer=sender.sender_id,
                kind=type(message).__name__,
            )
            return
        self.core.receive(sender.sender_id, message, clock.steady_s())
        self._loop.schedule()

    def _send_answers(
        self, address: str, answers: coordination.AgentAnswers
    ) -> None:
        self.mesh.send(address, address, answers)

    def _step(self) -> None:
        now_s = clock.steady_s()
        self.core.step(now_s)
        for outgoing in self.core.take_outbox():
            self.mesh.send(
                outgoing.address, outgoing.address, outgoing.message
            )
        for answer in self.core.take_answers():
            waiter = self._waiters.get(answer.call_id)
            if waiter is not None and not waiter.done():
                waiter.set_result(answer)
        self._log_leader_change(now_s)

    def _set_metrics(self) -> None:
        has_leader = self.core.has_leader(clock.steady_s())
        self.metrics.has_leader.set({}, int(has_leader))
        self.metrics.open_calls.set({}, len(self.core.open_calls))

    def _log_leader_change(self, now_s: float) -> None:
        leader = ''
        if self.core.has_leader(now_s):
            leader = self.core.leader_id
        if leader == self._logged_leader_id:
            return
        if leader:
            logs.info('leader_found', leader_id=leader)
        else:
            logs.warning('leader_lost', leader_id=self._logged_leader_id)
        self._logged_leader_id = leader
