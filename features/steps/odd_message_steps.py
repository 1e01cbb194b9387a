"""Steps that pass odd messages and calls between processes."""

import asyncio
from typing import Any

from behave import given
from behave import then
from behave import when

from features.steps import odd_entry_steps
from greengagering import coordination
from greengagering.protocol import link_pb2
from greengagering.protocol import links
from greengagering import state
from greengagering.transport import _limited_client
from greengagering.transport import _mesh
from greengagering.transport import _peer_link

IDENTITY = _peer_link.LinkIdentity('cluster', 'process-1', 'a')
STOP = coordination.StopOrder(
    state.WorkerFacts('w', 1, 's', 'h:1', 'd', 'r', (), state.Room(1, 1)),
    state.RunKey('0123456789abcdef', '0.0.3', 1),
    2,
)


@given('a process that listens for others')
def listen(context: Any) -> None:
    context.handled = []

    def handle(sender: _mesh.LinkSender, message: links.LinkMessage) -> None:
        context.handled.append(message)
        if isinstance(message, coordination.ClaimResponse):
            raise KeyError('odd')

    context.mesh = _mesh.Mesh(IDENTITY, 'h:1', handle)


@when(
    "a frame holds a message nested too deeply, one that its handler can't "
    'use, and a good one'
)
def receive_frame(context: Any) -> None:
    nested = link_pb2.Message(
        kind='TimeoutNow', body=b'\x81\xa1z' + b'\x91' * 200_000 + b'\xc0'
    )
    odd = links.encode_message(coordination.ClaimResponse('a', ()))
    good = links.encode_message(coordination.TimeoutNow(3))
    frame = link_pb2.Frame(
        cluster_id='cluster', sender_id='b', messages=[nested, odd, good]
    )
    context.mesh._handle_frame(frame)


@then('the good one is handled')
def check_handled(context: Any) -> None:
    kinds = [type(message).__name__ for message in context.handled]
    assert kinds == ['ClaimResponse', 'TimeoutNow'], kinds


@given('a process that sends to another')
def prepare_sender(context: Any) -> None:
    context.mesh = _mesh.Mesh(IDENTITY, 'h:1', lambda sender, message: None)


@when('it sends a message with a number of 10^30, and then a good one')
def send_messages(context: Any) -> None:
    async def act() -> None:
        for term in (odd_entry_steps.HUGE, 3):
            context.mesh.send('b', 'h:1', coordination.TimeoutNow(term))
        link = context.mesh.links()['b']
        context.queued = list(link._queue)
        await link.close()

    asyncio.run(act())


@then('the good one is queued')
def check_queued(context: Any) -> None:
    queued = [links.decode_message(message) for message in context.queued]
    assert queued == [coordination.TimeoutNow(3)], queued


@when('a process sends to the address {address}')
def send_to_odd_address(context: Any, address: str) -> None:
    async def act() -> None:
        link = _peer_link.PeerLink(IDENTITY, 'b', address)
        await asyncio.wait({link._task}, timeout=0.2)
        context.is_trying = not link._task.done()
        link._task.cancel()

    asyncio.run(act())


@then('its link is still trying')
def check_trying(context: Any) -> None:
    assert context.is_trying


class FailingWorkers:
    """Replaces the client of the workers; every call fails."""

    async def start(self, order: Any) -> coordination.OrderAnswer:
        """Fail."""
        raise UnicodeError('label empty')

    stop = start
    pace = start

    async def poll(self, order: Any) -> coordination.LookAnswer:
        """Fail."""
        raise UnicodeError('label empty')

    async def close(self) -> None:
        """Do nothing."""


@given('a client of workers that fails with a UnicodeError')
def prepare_failing(context: Any) -> None:
    context.client = FailingWorkers()


@when('orders and polls are sent to a worker')
def send_orders(context: Any) -> None:
    async def act() -> list[Any]:
        client = _limited_client.LimitedClient(
            context.client, lambda fence: True
        )
        poll = coordination.LookOrder(STOP.life, 2, 0, 0, 0)
        return [await client.stop(STOP), await client.poll(poll)]

    context.answers = asyncio.run(act())


@then('each is unanswered')
def check_unanswered(context: Any) -> None:
    outcomes = {answer.outcome for answer in context.answers}
    assert outcomes == {coordination.OrderOutcome.NO_ANSWER}, outcomes
