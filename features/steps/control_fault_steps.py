"""Steps about faults of control replicas and entries."""

import asyncio
import json
import shutil
from typing import Any

from behave import given
from behave import then
from behave import when

from features.steps.whole_path_steps import call_url
from features.support import ports
from features.support import processes
from features.support import web

BATCH_TICKETS = 50
"""Tickets that are submitted concurrently."""

MAX_UNAVAILABLE_ANSWERS = 5
"""Number of 503 answers to one ticket after which its sender gives up."""


def plain_ticket(number: int, author: str = 'operator-a') -> dict[str, Any]:
    """Return a ticket that changes one of a few archive pools."""
    return {
        'number': number,
        'author': author,
        'reason': f'change {number}',
        'pools': [
            {
                'name': f'archive-{number % 5}',
                'service': 'archive',
                'vms': [f'vm-{number % 5}-{number}'],
            }
        ],
    }


def accept(context: Any, ticket: dict[str, Any]) -> None:
    """Submit a ticket, again while no leader answers, and keep the answer."""
    answer = context.system.submit(ticket)
    assert answer.status == 200, answer
    _keep(context, ticket, answer)


def _keep(context: Any, ticket: dict[str, Any], answer: web.Answer) -> None:
    if not hasattr(context, 'accepted'):
        context.accepted = {}
        context.sent = {}
    context.accepted[ticket['number']] = answer.json()
    context.sent[ticket['number']] = ticket


def follower(context: Any) -> str:
    """Return a replica that isn't the leader."""
    leader = context.system.leader()
    return next(n for n in context.system.members if n != leader)


@given('accepted ticket 1')
def accept_one(context: Any) -> None:
    accept(context, plain_ticket(1))


@given('accepted tickets 1 to {last:d}')
def accept_many(context: Any, last: int) -> None:
    for number in range(1, last + 1):
        accept(context, plain_ticket(number))


@given(
    'accepted tickets 1 to {last:d}, each held by every replica before the '
    'next'
)
def accept_everywhere(context: Any, last: int) -> None:
    # Two replicas accept tickets without a third that starts late. Once it
    # holds one ticket, the next adds a frame of its own to its segment.
    for number in range(1, last + 1):
        accept(context, plain_ticket(number))
        context.system.wait_in_step()


@when('tickets 1 to {last:d} are submitted and the leader is killed amid them')
def kill_during(context: Any, last: int) -> None:
    system = context.system
    leader = system.leader()
    for number in range(1, last + 1):
        if number == last // 2:
            future = system.thread.start(_post(system, leader, number))
            system.processes[leader].kill()
            # Its answer may be lost, so the ticket is sent again below.
            future.result(30)
        accept(context, plain_ticket(number))


async def _post(system: Any, name: str, number: int) -> web.Answer:
    url = f'http://{system.http[name]}/v1/tickets'
    body = json.dumps(plain_ticket(number)).encode()
    return await web.request('POST', url, body)


async def _post_until_available(
    system: Any, name: str, number: int
) -> web.Answer:
    """Send a ticket as an operator does: after each 503 to the leader."""
    for _ in range(MAX_UNAVAILABLE_ANSWERS):
        answer = await _post(system, name, number)
        if answer.status != 503:
            return answer
        name = answer.json().get('leader_id') or name
        await asyncio.sleep(float(answer.fields['Retry-After']))
    return answer


@then('every ticket that was answered accepted is in the history, unchanged')
def check_history(context: Any) -> None:
    page = context.system.ask_control('GET', '/v1/tickets').json()
    lines = {line['number']: line for line in page['tickets']}
    for number, answer in context.accepted.items():
        assert number in lines, number
        assert lines[number]['revision'] == answer['revision'], number
    revisions = [line['revision'] for line in page['tickets']]
    assert revisions == sorted(revisions)


@then('every ticket of the history is in force on both entries')
def check_in_force(context: Any) -> None:
    page = context.system.wait_in_force(max(context.accepted))
    for name in context.entries:
        assert context.system.dump(name)['revision'] >= page['revision']
    page = context.system.ask_control('GET', '/v1/tickets').json()
    for line in page['tickets']:
        assert line['in_force_at_ms'] >= line['accepted_at_ms'], line


@then('each ticket sent again gets its first answer')
def check_resent(context: Any) -> None:
    for number, ticket in context.sent.items():
        answer = context.system.submit(ticket)
        assert answer.status == 200, answer
        for field in ('revision', 'accepted_at_ms', 'digest'):
            assert answer.json()[field] == context.accepted[number][field]


@when(
    "a follower's link holds back all data while tickets 1 to {last:d} are "
    'accepted'
)
def silence_follower(context: Any, last: int) -> None:
    context.silenced = follower(context)
    context.system.silence(context.silenced)
    accept_many(context, last)


@when("the follower's link works again")
@when("the leader's link works again")
def hear_again(context: Any) -> None:
    context.system.heal(context.silenced)


@then('it holds every log entry of the leader')
@then('the replica holds every log entry of the leader')
def check_caught_up(context: Any) -> None:
    system = context.system

    def is_caught_up() -> bool:
        wanted = system.dump(system.leader())['commit_index']
        return system.dump(context.silenced)['commit_index'] >= wanted

    system.wait_until(is_caught_up, f'{context.silenced} has caught up')


@when("the leader's link holds back all data")
def silence_leader(context: Any) -> None:
    system = context.system
    context.silenced = system.leader()
    # Its own proxy holds up both directions of the connections that others
    # open to it; those that it opens pass through the others' proxies.
    system.silence(context.silenced)


@then('another replica leads and accepts ticket 2')
def check_other_leads(context: Any) -> None:
    system = context.system
    system.wait_until(
        lambda: system.leader() != context.silenced, 'another replica leads'
    )
    accept(context, plain_ticket(2))


@then(
    'the replica whose link holds back all data answers history and tickets '
    'with 503'
)
def check_silenced(context: Any) -> None:
    system = context.system
    assert system.get(context.silenced, '/v1/tickets').status == 503
    answer = system.thread.run(_post(system, context.silenced, 3))
    assert answer.status == 503, answer


@then('it follows and holds ticket 2')
def check_follows(context: Any) -> None:
    check_caught_up(context)
    assert context.system.leader() is not None
    dump = context.system.dump(context.silenced)
    assert dump['ticket_count'] == 2, dump


@when("entry-2's link holds back all data")
def silence_entry(context: Any) -> None:
    context.system.silence('entry-2')


@then(
    'entry-2 fails its readiness check and answers calls not-run because '
    'no_lease'
)
def check_no_lease(context: Any) -> None:
    system = context.system
    system.wait_until(
        lambda: system.get('entry-2', '/readyz').status == 503,
        'entry-2 fails its readiness check',
    )
    answer = system.thread.run(
        web.request('GET', call_url(context, 'entry-2', 'dispatch'))
    )
    shown = (answer.status, answer.outcome, answer.reason)
    assert shown == (503, 'not-run', 'no_lease'), answer
    assert int(answer.fields['Retry-After']) > 0


@when("a call waits at entry-2 when entry-2's link holds back all data")
def wait_and_silence(context: Any) -> None:
    system = context.system
    url = call_url(context, 'entry-2', 'dispatch')
    context.waiting = system.thread.start(web.request('GET', url))
    system.wait_until(
        lambda: system.dump('entry-2')['queued'].get('dispatch') == 1,
        'the call waits at entry-2',
    )
    system.silence('entry-2')


@then('the waiting call is refused as not-run because no_lease')
def check_waiting_refused(context: Any) -> None:
    answer = context.waiting.result(30)
    shown = (answer.status, answer.outcome, answer.reason)
    assert shown == (503, 'not-run', 'no_lease'), answer


@then('ticket 2 comes in force without entry-2')
def check_without_entry(context: Any) -> None:
    accept(context, plain_ticket(2))
    context.page = context.system.wait_in_force(2)


@when("entry-2's link works again")
def heal_entry(context: Any) -> None:
    context.system.heal('entry-2')


@then('entry-2 is ready and serves by a revision not older than ticket 2')
def check_entry_caught_up(context: Any) -> None:
    context.system.wait_ready('entry-2')
    dump = context.system.dump('entry-2')
    assert dump['revision'] >= context.page['revision']


@when('every control replica is killed and started again')
def restart_all(context: Any) -> None:
    system = context.system
    for name in system.members:
        system.processes[name].kill()
    for name in system.members:
        system.start(name)


@then('other content under number 7 is refused with its holder')
def check_other_content(context: Any) -> None:
    answer = context.system.submit(plain_ticket(7, author='operator-b'))
    assert answer.status == 409, answer
    assert answer.json()['holder'] == 'operator-a'


@given('a snapshot is taken every 1000 log entries')
def set_snapshot_interval(context: Any) -> None:
    context.snapshot_every = 1000


@when('{count:d} tickets are accepted')
def accept_at_once(context: Any, count: int) -> None:
    system = context.system
    numbers = range(1, count + 1)

    async def submit(leader: str, batch: range) -> list[web.Answer]:
        return await asyncio.gather(
            *(_post_until_available(system, leader, n) for n in batch)
        )

    answers = []
    for start in range(0, count, BATCH_TICKETS):
        batch = numbers[start : start + BATCH_TICKETS]
        answers += system.thread.run(submit(system.leader(), batch))
    for number, answer in zip(numbers, answers, strict=True):
        if answer.status == 200:
            _keep(context, plain_ticket(number), answer)
    # A ticket of a batch is refused if one with a higher number has changed
    # the same pool before.
    stale = [a for a in answers if a.status != 200]
    for answer in stale:
        assert answer.json()['kind'] == 'stale_number', answer
    context.sent = dict(list(context.sent.items())[::50])


@then('every replica has taken a snapshot')
def check_snapshots(context: Any) -> None:
    system = context.system
    for name in system.members:
        system.wait_until(
            lambda name=name: (
                system.dump(name)['snapshot_index'] >= context.snapshot_every
            ),
            f'{name} has a snapshot',
        )


def _fill(context: Any, name: str) -> None:
    pid = context.system.processes[name].pid
    processes.fill_disk(pid, context.folder / f'{name}-data')


def _free(context: Any, name: str) -> None:
    processes.free_disk(context.system.processes[name].pid)


@when("the data folder of the leader can't grow")
def fill_leader(context: Any) -> None:
    context.silenced = context.system.leader()
    _fill(context, context.silenced)


@then('ticket 2 is accepted under another leader')
def check_accepted_elsewhere(context: Any) -> None:
    accept(context, plain_ticket(2))
    assert context.system.leader() != context.silenced


@then('the dump of that replica reports the full folder')
def check_fault_shown(context: Any) -> None:
    system = context.system
    system.wait_until(
        lambda: 'is full' in system.dump(context.silenced)['storage_fault'],
        'the dump reports the full folder',
    )


@when('the data folder can grow again')
def free_leader(context: Any) -> None:
    _free(context, context.silenced)


@when("the data folders of two replicas can't grow")
def fill_two(context: Any) -> None:
    context.full = [context.system.leader(), follower(context)]
    for name in context.full:
        _fill(context, name)


@then('ticket 2 is not accepted')
def check_not_accepted(context: Any) -> None:
    system = context.system
    for name in system.members:
        answer = system.thread.run(_post(system, name, 2))
        assert answer.status in (0, 503), answer


@when('the data folders can grow again')
def free_two(context: Any) -> None:
    for name in context.full:
        _free(context, name)


@then('ticket 2 is accepted when it is sent again')
def check_accepted_again(context: Any) -> None:
    accept(context, plain_ticket(2))


@then('ticket 1 is in the history')
def check_first(context: Any) -> None:
    check_history(context)


@when(
    'a follower is stopped and a byte in the middle of its segment is damaged'
)
def damage_segment(context: Any) -> None:
    system = context.system
    context.damaged = follower(context)
    system.processes[context.damaged].kill()
    folder = context.folder / f'{context.damaged}-data'
    context.segment = sorted(folder.glob('segment-*'))[0]
    data = bytearray(context.segment.read_bytes())
    data[len(data) // 3] ^= 0xFF
    context.segment.write_bytes(data)
    system.start(context.damaged)


@then(
    'it ends with an error that names the segment, the offset and the remedy'
)
def check_damage(context: Any) -> None:
    process = context.system.processes[context.damaged]
    assert process.wait() == 1
    text = process.log_text()
    assert f'segment {context.segment} is damaged at offset' in text, text
    assert 'replace this replica' in text


@then('ticket {number:d} is accepted by the other two')
def check_other_two(context: Any, number: int) -> None:
    accept(context, plain_ticket(number))


@when('a follower loses its disk and is formatted again under its old name')
def lose_disk(context: Any) -> None:
    system = context.system
    context.lost = follower(context)
    system.processes[context.lost].kill()
    shutil.rmtree(context.folder / f'{context.lost}-data')
    system.format(context.lost)
    system.start(context.lost)


@then('the leader rejects its messages')
def check_rejected(context: Any) -> None:
    system = context.system
    system.wait_until(
        lambda: system.dump(system.leader())['rejected_identities'] > 0,
        'the leader rejects messages of the lost replica',
    )


@then(
    'after the loss of a second replica neither of the others holds a leader '
    'lease'
)
def check_no_leader_lease(context: Any) -> None:
    system = context.system
    leader = system.leader()
    others = [n for n in system.members if n not in (leader, context.lost)]
    system.processes[leader].kill()
    (left,) = others

    def has_tried() -> bool:
        return system.dump(left)['rejected_identities'] > 3

    system.wait_until(has_tried, f'{left} has asked for votes')
    for name in (left, context.lost):
        assert not system.dump(name)['has_lease'], name


@when('control-3 loses its disk for good')
def lose_for_good(context: Any) -> None:
    context.system.processes['control-3'].kill()
    shutil.rmtree(context.folder / 'control-3-data')


def member(context: Any, name: str) -> dict[str, str]:
    """Return a control replica as a ticket names it."""
    return {'replica_id': name, 'address': context.system.link[name]}


def control_ticket(
    context: Any, number: int, names: list[str]
) -> dict[str, Any]:
    """Return a ticket that names the control replicas."""
    return {
        'number': number,
        'author': 'operator-a',
        'reason': 'replace a control VM',
        'control': [member(context, name) for name in names],
    }


@when('ticket 6 replaces control-3 by control-4')
def replace(context: Any) -> None:
    system = context.system
    system.prepare_address('control-4')
    system.write_control_settings('control-4', joins_as_learner=True)
    system.format('control-4')
    system.start('control-4')
    names = ['control-1', 'control-2', 'control-4']
    accept(context, control_ticket(context, 6, names))
    system.members['control-4'] = system.link['control-4']


@then('control-1, control-2 and control-4 vote and are in step')
def check_members(context: Any) -> None:
    def is_replaced() -> bool:
        page = context.system.ask_control('GET', '/v1/control').json()
        voters = {
            m['replica_id']
            for m in page['members']
            if m['is_voter'] and m['is_in_step']
        }
        everyone = {m['replica_id'] for m in page['members']}
        return voters == everyone == {'control-1', 'control-2', 'control-4'}

    context.system.wait_until(is_replaced, 'control-4 has replaced control-3')


@when('control-3 is killed and the leader no longer counts it as in step')
def kill_and_wait(context: Any) -> None:
    system = context.system
    system.processes['control-3'].kill()

    def is_out_of_step() -> bool:
        members = system.ask_control('GET', '/v1/control').json()['members']
        return any(
            m['replica_id'] == 'control-3' and not m['is_in_step']
            for m in members
        )

    system.wait_until(
        is_out_of_step, 'the leader no longer counts control-3 as in step'
    )


@when('{name} is killed')
def kill(context: Any, name: str) -> None:
    context.system.processes[name].kill()


@then('ticket 7 is accepted')
def check_seven(context: Any) -> None:
    accept(context, plain_ticket(7))


def _check_refused(context: Any, names: list[str]) -> None:
    context.system.leader()
    answer = context.system.submit(control_ticket(context, 9, names))
    assert answer.status == 409, answer
    assert answer.json()['kind'] == 'quorum_at_risk', answer.json()


@then('a ticket that removes a live replica is refused as quorum_at_risk')
def check_remove_live(context: Any) -> None:
    leader = context.system.leader()
    _check_refused(context, [leader, 'control-3'])


@then('a ticket that replaces two replicas is refused as quorum_at_risk')
def check_replace_two(context: Any) -> None:
    for name in ('control-8', 'control-9'):
        context.system.link[name] = ports.free_address()
    leader = context.system.leader()
    _check_refused(context, [leader, 'control-8', 'control-9'])
