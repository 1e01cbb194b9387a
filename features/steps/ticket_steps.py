"""Steps about the checks of tickets and the operator's program."""

import asyncio
import json
from typing import Any

from behave import given
from behave import then
from behave import when

from features.support import link_proxy
from features.support import ports
from features.support import processes
from features.support import web

RACER_COUNT = 12


def ticket(number: Any, **fields: Any) -> dict[str, Any]:
    """Return a valid ticket, with the given fields added or replaced."""
    return {
        'number': number,
        'author': 'operator-b',
        'reason': 'a change',
        **fields,
    }


def pool(name: str, *vms: str) -> dict[str, Any]:
    """Return a pool whose service is its name without the suffix -pool."""
    return {'name': name, 'service': name.removesuffix('-pool'), 'vms': vms}


WAVE = {'name': 'spring', 'pools': ['dispatch-pool']}
JUNK_UNIT = b'zzzzzzzzzz'

FAULTS: dict[str, Any] = {
    'a text as number': ticket('eleven', pools=[pool('twin-pool')]),
    'number zero': ticket(0, pools=[pool('twin-pool')]),
    'a blank reason': ticket(11, reason='  ', pools=[pool('twin-pool')]),
    'nothing to touch': ticket(11),
    'an unknown field': ticket(11, pools=[pool('twin-pool')], colour='red'),
    'a negative budget': ticket(
        11, budgets=[{'service': 'dispatch', 'min_available_vms': -1}]
    ),
    'one VM in two pools': ticket(
        11, pools=[pool('a-pool', 'vm-7'), pool('b-pool', 'vm-7')]
    ),
    'a pool named twice': ticket(11, pools=[pool('twin'), pool('twin')]),
    'a VM named twice': ticket(11, pools=[pool('a-pool', 'vm-7', 'vm-7')]),
    'a wave of nothing': ticket(11, waves=[{'name': 'empty'}]),
    'an unknown wave intent': ticket(
        11, waves=[{**WAVE, 'intent': 'sideways'}]
    ),
    'a wave of 0 at once': ticket(11, waves=[{**WAVE, 'max_parallel_vms': 0}]),
    'broken JSON': b'{"number": 11, "author"',
    'a list in place of a ticket': [1, 2],
    '1 MB of junk': JUNK_UNIT * 120_000,
    '900 kB of junk': JUNK_UNIT * 90_000,
    'an unknown pool in a wave': ticket(
        11, waves=[{**WAVE, 'pools': ['nowhere-pool']}]
    ),
    'an unknown VM in a wave': ticket(11, waves=[{**WAVE, 'vms': ['vm-99']}]),
    'an unseen rack in a wave': ticket(
        11, waves=[{**WAVE, 'racks': ['rack-99']}]
    ),
    'a VM of another pool': ticket(11, pools=[pool('twin-pool', 'vm-2')]),
    'a budget of no service': ticket(11, budgets=[{'service': 'nowhere'}]),
    'a budget above the pool': ticket(
        11, budgets=[{'service': 'dispatch', 'min_available_vms': 3}]
    ),
    'the number of ticket 10': ticket(10, pools=[pool('twin-pool')]),
    'an older number': ticket(9, pools=[pool('dispatch-pool', 'vm-1')]),
}
FAULTS['no author'] = {
    key: value
    for key, value in ticket(11, pools=[pool('twin-pool')]).items()
    if key != 'author'
}


@given('{count:d} control replica without entries')
def start_control(context: Any, count: int) -> None:
    context.system.start_controls(count)
    context.system.leader()


@given(
    'accepted ticket 10 of operator-a with pool dispatch-pool holding vm-1 '
    'and vm-2'
)
def accept_first(context: Any) -> None:
    context.first = ticket(10, pools=[pool('dispatch-pool', 'vm-1', 'vm-2')])
    context.first['author'] = 'operator-a'
    answer = context.system.submit(context.first)
    assert answer.status == 200, answer
    context.first_page = answer.json()


@when('a ticket with {fault} is submitted over HTTP')
def submit_fault(context: Any, fault: str) -> None:
    body = FAULTS[fault]
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    url = f'http://{context.system.http["control-1"]}/v1/tickets'
    context.answer = context.system.thread.run(web.request('POST', url, data))


@then('it is refused with status {status:d} and names {field} and {value}')
def check_refused(context: Any, status: int, field: str, value: str) -> None:
    answer = context.answer
    assert answer.status == status, (answer.status, answer.body[:500])
    errors = answer.json()['fields']
    named = [error for error in errors if error['field'] == field]
    assert named, errors
    shown = named[0]['value'] + named[0]['message']
    assert value in shown, named


@then('the history holds just ticket 10')
def check_unchanged(context: Any) -> None:
    page = context.system.ask_control('GET', '/v1/tickets').json()
    assert [line['number'] for line in page['tickets']] == [10]
    fleet = context.system.ask_control('GET', '/v1/fleet').json()
    assert [line['vm'] for line in fleet['vms']] == ['vm-1', 'vm-2']


@when('operator-b submits other content under number 10')
def submit_taken(context: Any) -> None:
    context.answer = context.system.submit(
        ticket(10, pools=[pool('twin-pool')])
    )


@then('the refusal names operator-a as holder')
def check_holder(context: Any) -> None:
    assert context.answer.status == 409
    page = context.answer.json()
    assert page['kind'] == 'number_taken'
    assert page['holder'] == 'operator-a'


@when('ticket 10 is submitted again with its fields in another order')
def submit_again(context: Any) -> None:
    shuffled = dict(reversed(context.first.items()))
    context.answer = context.system.submit(shuffled)


@then('the answer is the first one, with the same revision and time')
def check_same(context: Any) -> None:
    page = context.answer.json()
    for field in ('revision', 'accepted_at_ms', 'digest'):
        assert page[field] == context.first_page[field], page


@when('12 operators submit different content under number 11 at once')
def race(context: Any) -> None:
    context.racers = [
        {
            **ticket(11, pools=[pool(f'pool-{n}')]),
            'author': f'operator-{n}',
        }
        for n in range(RACER_COUNT)
    ]
    context.race_answers = _submit_all(context)


def _submit_all(context: Any) -> list[web.Answer]:
    url = f'http://{context.system.http["control-1"]}/v1/tickets'

    async def submit() -> list[web.Answer]:
        requests = [
            web.request('POST', url, json.dumps(racer).encode())
            for racer in context.racers
        ]
        return list(await asyncio.gather(*requests))

    return context.system.thread.run(submit())


@then('one of them is accepted and the others learn who holds the number')
def check_race(context: Any) -> None:
    statuses = [answer.status for answer in context.race_answers]
    assert sorted(statuses) == [200] + [409] * (RACER_COUNT - 1), statuses
    winner = f'operator-{statuses.index(200)}'
    for answer in context.race_answers:
        if answer.status == 409:
            assert answer.json()['holder'] == winner


@then('each of them gets the same answer when it sends its ticket again')
def check_race_again(context: Any) -> None:
    for first, second in zip(
        context.race_answers, _submit_all(context), strict=True
    ):
        assert first.status == second.status
        if first.status == 409:
            assert first.json() == second.json()
        else:
            assert first.json()['revision'] == second.json()['revision']


@given('a ticket file for number {number:d} with pool {name}')
def write_ticket(context: Any, number: int, name: str) -> None:
    _write_ticket(context, ticket(number, pools=[pool(name)]))


@given('a ticket file with a negative budget')
def write_bad_ticket(context: Any) -> None:
    _write_ticket(context, FAULTS['a negative budget'])


def _write_ticket(context: Any, content: dict[str, Any]) -> None:
    context.file = context.folder / 'ticket.json'
    context.file.write_text(json.dumps(content))


def _run(context: Any, *arguments: str, control: str = '') -> None:
    address = control or context.system.http['control-1']
    context.done = processes.run_program(
        'greengagering-ticket', *arguments, f'--control={address}'
    )


@when('the operator runs check on the file')
def run_check(context: Any) -> None:
    _run(context, 'check', str(context.file))


@when('the operator runs submit on the file')
def run_submit(context: Any) -> None:
    _run(context, 'submit', str(context.file))


@when('the operator runs submit on the file with --json')
def run_submit_json(context: Any) -> None:
    _run(context, 'submit', str(context.file), '--json')


@when('the operator runs wait 12')
def run_wait(context: Any) -> None:
    _run(context, 'wait', '12')


@when('the operator runs history')
def run_history(context: Any) -> None:
    _run(context, 'history')


@when('the operator runs dump of the replica')
def run_dump(context: Any) -> None:
    _run(context, 'dump', context.system.http['control-1'])


@when('the operator runs submit with a dead address before the live one')
def run_with_dead(context: Any) -> None:
    live = context.system.http['control-1']
    control = f'{ports.free_address()},{live}'
    _run(context, 'submit', str(context.file), control=control)


@when('the answer to the first submission of the file is cut')
def cut_first_answer(context: Any) -> None:
    system = context.system
    proxy = system.thread.run(link_proxy.open_proxy(system.http['control-1']))
    system.proxies['operator'] = proxy
    cuts: list[int] = []

    async def cut(data: bytes) -> bytes:
        if not cuts:
            cuts.append(len(data))
            raise ConnectionResetError('cut by the scenario')
        return data

    system.thread.loop.call_soon_threadsafe(
        proxy.set_content_processors, None, cut
    )
    address = f'{ports.HOST}:{proxy.proxy_port}'
    _run(context, 'submit', str(context.file), control=address)
    assert cuts, 'the proxy has cut no answer'


@then("the operator's program still shows ticket 12 accepted")
def check_still_accepted(context: Any) -> None:
    assert context.done.returncode == 0, context.done
    assert 'number    12' in context.done.stdout, context.done


@then('ticket 12 stands in the history once')
def check_once(context: Any) -> None:
    page = context.system.ask_control('GET', '/v1/tickets').json()
    assert [line['number'] for line in page['tickets']] == [10, 12]


@then('the output says that ticket 12 would be accepted')
def check_would(context: Any) -> None:
    assert context.done.returncode == 0, context.done
    assert 'ticket 12 would be accepted' in context.done.stdout, context.done


@then('the output shows ticket 12 in force')
def check_in_force(context: Any) -> None:
    assert context.done.returncode == 0, context.done
    lines = context.done.stdout.splitlines()
    (line,) = [line for line in lines if line.startswith('in force')]
    assert not line.endswith('-'), line


@then('the output shows ticket 12')
def check_shown(context: Any) -> None:
    assert context.done.returncode == 0, context.done
    assert 'number    12' in context.done.stdout, context.done


@then('the output is JSON with number 12')
def check_json(context: Any) -> None:
    page = json.loads(context.done.stdout)
    assert page['ticket']['number'] == 12


@then('the output lists tickets 10 and 12')
def check_list(context: Any) -> None:
    lines = context.done.stdout.splitlines()[2:]
    assert [line.split()[0] for line in lines] == ['10', '12'], lines


@then('the output is JSON with role leader')
def check_dump(context: Any) -> None:
    assert json.loads(context.done.stdout)['role'] == 'leader'


@then('the command ends with exit code 2 and names {field}')
def check_bad_file(context: Any, field: str) -> None:
    assert context.done.returncode == 2, context.done
    assert f'field {field}:' in context.done.stderr, context.done
