"""Steps about upstreams that start and stop, and about complete answers."""

import asyncio
import random
import time
from typing import Any

from behave import given
from behave import then
from behave import when

from features.steps.control_fault_steps import accept
from features.steps.whole_path_steps import call_url
from features.steps.whole_path_steps import DEADLINE
from features.support import web

LEAVE_BOUND_MS = 3000
WATCH_S = 5.0


def state_at(context: Any, entry: str, vm: str) -> str:
    """Return an upstream's state as an entry knows it."""
    lines = context.system.dump(entry)['upstreams']
    return next((x['state'] for x in lines if x['vm'] == vm), 'unknown')


def wait_state(context: Any, vm: str, state: str, entries: list[str]) -> None:
    """Wait until each of the entries has an upstream in a state."""
    for entry in entries:
        context.system.wait_until(
            lambda entry=entry: state_at(context, entry, vm) == state,
            f'{vm} is {state} at {entry}',
        )


@when('vm-1 leaves')
def leave(context: Any) -> None:
    upstream = context.system.upstreams['vm-1']
    context.first_announcement = {
        **upstream._announcement(),
        'sequence': 1,
        'state': 'up',
    }
    context.left_at_ms = time.time_ns() // 1_000_000
    context.system.thread.run(upstream.leave())


@then('no entry gives vm-1 a call that starts more than 3 s later')
def check_left(context: Any) -> None:
    others = [context.system.upstreams[vm] for vm in ('vm-2', 'vm-3')]
    before = [other.counts.started for other in others]
    time.sleep(WATCH_S)
    last_ms = context.system.upstreams['vm-1'].counts.last_started_at_ms
    assert last_ms < context.left_at_ms + LEAVE_BOUND_MS
    for other, count in zip(others, before, strict=True):
        assert other.counts.started > count


@when('the first announcement of vm-1 arrives again at each entry')
def announce_late(context: Any) -> None:
    system = context.system
    upstream = system.upstreams['vm-1']
    upstream.is_announcing = False
    for entry in context.entries:
        body = web.encode(context.first_announcement)
        url = f'http://{system.http[entry]}/v1/announce'
        answer = system.thread.run(web.request('POST', url, body))
        assert answer.status == 200, answer


@then('vm-1 is {state} at each entry')
def check_state(context: Any, state: str) -> None:
    wait_state(context, 'vm-1', state, context.entries)


@when('vm-1 starts again with a new boot')
def start_again(context: Any) -> None:
    system = context.system
    system.thread.run(system.upstreams['vm-1'].close())
    system.start_upstream('vm-1', 'dispatch-pool', context.entries)


@when('vm-1 stops announcing itself')
def stop_announcing(context: Any) -> None:
    context.system.upstreams['vm-1'].is_announcing = False


@when('vm-1 announces itself again')
def announce_again(context: Any) -> None:
    context.system.upstreams['vm-1'].is_announcing = True


@when(
    'every upstream announces itself to entry-2 and vm-1, vm-2 and vm-3 stop'
)
def announce_and_stop(context: Any) -> None:
    system = context.system
    # Stands in for the load balancer, which would route the announcements to
    # a live entry.
    for vm in context.vms:
        system.thread.run(system.upstreams.pop(vm).close())
        system.start_upstream(vm, 'dispatch-pool', ['entry-2'])
    for vm in context.vms:
        wait_state(context, vm, 'up', ['entry-2'])
        system.upstreams[vm].is_announcing = False


@then('vm-1, vm-2 and vm-3 are silent at entry-2')
def check_all_silent(context: Any) -> None:
    for vm in context.vms:
        wait_state(context, vm, 'silent', ['entry-2'])


@when('ticket 2 moves vm-3 to pool archive-pool of service archive')
def move(context: Any) -> None:
    context.pools = [
        {'name': 'dispatch-pool', 'service': 'dispatch', 'vms': []},
        {'name': 'archive-pool', 'service': 'archive', 'vms': ['vm-3']},
    ]
    context.pools[0]['vms'] = ['vm-1', 'vm-2']
    ticket = {
        'number': 2,
        'author': 'operator-a',
        'reason': 'archive rebuild',
        'pools': context.pools,
    }
    accept(context, ticket)
    context.system.wait_in_force(2)


@then('{count:d} calls to service {service} through each entry run at {vms}')
def check_where(context: Any, count: int, service: str, vms: str) -> None:
    wanted = set(vms.split(' and '))
    for entry in context.entries:
        for _ in range(count):
            answer = context.system.thread.run(
                web.request('GET', call_url(context, entry, service))
            )
            assert answer.status == 200, answer
            assert answer.fields['Greengagering-Vm'] in wanted, answer


@then('ticket 3 that names vm-3 in both pools is refused')
def check_both(context: Any) -> None:
    pool = {**context.pools[0], 'vms': ['vm-1', 'vm-2', 'vm-3']}
    answer = context.system.submit(
        {'number': 3, 'author': 'a', 'reason': 'r', 'pools': [pool]}
    )
    assert answer.status == 409, answer
    assert answer.json()['kind'] == 'vm_in_two_pools'


@given('vm-1 and vm-2 answer with fault {fault}')
def set_faults(context: Any, fault: str) -> None:
    for vm in ('vm-1', 'vm-2'):
        context.system.upstreams[vm].default_fault = fault


@when('{count:d} GET calls are sent through each entry')
def send_gets(context: Any, count: int) -> None:
    context.answers = []
    for entry in context.entries:
        for _ in range(count):
            answer = context.system.thread.run(
                web.request('GET', call_url(context, entry, 'dispatch'))
            )
            context.answers.append(answer)


@then('each gets a complete answer from vm-3')
def check_complete(context: Any) -> None:
    for answer in context.answers:
        shown = (answer.status, answer.body, answer.outcome)
        assert shown == (200, b'hello\n', 'answered'), answer
        assert answer.fields['Greengagering-Vm'] == 'vm-3'


@when('{count:d} POST calls are sent to the faulty upstreams')
def send_posts(context: Any, count: int) -> None:
    system = context.system
    # vm-1 and vm-2 may be ejected by now, so vm-3 gets the fault as well.
    fault = system.upstreams['vm-1'].default_fault
    system.upstreams['vm-3'].default_fault = fault
    context.before = sum(u.counts.started for u in system.upstreams.values())
    context.answers = [
        system.thread.run(
            web.request(
                'POST',
                call_url(context, context.entries[n % 2], 'dispatch'),
                b'job',
                {DEADLINE: '4000'},
            )
        )
        for n in range(count)
    ]


@then('none of them gets a partial answer, and none ran twice')
def check_not_partial(context: Any) -> None:
    for answer in context.answers:
        assert answer.status in (502, 503, 504), answer
        assert answer.outcome in ('unknown', 'not-run'), answer
    unknown = sum(a.outcome == 'unknown' for a in context.answers)
    assert unknown > 0
    upstreams = context.system.upstreams.values()
    started = sum(u.counts.started for u in upstreams) - context.before
    assert started == unknown, (started, unknown)


@when(
    '{count:d} calls with different bodies and delays run at once '
    'through both entries'
)
def run_mixed(context: Any, count: int) -> None:
    rng = random.Random(1)

    async def one(number: int) -> tuple[bytes, web.Answer]:
        body = f'request {number} '.encode() * rng.randint(1, 400)
        entry = context.entries[number % 2]
        query = f'?sleep_ms={rng.randint(0, 200)}'
        url = call_url(context, entry, 'dispatch', query)
        return body, await web.request('POST', url, body)

    async def run() -> list[tuple[bytes, web.Answer]]:
        return list(await asyncio.gather(*(one(n) for n in range(count))))

    context.pairs = context.system.thread.run(run())


@then("each answer holds its own request's body")
def check_own(context: Any) -> None:
    for body, answer in context.pairs:
        assert (answer.status, answer.body) == (200, body), answer


@when('{count:d} callers queue at entry-1 and disconnect')
def queue_and_disconnect(context: Any, count: int) -> None:
    system = context.system
    url = call_url(context, 'entry-1', 'dispatch')
    futures = [
        system.thread.start(web.request('GET', url)) for _ in range(count)
    ]
    system.wait_until(
        lambda: system.dump('entry-1')['queued']['dispatch'] == count,
        f'{count} callers queue',
    )
    for future in futures:
        future.cancel()


@then('no call waits at entry-1')
def check_no_queue(context: Any) -> None:
    system = context.system
    system.wait_until(
        lambda: system.dump('entry-1')['queued']['dispatch'] == 0,
        'no call waits',
    )


@then('the upstreams have run the {count:d} calls only')
def check_ran(context: Any, count: int) -> None:
    for future in context.holding:
        assert future.result(30).status == 200
    upstreams = context.system.upstreams.values()
    assert sum(u.counts.started for u in upstreams) == count


@when('a body of 9 MB is sent to entry-1')
def send_large(context: Any) -> None:
    context.answer = context.system.thread.run(
        web.request(
            'POST', call_url(context, 'entry-1', 'dispatch'), b'x' * 9_000_000
        )
    )


@when('a header of 40 kB is sent to entry-1')
def send_header(context: Any) -> None:
    context.answer = context.system.thread.run(
        web.request(
            'GET',
            call_url(context, 'entry-1', 'dispatch'),
            fields={'X-Large': 'x' * 40_000},
        )
    )


@then('the answer is 400 or 431')
def check_header(context: Any) -> None:
    assert context.answer.status in (400, 431), context.answer


@when('a sender stops in the middle of its body with a deadline of 500 ms')
def send_half(context: Any) -> None:
    host, port = context.system.http['entry-1'].split(':')

    async def send() -> web.Answer:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b'POST /call/dispatch/x HTTP/1.1\r\nHost: x\r\n'
            b'Greengagering-Deadline-Ms: 500\r\n'
            b'Content-Length: 100\r\n\r\nhalf'
        )
        text = await asyncio.wait_for(reader.read(), 20)
        writer.close()
        return web.parse_answer(text)

    context.answer = context.system.thread.run(send())
