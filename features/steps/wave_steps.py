"""Steps about maintenance waves."""

import asyncio
from typing import Any

from behave import given
from behave import then
from behave import when

from features.steps.whole_path_steps import call_url
from features.support import web

CALLER_COUNT = 4


@given('callers call service dispatch all the time')
def start_callers(context: Any) -> None:
    context.is_calling = True
    context.caller_answers = []
    context.in_service = []
    context.callers = [
        context.system.thread.start(_call_always(context, number))
        for number in range(CALLER_COUNT)
    ]


async def _call_always(context: Any, number: int) -> None:
    entry = context.entries[number % len(context.entries)]
    url = call_url(context, entry, 'dispatch', '?sleep_ms=40')
    while context.is_calling:
        context.caller_answers.append(await web.request('POST', url, b'job'))
        await asyncio.sleep(0.01)


def wave_ticket(number: int, **fields: Any) -> dict[str, Any]:
    """Return a ticket with the wave spring."""
    return {
        'number': number,
        'author': 'operator-b',
        'reason': 'kernel update',
        'waves': [{'name': 'spring', **fields}],
    }


def _submit(context: Any, ticket: dict[str, Any]) -> None:
    answer = context.system.submit(ticket)
    assert answer.status == 200, answer.body


@when(
    'ticket 2 asks for a wave over pool dispatch-pool with {count:d} VMs '
    'available'
)
def ask_wave(context: Any, count: int) -> None:
    ticket = wave_ticket(2, pools=['dispatch-pool'], max_parallel_vms=3)
    ticket['budgets'] = [{'service': 'dispatch', 'min_available_vms': count}]
    _submit(context, ticket)


@when('ticket 2 asks for a wave over VM vm-1')
def ask_wave_one(context: Any) -> None:
    _submit(context, wave_ticket(2, vms=['vm-1']))


@when('ticket 2 asks for a paused wave over pool dispatch-pool')
def ask_paused(context: Any) -> None:
    ticket = wave_ticket(2, pools=['dispatch-pool'], intent='paused')
    _submit(context, ticket)
    context.system.wait_in_force(2)


@when('ticket 3 resumes the wave')
def resume(context: Any) -> None:
    _submit(context, wave_ticket(3, pools=['dispatch-pool']))


@when(
    'ticket 2 asks for a wave over pool dispatch-pool with a return timeout '
    'of 1 s'
)
def ask_wave_timeout(context: Any) -> None:
    _submit(
        context, wave_ticket(2, pools=['dispatch-pool'], return_timeout_s=1.0)
    )


@when('ticket 3 lowers the budget of dispatch to 2')
def lower_budget(context: Any) -> None:
    _submit(
        context,
        {
            'number': 3,
            'author': 'operator-b',
            'reason': 'the wave needs room',
            'budgets': [{'service': 'dispatch', 'min_available_vms': 2}],
        },
    )


def wave_page(context: Any) -> dict[str, Any]:
    """Return the progress of wave spring."""
    return context.system.ask_control('GET', '/v1/waves/spring').json()


@then('the wave finishes with {names} done')
def check_finished(context: Any, names: str) -> None:
    wanted = names.replace(' and ', ', ').split(', ')

    def is_finished() -> bool:
        fleet = context.system.ask_control('GET', '/v1/fleet').json()
        if hasattr(context, 'in_service'):
            serving = [v for v in fleet['vms'] if v['phase'] == 'serving']
            context.in_service.append(len(serving))
        return wave_page(context)['finished_at_ms'] > 0

    context.system.wait_until(is_finished, 'the wave is finished')
    assert sorted(wave_page(context)['done']) == wanted


@then('every call of the callers was answered completely')
def check_callers(context: Any) -> None:
    context.is_calling = False
    for caller in context.callers:
        caller.result(30)
    bad = [
        answer
        for answer in context.caller_answers
        if (answer.status, answer.body) != (200, b'job')
    ]
    assert not bad, (len(bad), len(context.caller_answers), bad[:3])
    assert len(context.caller_answers) > CALLER_COUNT


@then('no upstream was rebooted with a call in flight')
def check_no_cut(context: Any) -> None:
    for vm, upstream in context.system.upstreams.items():
        assert upstream.counts.cut_by_reboot == 0, vm


@then('each VM was rebooted once by one operation')
def check_reboots(context: Any) -> None:
    for vm, upstream in context.system.upstreams.items():
        assert upstream.counts.reboots == 1, (vm, upstream.counts.reboots)
    operations = context.system.platform.counts.operations
    assert sorted(operations.values()) == sorted(context.vms), operations


@then('at no time were fewer than {count:d} VMs in service')
def check_in_service(context: Any, count: int) -> None:
    assert context.in_service
    assert min(context.in_service) >= count, context.in_service


@then('explain vm-2 lists each phase with ticket 2')
def check_account(context: Any) -> None:
    page = context.system.ask_control('GET', '/v1/vms/vm-2/account').json()
    events = page['events']
    assert events[0]['ticket_number'] == 1
    texts = [e['text'].split()[0] for e in events if e['ticket_number'] == 2]
    assert texts == ['draining', 'rebooting', 'serving'], events


@when('a call of {sleep_ms:d} ms runs at vm-1')
def call_at_vm(context: Any, sleep_ms: int) -> None:
    system = context.system
    url = call_url(context, 'entry-2', 'dispatch', f'?sleep_ms={sleep_ms}')
    upstream = system.upstreams['vm-1']
    # Upstreams are chosen at random, so calls are sent until one runs at the
    # wanted VM.
    calls = []
    while not upstream.in_flight:
        calls.append(system.thread.start(web.request('POST', url, b'long')))
        started = len(calls)
        system.wait_until(
            lambda started=started: (
                sum(u.counts.started for u in system.upstreams.values())
                >= started
            ),
            'the call is in flight',
        )
    context.long_calls = calls


@then('the long call was answered completely')
def check_long_calls(context: Any) -> None:
    for call in context.long_calls:
        answer = call.result(30)
        assert (answer.status, answer.body) == (200, b'long'), answer


@then('the wave waits because service dispatch must keep 3')
def check_waits(context: Any) -> None:
    def is_waiting() -> bool:
        lines = wave_page(context)['waiting']
        return len(lines) == 3 and all(
            'must keep 3' in line['waiting'] for line in lines
        )

    context.system.wait_until(is_waiting, 'the wave waits for its budget')


@then('no VM was drained before ticket 3')
def check_paused(context: Any) -> None:
    third = context.system.ask_control('GET', '/v1/tickets/3').json()
    for vm in context.vms:
        page = context.system.ask_control('GET', f'/v1/vms/{vm}/account')
        for event in page.json()['events']:
            if event['text'].startswith('draining'):
                assert event['revision'] > third['revision'], event


@given('vm-1 will not announce itself after its reboot')
def mute_after_reboot(context: Any) -> None:
    context.system.upstreams['vm-1'].announces_after_reboot = False


@then('the wave stops and names vm-1')
def check_stopped(context: Any) -> None:
    context.system.wait_until(
        lambda: 'vm-1' in wave_page(context)['stopped_reason'],
        'the wave is stopped',
    )
    assert wave_page(context)['failed'] == ['vm-1']


@then('vm-2 and vm-3 were not rebooted')
def check_not_rebooted(context: Any) -> None:
    for vm in ('vm-2', 'vm-3'):
        assert context.system.upstreams[vm].counts.reboots == 0


@when('the leader is killed once a VM is rebooting')
def kill_leader_in_wave(context: Any) -> None:
    system = context.system
    leader = system.leader()
    system.wait_until(
        lambda: bool(system.platform.counts.operations),
        'the platform was asked for a reboot',
    )
    system.processes[leader].kill()
