"""Simulation of control replicas that answer calls with customers' keys."""

import asyncio
import dataclasses
import json
import types
from typing import Any

from result import Err
from result import Ok

from features.search import job_search
from features.support import job_world
from greengagering import coordination
from greengagering.coordination import errors as coordination_errors
from greengagering.platform import _plans
from greengagering import state
from greengagering.transport._control_node import ControlNode
from greengagering.transport._job_call_handler import JobCallHandler
from greengagering.transport import _metrics
from greengagering.transport._plan_review import PlanReview

OPEN_PREFIX = '/open/'
"""Prefix of the queue that needs no key; job_search.QUEUE needs one."""

LOOP_ITERATIONS = 6
ANSWER_TIMEOUT_S = 3.0
STEP = state.StepSpec(1, state.Room(100, 100), 0.6)

Keys = dict[str, tuple[str, ...]]
"""Keys of each customer, by its name."""


def write_configuration(version: int, keys: Keys) -> bytes:
    """Return a configuration with these customers, or none."""
    queue = job_search.QUEUE
    route = {'host': queue.host, 'service': queue.service, 'timeoutMs': 1000}
    wire: dict[str, Any] = {
        'version': version,
        'routes': [
            {**route, 'name': 'closed', 'pathPrefix': queue.path_prefix},
            {
                **route,
                'name': 'open',
                'pathPrefix': OPEN_PREFIX,
                'public': True,
            },
        ],
        'services': [{'name': queue.service}],
    }
    if keys:
        wire['tenants'] = [
            {'name': name, 'apiKeys': list(held)}
            for name, held in keys.items()
        ]
    return json.dumps(wire).encode()


class AnsweringNode:
    """One replica's call handler; answers as its control process does."""

    def __init__(
        self,
        world: 'KeyWorld',
        node: job_search.ControlNode,
        core: coordination.ControlCore,
    ) -> None:
        self._world = world
        self._node = node
        self._core = core
        self._waiters: dict[coordination.LogPosition, Any] = {}
        self.review = PlanReview(core, _plans.read_stored_plan, self.now_s)
        self.job_calls = JobCallHandler(
            core,
            self.commit,
            lambda: int(world.now_s * 1000),
            _metrics.create_control_metrics(),
            self.review.is_fully_read,
        )
        self.mesh = types.SimpleNamespace(send=self._send)
        self._take_applied = core.take_applied
        core.take_applied = self._take  # type: ignore[method-assign]

    def now_s(self) -> float:
        """Return the replica's clock."""
        return self._node.clock.read(self._world.now_s)

    def has_lease(self) -> bool:
        """Tell whether the replica leads and holds its lease."""
        is_leading = self._core.jobs.is_leading
        return is_leading and self._core.replica.has_lease(self.now_s())

    async def commit(self, record: state.JobRecord) -> Any:
        """Propose a record and wait until it is applied."""
        proposed = self._core.propose_job_record(record, self.now_s())
        if isinstance(proposed, Err):
            return proposed
        waiter = self._world.loop.create_future()
        self._waiters[proposed.ok_value] = waiter
        return await waiter

    def receive(self, call: coordination.JobCall) -> None:
        """Handle a call; its answer reaches the world."""
        answering = ControlNode._answer_call(
            self,  # type: ignore[arg-type]
            call,
        )
        self._world.tasks.append(self._world.loop.create_task(answering))

    def fail_waiters(self) -> None:
        """Fail the waiting commits of a replica that doesn't lead any more."""
        if not self._core.replica.is_leader:
            for waiter in self._waiters.values():
                waiter.set_result(Err(coordination_errors.NotLeaderError('')))
            self._waiters.clear()

    def _take(self) -> list[coordination.LogPosition]:
        applied = self._take_applied()
        for position in applied:
            waiter = self._waiters.pop(position, None)
            if waiter is not None:
                waiter.set_result(Ok(None))
        return applied

    def _send(self, peer: str, address: str, answer: Any) -> None:
        self._world.answers[answer.call_id] = answer


class KeyWorld(job_world.JobWorld):
    """Control replicas with the call handlers of their processes."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.tasks: list[asyncio.Task[None]] = []
        self.answers: dict[str, coordination.JobAnswer] = {}
        self.version = 0
        self._calls = 0
        self._answering: dict[int, AnsweringNode] = {}

    def close(self) -> None:
        """End what still waits, and close the event loop."""
        for task in self.tasks:
            task.cancel()
        self._run_loop()
        self.loop.close()

    def answering(self, node: job_search.ControlNode) -> AnsweringNode:
        """Return the call handler of a running replica."""
        assert node.core is not None
        if id(node.core) not in self._answering:
            self._answering[id(node.core)] = AnsweringNode(
                self, node, node.core
            )
        return self._answering[id(node.core)]

    def configure(self, keys: Keys) -> None:
        """Commit a newer configuration with these customers."""
        self.version += 1
        source = write_configuration(self.version, keys)
        self.commit(state.PlanReplaced(_plans.parse_plan(source)))

    def send(
        self,
        node: job_search.ControlNode,
        kind: str,
        key: str | None,
        job_id: str = '',
        prefix: str = job_search.QUEUE.path_prefix,
    ) -> str:
        """Send a call to a replica and return its id.

        Args:
            node: the replica.
            kind: kind of the call.
            key: the caller's key, '' for none, None if the entry passes no
                keys on.
            job_id: id of the job, or ''.
            prefix: prefix of the queue.
        """
        self._calls += 1
        spec = state.JobSpec(job_id, 'text', (STEP,))
        call = coordination.JobCall(
            f'call-{self._calls}',
            'entry-1',
            'entry-1',
            coordination.CallKind(kind),
            job_search.QUEUE.host,
            f'{prefix}{job_id}',
            spec if kind == 'submit' else None,
            _plans.digest_key(key) if key else key,
        )
        if kind == 'submit':
            self.ledger.specs[job_id] = spec
        self.answering(node).receive(call)
        return call.call_id

    def ask(self, kind: str, *arguments: Any) -> coordination.JobAnswer:
        """Send a call to the leader and return the answer."""
        call_id = self.send(self.leader_node(), kind, *arguments)
        return self.wait_for_answer(call_id)

    def wait_for_answer(self, call_id: str) -> coordination.JobAnswer:
        """Advance the clock until a call is answered."""
        self.advance_until(lambda: call_id in self.answers, ANSWER_TIMEOUT_S)
        return self.answers[call_id]

    def make_leader(self, node: job_search.ControlNode) -> None:
        """Stop leaders and start them again until a replica leads."""
        for _ in range(20):
            if self.leader_node() is node:
                return
            former = self.leader_node()
            self._stop_control(former)
            self.advance_until(self.has_leader, job_world.START_S)
            self._start_control(former)
            self.advance(1.0)
        raise AssertionError(f'{node.identity.replica_id} never led')

    def has_leader(self) -> bool:
        """Tell whether some replica leads with a lease."""
        return any(self.answering(n).has_lease() for n in self._running())

    def restart_all(self) -> None:
        """Restart every replica from its disk."""
        for node in self.controls.values():
            self._stop_control(node)
        for node in self.controls.values():
            self._start_control(node)
        self.advance_until(self.has_leader, job_world.START_S)

    def _step(self, node: job_search.ControlNode) -> None:
        answering = self.answering(node)
        self._run_loop()
        answering.review.step()
        super()._step(node)
        if node.core is not None:
            answering.fail_waiters()
        self._run_loop()

    def _run_loop(self) -> None:
        for _ in range(LOOP_ITERATIONS):
            self.loop.call_soon(self.loop.stop)
            self.loop.run_forever()


def read_by_former_version(source: bytes) -> state.RoutePlan:
    """Return a configuration as the version that knew no customers stored it.

    It dropped the customers and which queues are public.
    """
    wire = json.loads(source)
    wire.pop('tenants')
    for route in wire['routes']:
        route.pop('public', None)
    plan = _plans.parse_plan(json.dumps(wire).encode())
    return dataclasses.replace(plan, source=source)
