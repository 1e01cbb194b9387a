"""Steps about replicas whose disk is full."""

import asyncio
import errno
import os
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when

from features.steps.replica_rule_steps import entry
from features.steps.replica_rule_steps import peer
from features.support import ports
from greengagering import coordination
from greengagering import protocol
from greengagering import state
from greengagering.transport import control

AFTER_ELECTION_TIMEOUT_S = 1.0
POLL_S = 0.02
AFTER_FAILURE_S = 2.0


@when('its disk is full and a proposal is flushed')
def flush_to_full_disk(context: Any) -> None:
    context.disk.is_full = True
    context.replica.take_outbox()
    flush(context)


def flush(context: Any) -> None:
    """Propose an entry at the leader, and flush it."""
    context.now_s += 0.1
    context.replica.propose(b'x')
    context.replica.flush(context.now_s)


@then('it leads no more and has no lease')
def check_stepped_down(context: Any) -> None:
    assert not context.replica.is_leader
    assert not context.replica.has_lease(context.now_s)
    assert 'full' in context.replica.storage_fault


@then('it asked {name} to take over')
def check_transfer(context: Any, name: str) -> None:
    asked = [
        outgoing.receiver
        for outgoing in context.replica.take_outbox()
        if isinstance(outgoing.message, coordination.TimeoutNow)
    ]
    assert asked == [name], asked


@when('its disk refuses a snapshot only')
def refuse_snapshot(context: Any) -> None:
    context.replica.take_committed()
    context.disk.is_full = True
    context.replica.compact(b'state', context.now_s)
    context.disk.is_full = False


@then('it leads on and reports the full disk')
def check_leads_on(context: Any) -> None:
    assert context.replica.is_leader
    assert 'full' in context.replica.storage_fault


@when('a proposal is flushed to its disk')
def flush_again(context: Any) -> None:
    flush(context)


@then('it reports no full disk any more')
def check_fault_over(context: Any) -> None:
    assert context.replica.is_leader
    assert not context.replica.storage_fault


def receive(context: Any, name: str, message: Any) -> list[Any]:
    """Deliver a message, and return the messages that answer it."""
    context.replica.receive(peer(name), message, context.now_s)
    return [outgoing.message for outgoing in context.replica.take_outbox()]


@when('its disk is full and the leader sends another entry')
def send_entry(context: Any) -> None:
    context.disk.is_full = True
    request = coordination.AppendRequest(1, 1, 1, (entry(2, 1),), 0, 2.0)
    context.answers = receive(context, 'control-2', request)


@then('it answers nothing')
def check_no_answer(context: Any) -> None:
    assert context.answers == []
    assert 'full' in context.replica.storage_fault


@when('the leader sends a heartbeat for what it holds')
def send_heartbeat(context: Any) -> None:
    request = coordination.AppendRequest(1, 1, 1, (), 0, 3.0)
    context.answers = receive(context, 'control-2', request)


@then('it confirms what it holds')
def check_confirmed(context: Any) -> None:
    (answer,) = context.answers
    assert answer.is_success and answer.match_index == 1


@when('the shortest election time passes and control-3 asks for its vote')
def ask_vote(context: Any) -> None:
    context.now_s += AFTER_ELECTION_TIMEOUT_S
    request = coordination.VoteRequest(2, 9, 1, False)
    context.answers = receive(context, 'control-3', request)


@when('there is room again and the leader of a later term sends that entry')
def send_again(context: Any) -> None:
    context.disk.is_full = False
    request = coordination.AppendRequest(3, 1, 1, (entry(2, 1),), 0, 4.0)
    context.answers = receive(context, 'control-3', request)


@then('it confirms the entry')
def check_entry_confirmed(context: Any) -> None:
    (answer,) = context.answers
    assert answer.is_success and answer.match_index == 2
    assert not context.replica.storage_fault


@when('its disk is full and the leader asks it to take over')
def ask_to_take_over(context: Any) -> None:
    context.disk.is_full = True
    context.answers = receive(
        context, 'control-2', coordination.TimeoutNow(context.replica.term)
    )


@then('it asks for no votes')
def check_no_requests(context: Any) -> None:
    assert context.answers == []


@when('there is room again and its election timeout passes')
def pass_election_timeout(context: Any) -> None:
    context.disk.is_full = False
    context.now_s += AFTER_ELECTION_TIMEOUT_S
    context.replica.tick(context.now_s)
    context.answers = [o.message for o in context.replica.take_outbox()]


@then('it asks for votes without the right of a successor')
def check_plain_requests(context: Any) -> None:
    assert context.answers
    assert not any(request.is_transfer for request in context.answers)


@given('a running replica that is the only voter')
def prepare_node(context: Any) -> None:
    folder = context.folder / 'data'
    context.settings = protocol.ControlSettings(
        cluster_id='features',
        replica_id='control-1',
        data_centre='dc-1',
        data_folder=str(folder),
        link_address=ports.free_address(),
        http_address=ports.free_address(),
        members={'control-1': '127.0.0.1:1'},
        platform_url='http://127.0.0.1:1',
    )
    state.format_folder(folder, 'features', 'control-1')


@when('every sync of its disk fails and a record is proposed')
def fail_syncs(context: Any) -> None:
    context.exit_code = None
    try:
        asyncio.run(run_until_failed(context.settings))
    except SystemExit as ended:
        context.exit_code = ended.code


async def run_until_failed(settings: protocol.ControlSettings) -> None:
    """Run a node, and let its syncs fail once it leads."""
    node = control.create_control_node(settings)
    await node.start()
    try:
        while not node.has_lease():
            await asyncio.sleep(POLL_S)
        failed = OSError(errno.EIO, 'disk error')
        with mock.patch.object(os, 'fsync', side_effect=failed):
            await node.commit(state.JobCancelled('none'))
            await asyncio.sleep(AFTER_FAILURE_S)
    finally:
        await node.stop()


@then('its process ends with exit code {code:d}')
def check_exit(context: Any, code: int) -> None:
    assert context.exit_code == code, context.exit_code
