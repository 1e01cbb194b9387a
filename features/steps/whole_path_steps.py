"""Steps about tickets, calls and planned stops."""

import asyncio
from typing import Any

from behave import given
from behave import then
from behave import when

from features.support import web

DEADLINE = 'Greengagering-Deadline-Ms'
CLASS = 'Greengagering-Class'


def call_url(context: Any, entry: str, service: str, query: str = '') -> str:
    """Return the URL of a call through an entry."""
    return f'http://{context.system.http[entry]}/call/{service}/x{query}'


def pool_ticket(
    number: int, vms: list[str], available: int | None = None
) -> dict[str, Any]:
    """Return a ticket that defines the dispatch pool."""
    ticket: dict[str, Any] = {
        'number': number,
        'author': 'operator-a',
        'reason': 'set the dispatch pool up',
        'pools': [
            {'name': 'dispatch-pool', 'service': 'dispatch', 'vms': vms}
        ],
    }
    if available is not None:
        ticket['budgets'] = [
            {'service': 'dispatch', 'min_available_vms': available}
        ]
    return ticket


@given('{controls:d} control replicas and {entries:d} entries')
def start_system(context: Any, controls: int, entries: int) -> None:
    context.system.start_controls(controls)
    context.entries = [f'entry-{n + 1}' for n in range(entries)]
    for name in context.entries:
        context.system.start_entry(name)
    for name in context.entries:
        context.system.wait_ready(name)


@given('upstreams vm-1, vm-2 and vm-3 announce pool {pool} to any entry')
def start_upstreams(context: Any, pool: str) -> None:
    context.vms = ['vm-1', 'vm-2', 'vm-3']
    for number, vm in enumerate(context.vms):
        context.system.start_upstream(
            vm, pool, context.entries, rack=f'rack-{number + 1}'
        )


@given('ticket 1 puts pool dispatch-pool for service dispatch in force')
def put_pool_in_force(context: Any) -> None:
    answer = context.system.submit(pool_ticket(1, context.vms))
    assert answer.status == 200, answer.body
    context.system.wait_in_force(1)
    for name in context.entries:
        context.system.wait_serving(name, len(context.vms))


@when('a caller sends {size:d} bytes to service dispatch through each entry')
def send_bytes(context: Any, size: int) -> None:
    context.body = bytes(n % 251 for n in range(size))
    context.answers = [
        context.system.thread.run(
            web.request(
                'POST', call_url(context, name, 'dispatch'), context.body
            )
        )
        for name in context.entries
    ]


@then('each answer holds the same bytes and is marked answered')
def check_bytes(context: Any) -> None:
    for answer in context.answers:
        assert answer.status == 200, answer
        assert answer.body == context.body
        assert answer.outcome == 'answered'


@then('the history shows ticket 1 accepted and then in force')
def check_history(context: Any) -> None:
    page = context.system.ask_control('GET', '/v1/tickets').json()
    (line,) = page['tickets']
    assert line['number'] == 1
    assert 0 < line['accepted_at_ms'] <= line['in_force_at_ms'], line


@then('every entry has applied the revision of ticket 1 or a newer one')
def check_revisions(context: Any) -> None:
    page = context.system.ask_control('GET', '/v1/tickets/1').json()
    for name in context.entries:
        assert context.system.dump(name)['revision'] >= page['revision']


@when('a caller calls service nowhere')
def call_unknown(context: Any) -> None:
    context.answer = context.system.thread.run(
        web.request('GET', call_url(context, 'entry-1', 'nowhere'))
    )


@when('a caller calls with header {name} set to {value}')
def call_with_header(context: Any, name: str, value: str) -> None:
    context.answer = context.system.thread.run(
        web.request(
            'GET',
            call_url(context, 'entry-1', 'dispatch'),
            fields={name: value},
        )
    )


@then('the answer is {status:d} with outcome {outcome} and reason {reason}')
def check_refusal(
    context: Any, status: int, outcome: str, reason: str
) -> None:
    answer = context.answer
    shown = (answer.status, answer.outcome, answer.reason)
    assert shown == (status, outcome, reason), (shown, answer.body)


@then("the answer is {status:d} and names {field} and '{value}'")
def check_named(context: Any, status: int, field: str, value: str) -> None:
    answer = context.answer
    assert answer.status == status, answer
    (error,) = answer.json()['fields']
    assert error['field'] == field, error
    assert value in error['value'], error


@then('no upstream has run a call')
def check_none_ran(context: Any) -> None:
    for upstream in context.system.upstreams.values():
        assert upstream.counts.started == 0


@when(
    'a caller calls an upstream that sleeps {sleep_ms:d} ms with a deadline '
    'of {deadline_ms:d} ms'
)
def call_slow(context: Any, sleep_ms: int, deadline_ms: int) -> None:
    context.answer = context.system.thread.run(
        web.request(
            'POST',
            call_url(context, 'entry-1', 'dispatch', f'?sleep_ms={sleep_ms}'),
            fields={DEADLINE: str(deadline_ms)},
        )
    )


@given('the upstreams of the pool have one slot each')
def restart_with_one_slot(context: Any) -> None:
    system = context.system
    for vm in context.vms:
        system.thread.run(system.upstreams.pop(vm).close())
        system.start_upstream(
            vm, 'dispatch-pool', context.entries, slot_count=1
        )
    boots = {v: u._boot_id for v, u in system.upstreams.items()}

    def is_known() -> bool:
        lines = system.dump('entry-1')['upstreams']
        return all(boots[x['vm']] == x['boot_id'] for x in lines)

    system.wait_until(is_known, 'entry-1 knows the new boots')


@when('3 calls hold every slot, then 4 patient and 4 urgent calls wait')
def queue_calls(context: Any) -> None:
    context.order = context.system.thread.run(_queue_calls(context))


async def _queue_calls(context: Any) -> list[str]:
    order: list[str] = []
    holding = call_url(context, 'entry-1', 'dispatch', '?sleep_ms=900')
    waiting = call_url(context, 'entry-1', 'dispatch', '?sleep_ms=100')

    async def call(url: str, call_class: str) -> None:
        answer = await web.request('GET', url, fields={CLASS: call_class})
        assert answer.status == 200, answer
        order.append(call_class)

    tasks = [asyncio.ensure_future(call(holding, 'urgent')) for _ in range(3)]
    await asyncio.sleep(0.2)
    for call_class in ('patient', 'urgent'):
        tasks += [
            asyncio.ensure_future(call(waiting, call_class)) for _ in range(4)
        ]
        await asyncio.sleep(0.2)
    await asyncio.gather(*tasks)
    return order[3:]


@then('the urgent calls are answered before the last patient ones')
def check_order(context: Any) -> None:
    # The three slots become free together, so the last urgent call shares a
    # round with patient ones.
    assert context.order[:3] == ['urgent'] * 3, context.order
    assert context.order[-3:] == ['patient'] * 3, context.order


@when('{count:d} calls hold every slot for {sleep_ms:d} ms')
def hold_slots(context: Any, count: int, sleep_ms: int) -> None:
    url = call_url(context, 'entry-1', 'dispatch', f'?sleep_ms={sleep_ms}')
    context.holding = [
        context.system.thread.start(web.request('GET', url))
        for _ in range(count)
    ]
    upstreams = context.system.upstreams.values()
    context.system.wait_until(
        lambda: sum(u.in_flight for u in upstreams) == count,
        f'{count} calls are in flight',
    )


@when('a caller calls with a deadline of {deadline_ms:d} ms')
def call_with_deadline(context: Any, deadline_ms: int) -> None:
    context.answer = context.system.thread.run(
        web.request(
            'GET',
            call_url(context, 'entry-1', 'dispatch'),
            fields={DEADLINE: str(deadline_ms)},
        )
    )


@when('{count:d} calls of {sleep_ms:d} ms run through entry-1')
def run_calls(context: Any, count: int, sleep_ms: int) -> None:
    hold_slots(context, count, sleep_ms)


@when('entry-1 is asked to stop')
def stop_entry(context: Any) -> None:
    context.system.processes['entry-1'].signal(15)


@then('entry-1 soon fails its readiness check while it still answers calls')
def check_notice(context: Any) -> None:
    system = context.system
    system.wait_until(
        lambda: system.get('entry-1', '/readyz').status == 503,
        'entry-1 fails its readiness check',
    )
    answer = system.thread.run(
        web.request('GET', call_url(context, 'entry-1', 'dispatch'))
    )
    assert answer.status == 200, answer


@then('the {count:d} calls are answered completely')
def check_calls(context: Any, count: int) -> None:
    answers = [future.result(30) for future in context.holding]
    assert len(answers) == count
    for answer in answers:
        assert (answer.status, answer.body) == (200, b'hello\n'), answer


@then('entry-1 ends with exit code 0')
def check_exit(context: Any) -> None:
    process = context.system.processes['entry-1']
    assert process.wait() == 0, process.log_text()


@then('{entry} answers calls')
def check_entry_answers(context: Any, entry: str) -> None:
    answer = context.system.thread.run(
        web.request('GET', call_url(context, entry, 'dispatch'))
    )
    assert answer.status == 200, answer


@when('the leader is asked to stop')
def stop_leader(context: Any) -> None:
    context.stopped = context.system.leader()
    process = context.system.processes[context.stopped]
    context.exit_code = process.terminate()


@then('that replica ends with exit code 0')
def check_leader_exit(context: Any) -> None:
    process = context.system.processes[context.stopped]
    assert context.exit_code == 0, process.log_text()


@then('another replica leads and ticket 1 is in its history')
def check_new_leader(context: Any) -> None:
    assert context.system.leader() != context.stopped
    page = context.system.ask_control('GET', '/v1/tickets').json()
    assert [line['number'] for line in page['tickets']] == [1]
